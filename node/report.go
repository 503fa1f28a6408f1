package node

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/emicklei/go-restful/v3"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/place"
)

// statusTimeout bounds the wait for the status from the loop.
const statusTimeout = time.Second

// Status summarizes the state of a VM for operators.
type Status struct {
	ID    ferry.VMID
	Place ferry.PlaceID
	// Version is the configuration in force, zero for none.
	Version uint64
	// Revision is the store's revision of the records, and StoreEpoch the epoch in which it
	// counts, zero if the store states none.
	Revision   uint64
	StoreEpoch uint64
	// Findings is the number of entries of that configuration that could not be used
	// as they are. The log names them.
	Findings int
	// Rejected is the revision of a later configuration that could not be read, zero
	// for none, and RejectedReason why.
	Rejected       uint64 `json:",omitempty"`
	RejectedReason string `json:",omitempty"`
	// ProofAge is the time since the proof of freshness of the configuration.
	ProofAge string
	Ready    bool
	Leaving  bool
	Lead     string
	// LeadsPlace reports that this VM leads the VMs of its place.
	LeadsPlace bool
	// FleetSize is the largest recent size of the fleet, in VMs, with LostVMs.
	FleetSize int
	// AllowanceDivisor is the number of VMs among which this VM divides the allowances.
	// Unless FleetSizeKnown is set, it is assumed.
	AllowanceDivisor int
	FleetSizeKnown   bool
	// LostVMs is the number of VMs that count in FleetSize because they may still run
	// beyond a partition.
	LostVMs int
	// HeldShare is the part of every allowance that this VM may grant, from 0 to 1.
	HeldShare     float64
	InFlight      int64
	DroppedEvents int64
	// Rooms are the services that requests of this VM went to, with their room.
	Rooms []RoomStatus `json:",omitempty"`
	// Budgets are what callers hold, and the limits.
	Budgets BudgetStatus
	// Evacuations are the places whose targets get no more requests.
	Evacuations []EvacuationStatus
	Members     []Member
	Targets     []TargetStatus
}

// RoomStatus is the room of one service at this VM.
type RoomStatus struct {
	Service ferry.ServiceID
	// Limit is the number of requests in flight that are allowed, zero for any.
	Limit    float64
	InFlight int
	Queued   int
	// ExpectedWait is that of a further request of the most urgent rank.
	ExpectedWait string `json:",omitempty"`
	// ReportAge is the time since the last report of a full target, with a limit.
	ReportAge string `json:",omitempty"`
}

// EvacuationStatus is the evacuation of a place as this VM sees it.
type EvacuationStatus struct {
	Place ferry.PlaceID
	// Known is the time since this VM learned of it.
	Known string
	// Complete reports that this VM sends no request there any more.
	Complete bool
}

// Member is one VM in the view.
type Member struct {
	Peers   string
	Place   ferry.PlaceID
	Ready   bool
	Leaving bool
}

// TargetStatus is the state of one target on this VM.
type TargetStatus struct {
	ID      ferry.TargetID
	Service ferry.ServiceID
	Place   ferry.PlaceID
	// Chance is the probability that the target is unhealthy.
	Chance float64
	Own    int
	// OwnedSlots is the number of its slots that this VM owns.
	OwnedSlots int `json:",omitempty"`
	Leaving    bool
	// SaidLeaving reports that the target said in a response that it is leaving.
	SaidLeaving bool
	// Backoff is how long the target gets no request because it asked for a pause.
	Backoff string `json:",omitempty"`
	// ColdFor is the rest of the target's warm-up.
	ColdFor string `json:",omitempty"`
}

// statusRequested is the event of a request for the status.
type statusRequested struct{ reply chan Status }

// reportHandler serves the metrics and the status to operators, read-only.
func (n *Node) reportHandler() http.Handler {
	service := new(restful.WebService)
	service.Route(service.GET("/metrics").Produces("text/plain").To(func(_ *restful.Request, response *restful.Response) {
		response.Header().Set("Content-Type", "text/plain; charset=utf-8")
		n.metrics.WritePrometheus(response)
		metrics.WriteProcessMetrics(response)
	}))
	service.Route(service.GET("/status").Produces(restful.MIME_JSON).To(func(request *restful.Request, response *restful.Response) {
		requested := statusRequested{reply: make(chan Status, 1)}
		n.post(requested)
		select {
		case status := <-requested.reply:
			if err := response.WriteAsJson(status); err != nil {
				n.log.Debug("sending the status failed", "error", err)
			}
		case <-time.After(statusTimeout):
			response.WriteHeader(http.StatusServiceUnavailable)
		case <-request.Request.Context().Done():
		}
	}))
	container := restful.NewContainer()
	container.Add(service)
	return container
}

// status returns the present status of this VM. Only the loop calls it.
func (n *Node) status() Status {
	now := n.clock.Now()
	leader, _ := n.controller.Leader()
	division := n.controller.Division(now)
	status := Status{
		ID: n.dependencies.Settings.ID, Place: n.dependencies.Settings.Place, Ready: n.IsReady(), Leaving: n.leaving.Load(),
		Lead: leader.String(), LeadsPlace: n.controller.LeadsPlace(), FleetSize: n.controller.FleetSize(),
		AllowanceDivisor: division.Divisor, FleetSizeKnown: division.IsKnown, LostVMs: division.Lost, HeldShare: n.controller.HeldShare(now),
		InFlight: n.server.InFlight(), DroppedEvents: n.droppedEvents.Load(),
		Budgets: n.budgetStatus(),
	}
	records, _ := n.controller.Revisions()
	status.Revision, status.StoreEpoch = ferry.Revision(records).Number(), ferry.Revision(records).Epoch()
	status.Rejected, status.RejectedReason = n.recordCache.rejected.revision, n.recordCache.rejected.reason
	if snapshot := n.state.snapshot.Load(); snapshot != nil {
		status.Version = snapshot.Version()
		status.Findings = len(snapshot.Inventory().Findings)
	}
	if age, ok := n.state.proofAge(); ok {
		status.ProofAge = age.String()
	}
	for _, service := range n.forwarder.Rooms() {
		room := RoomStatus{Service: service.Service, Limit: service.Limit, InFlight: service.InFlight, Queued: service.Queued}
		if service.Limit > 0 {
			room.ExpectedWait, room.ReportAge = service.ExpectedWait.String(), service.ReportAge.String()
		}
		status.Rooms = append(status.Rooms, room)
	}
	for _, evacuation := range n.chooser.Evacuations() {
		status.Evacuations = append(status.Evacuations, EvacuationStatus{
			Place: evacuation.Place, Known: (now.Monotonic - evacuation.Since).String(), Complete: now.Monotonic >= evacuation.Until,
		})
	}
	for _, vm := range n.controller.View() {
		status.Members = append(status.Members, Member{Peers: vm.Peers.String(), Place: vm.Place, Ready: vm.Ready, Leaving: vm.Leaving})
	}
	for _, view := range n.chooser.List(now.Monotonic) {
		target := TargetStatus{
			ID: view.Target.ID, Service: view.Target.Service, Place: view.Target.Place,
			Chance: place.Probability(view.LogOdds), Own: view.OwnRequests, OwnedSlots: view.OwnedSlots, Leaving: view.Target.Leaving, SaidLeaving: view.SaidLeaving,
		}
		if view.Backoff > 0 {
			target.Backoff = view.Backoff.String()
		}
		if view.ColdFor > 0 {
			target.ColdFor = view.ColdFor.String()
		}
		status.Targets = append(status.Targets, target)
	}
	return status
}
