package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// changeDuringRequests changes the inventory of a lab while requests are on their way: two
// at the only target, whose slots they take, one of them answered in part, one that waits
// for a slot, and one of which the target has got a part. It returns their responses.
func changeDuringRequests(t *testing.T, change func(inventory *ferry.Inventory)) (l *stopLab, responses map[string]*http.Response, waitingID string) {
	t.Helper()
	l = newStopLab(t, stopOptions{slots: 3})
	callers := map[string]*stopCaller{"at target": l.connect(), "streamed": l.connect(), "body": l.connect(), "waiting": l.connect()}
	callers["at target"].sendOrder(2500 * time.Millisecond)
	callers["streamed"].sendOrder(2500*time.Millisecond, streamHeader+": 1")
	head, _ := orderHead(0)
	callers["body"].send(head + "or")
	time.Sleep(settleTime)
	waitingID = callers["waiting"].sendOrder(0)
	// A request that arrives after the change is handled by it.
	l.await("all requests have arrived", func() bool { return l.vm.host.callers.inFlight.Load() == int64(len(callers)) })
	time.Sleep(settleTime)
	change(l.inventory)
	l.inventory.Version++
	l.publish()
	l.await("the change is in force", func() bool { return l.vm.host.Snapshot().Version() == l.inventory.Version })
	time.Sleep(settleTime)
	callers["body"].send("der")
	responses = map[string]*http.Response{}
	for name, caller := range callers {
		responses[name] = caller.read()
	}
	return l, responses, waitingID
}

func TestChangeCutsNothingOnItsWay(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(inventory *ferry.Inventory){
		"route dropped": func(inventory *ferry.Inventory) { inventory.Routes = inventory.Routes[1:] },
		"route moved": func(inventory *ferry.Inventory) {
			inventory.Services = append(inventory.Services, ferry.Service{ID: "other", Rules: ferry.Rules{}.WithDefaults()})
			inventory.Routes[0].Service = "other"
		},
		"service dropped": func(inventory *ferry.Inventory) {
			inventory.Routes, inventory.Services, inventory.Targets = nil, nil, nil
		},
		"target leaves":  func(inventory *ferry.Inventory) { inventory.Targets[0].Leaving = true },
		"target removed": func(inventory *ferry.Inventory) { inventory.Targets = nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, responses, waitingID := changeDuringRequests(t, change)
			for stage, response := range responses {
				is.True(response != nil) // the connection was not cut
				if stage != "waiting" || response.StatusCode == http.StatusOK {
					is.Equal(response.StatusCode, http.StatusOK)
					continue
				}
				t.Logf("%s: status %d, outcome %s, reason %s", stage, response.StatusCode, response.Header.Get(ferry.HeaderOutcome), response.Header.Get(ferry.HeaderReason))
				is.Equal(response.StatusCode, http.StatusServiceUnavailable)
				is.Equal(response.Header.Get(ferry.HeaderOutcome), "NotRun")
				is.Equal(l.target.runsOf(waitingID), 0)
			}
		})
	}
}
