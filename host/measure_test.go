package host

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/load"
)

// BenchmarkWorstServed lets one account send five times its rate while the
// targets can serve four fifths of what the allowances admit. It reports the
// lowest share of served requests among the other accounts.
func BenchmarkWorstServed(b *testing.B) {
	for range b.N {
		// Four slots of 33 ms serve 120 requests a second of the 150 admitted.
		fleet := newTestFleetWith(b, 2, 2, 2, 33*time.Millisecond)
		fleet.inventory.Accounts = nil
		plan := load.Plan{Duration: 20 * time.Second, RandomSeed: 1}
		allowances := map[string]load.Allowance{}
		addAccount := func(id string, sentRate float64) {
			fleet.inventory.Accounts = append(fleet.inventory.Accounts, ferry.Account{
				ID: ferry.AccountID(id), Rate: 50, Burst: 25, Keys: []ferry.KeyHash{ferry.HashKey(key(id))},
			})
			allowances[id] = load.Allowance{Rate: 50, Burst: 25}
			plan.Accounts = append(plan.Accounts, load.Account{
				ID: id, Key: key(id), Rate: sentRate, Method: http.MethodPost, Path: "/orders/new", Callers: 2,
			})
		}
		addAccount("one", 250)
		for i := range 4 {
			addAccount(fmt.Sprintf("within-%d", i), 25)
		}
		fleet.start(2)
		fleet.awaitAllowance()
		plan.SeedAddresses = fleet.seeds()
		accounts, violations := fleet.evaluateWith(load.Run(context.Background(), plan), allowances)
		worst, greedyRate := 1.0, 0.0
		for _, account := range accounts {
			servedShare := float64(account.Good) / float64(account.Sent)
			if account.ID == "one" {
				greedyRate = float64(account.Good) / plan.Duration.Seconds()
				continue
			}
			worst = min(worst, servedShare)
		}
		b.ReportMetric(100*worst, "worst%")
		b.ReportMetric(greedyRate, "greedy/s")
		b.ReportMetric(float64(violations.Over), "over")
	}
}

// BenchmarkLargeUpload sends 1 GiB through a VM and reports the peak heap size of
// the process, which also contains the target and the caller.
func BenchmarkLargeUpload(b *testing.B) {
	const size = 1 << 30
	for range b.N {
		fleet := newTestFleet(b, 1, 1)
		fleet.start(1)
		fleet.awaitAllowance()
		done := make(chan struct{})
		var peak uint64
		go func() {
			defer close(done)
			body := io.LimitReader(zeros{}, size)
			request, err := http.NewRequest(http.MethodPost, "http://"+fleet.vms[0].settings.Callers.String()+"/orders/scan", body)
			if err != nil {
				b.Error(err)
				return
			}
			request.Header.Set(ferry.HeaderKey, key("one"))
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("upload answered with status %d", response.StatusCode)
			}
		}()
		for isRunning := true; isRunning; {
			select {
			case <-done:
				isRunning = false
			case <-time.After(10 * time.Millisecond):
			}
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapInuse)
		}
		b.ReportMetric(float64(peak)/(1<<20), "MB")
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}
