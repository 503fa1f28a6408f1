package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/lead"
)

// trafficInterval is the time between log lines about the traffic between VMs.
const trafficInterval = 10 * time.Second

// messageKind is the kind of a message to another VM.
type messageKind int

const (
	messageHeartbeat messageKind = iota
	messageReply
	messageTokenRequest
	messageTokenReply
	messageCopy
	messageKindCount
)

// String returns the name of the kind in logs and metrics.
func (k messageKind) String() string {
	return [messageKindCount]string{"Heartbeat", "Reply", "TokenRequest", "TokenReply", "Copy"}[k]
}

// distanceUnknown is the distance to a VM that is not in the view.
const distanceUnknown = ferry.DistanceCount

// traffic counts the messages that this VM sends to others and their bytes, without
// the headers of the network, by kind and distance. It is safe for concurrent use.
type traffic struct {
	place   ferry.PlaceID
	regions ferry.Regions
	// places holds the places of the VMs in the view, by peer address.
	places   atomic.Pointer[map[netip.AddrPort]ferry.PlaceID]
	messages [messageKindCount][distanceUnknown + 1]*metrics.Counter
	bytes    [messageKindCount][distanceUnknown + 1]*metrics.Counter
	loggedAt time.Duration
}

func newTraffic(place ferry.PlaceID, regions ferry.Regions, set *metrics.Set) *traffic {
	t := &traffic{place: place, regions: regions}
	for kind := range messageKindCount {
		for distance := range distanceUnknown + 1 {
			labels := fmt.Sprintf("{kind=%q,distance=%q}", kind, distance)
			t.messages[kind][distance] = set.NewCounter("ferry_peer_sent_messages_total" + labels)
			t.bytes[kind][distance] = set.NewCounter("ferry_peer_sent_bytes_total" + labels)
		}
	}
	return t
}

// setView replaces the VMs whose places are known.
func (t *traffic) setView(view []lead.VM) {
	places := make(map[netip.AddrPort]ferry.PlaceID, len(view))
	for _, vm := range view {
		places[vm.Peers] = vm.Place
	}
	t.places.Store(&places)
}

// count counts a message that was sent to a peer address.
func (t *traffic) count(kind messageKind, to netip.AddrPort, bytes int) {
	distance := distanceUnknown
	if places := t.places.Load(); places != nil {
		if place, found := (*places)[to]; found {
			distance = t.regions.Distance(t.place, place)
		}
	}
	t.messages[kind][distance].Inc()
	t.bytes[kind][distance].Add(bytes)
}

// countCopy counts a copy. Its receiver connects from a port of its own, so that the
// distance is unknown.
func (t *traffic) countCopy(bytes int) { t.count(messageCopy, netip.AddrPort{}, bytes) }

// log logs the totals when they are due. Only the loop calls it.
func (t *traffic) log(now time.Duration, log *slog.Logger) {
	if now-t.loggedAt < trafficInterval {
		return
	}
	t.loggedAt = now
	attributes := make([]any, 0, int(distanceUnknown+1))
	for distance := range distanceUnknown + 1 {
		totals := make([]any, 0, int(messageKindCount))
		for kind := range messageKindCount {
			totals = append(totals, slog.Uint64(kind.String(), t.bytes[kind][distance].Get()))
		}
		attributes = append(attributes, slog.Group(distance.String(), totals...))
	}
	log.Info("bytes sent to other VMs", attributes...)
}
