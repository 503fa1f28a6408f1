package node

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/emicklei/go-restful/v3"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/place"
)

// reportTimeout bounds the wait for the loop.
const reportTimeout = time.Second

// Status is what a VM believes, in short.
type Status struct {
	ID    ferry.VMID
	Place ferry.PlaceID
	// Version is the configuration in force, zero for none.
	Version  uint64
	Revision uint64
	// ProofAge is the time since the configuration was known to be current.
	ProofAge string
	Ready    bool
	Leaving  bool
	Lead     string
	// LeadsPlace reports that this VM leads the VMs of its place.
	LeadsPlace bool
	// FleetSize is the largest fleet that is remembered.
	FleetSize int
	// HeldShare is the part of every allowance that this VM may grant.
	HeldShare     float64
	InFlight      int64
	DroppedEvents int64
	Members       []Member
	Targets       []TargetStatus
}

// Member is one VM in the view.
type Member struct {
	Peers   string
	Place   ferry.PlaceID
	Ready   bool
	Leaving bool
}

// TargetStatus is the state of one target as this VM sees it.
type TargetStatus struct {
	ID      ferry.TargetID
	Service ferry.ServiceID
	Place   ferry.PlaceID
	// Chance is the probability of a bad spell.
	Chance  float64
	Own     int
	Leaving bool
}

// statusAsked asks the loop for the status.
type statusAsked struct{ reply chan Status }

// reportHandler serves metrics and the state for operators. Nothing can be
// changed here.
func (n *Node) reportHandler() http.Handler {
	service := new(restful.WebService)
	service.Route(service.GET("/metrics").Produces("text/plain").To(func(_ *restful.Request, response *restful.Response) {
		response.Header().Set("Content-Type", "text/plain; charset=utf-8")
		n.metrics.WritePrometheus(response)
		metrics.WriteProcessMetrics(response)
	}))
	service.Route(service.GET("/status").Produces(restful.MIME_JSON).To(func(request *restful.Request, response *restful.Response) {
		asked := statusAsked{reply: make(chan Status, 1)}
		n.post(asked)
		select {
		case status := <-asked.reply:
			if err := response.WriteAsJson(status); err != nil {
				n.log.Debug("status not delivered", "error", err)
			}
		case <-time.After(reportTimeout):
			response.WriteHeader(http.StatusServiceUnavailable)
		case <-request.Request.Context().Done():
		}
	}))
	container := restful.NewContainer()
	container.Add(service)
	return container
}

// status gathers what this VM believes.
func (n *Node) status() Status {
	now := n.clock.Now()
	lead, _ := n.controller.Lead()
	status := Status{
		ID: n.parts.Settings.ID, Place: n.parts.Settings.Place, Ready: n.IsReady(), Leaving: n.leaving.Load(),
		Lead: lead.String(), LeadsPlace: n.controller.LeadsPlace(), FleetSize: n.controller.FleetSize(), HeldShare: n.controller.HeldShare(now),
		InFlight: n.server.InFlight(), DroppedEvents: n.dropped.Load(),
	}
	status.Revision, _ = n.controller.Revisions()
	if view := n.state.view.Load(); view != nil {
		status.Version = view.Version()
	}
	if age, ok := n.state.age(); ok {
		status.ProofAge = age.String()
	}
	for _, vm := range n.controller.View() {
		status.Members = append(status.Members, Member{Peers: vm.Peers.String(), Place: vm.Place, Ready: vm.Ready, Leaving: vm.Leaving})
	}
	for _, view := range n.chooser.List(now.Monotonic) {
		status.Targets = append(status.Targets, TargetStatus{
			ID: view.Target.ID, Service: view.Target.Service, Place: view.Target.Place,
			Chance: place.Probability(view.LogOdds), Own: view.OwnRequests, Leaving: view.Target.Leaving,
		})
	}
	return status
}
