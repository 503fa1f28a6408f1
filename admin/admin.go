// Package admin is the operators' API of one VM.
//
// # Concept
//
// The API has its own listener and requires the operator key for every request.
// It returns the state of the VM and accepts two commands: the planned stop and
// the log level. It changes nothing outside the VM.
//
//	GET  /status       summary of version, readiness, members and allowance
//	GET  /members      the VM's view of all VMs
//	GET  /inventory    the inventory in force
//	GET  /targets      targets with health scores and ejection stage
//	GET  /metrics      metrics in text format
//	POST /drain        starts the planned stop
//	PUT  /log-level    sets the log level, for example {"Level": "Debug"}
//
// # Usage
//
//	handler := admin.NewHandler(source, operatorKey)
//	http.Serve(listener, handler)
package admin

import (
	"crypto/subtle"
	"io"
	"log/slog"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/auth"
)

// Status summarizes the state of a VM.
type Status struct {
	ID    ferry.VMID
	Place ferry.PlaceID
	// Stamp identifies the configuration in force.
	Stamp    string
	Ready    bool
	Leaving  bool
	Reader   bool
	LogLevel string
	// Rejected describes the last configuration that was rejected.
	Rejected  string
	Members   int
	Up        int
	Allowance Allowance
	InFlight  int64
	Waiting   int
}

// Allowance summarizes the state of the share leases.
type Allowance struct {
	HeldShards int
	// Share is the average share held of these shards, from 0 to 1.
	Share   float64
	Parts   int
	Buckets int
	Pools   int
}

// Member is one VM in the view of this VM.
type Member struct {
	ID      ferry.VMID
	Place   ferry.PlaceID
	Callers string
	Listed  bool
	Up      bool
	Ready   bool
	Leaving bool
}

// Target is the state of one target.
type Target struct {
	ID      ferry.TargetID
	Service ferry.ServiceID
	Place   ferry.PlaceID
	Address string
	Leaving bool
	// Stage is empty for a target in full use.
	Stage    string
	Relapses int
	// Errors and Slowness are log-likelihood ratios; 0 for unsuspected targets.
	Errors   float64
	Slowness float64
}

// Source provides the state of the VM and executes commands.
type Source interface {
	Status() Status
	Members() []Member
	Targets() []Target
	// Inventory returns the inventory in force as JSON, or nil.
	Inventory() []byte
	WriteMetrics(w io.Writer)
	Drain()
	SetLogLevel(level slog.Level)
}

// level is the body of a request to set the log level.
type level struct {
	Level string
}

// problem is the body of an error response.
type problem struct {
	Error string
}

// api handles the requests to the API.
type api struct {
	source Source
	key    ferry.KeyHash
}

// NewHandler returns the handler of the API.
func NewHandler(source Source, key ferry.KeyHash) http.Handler {
	a := &api{source: source, key: key}
	service := new(restful.WebService)
	service.Produces(restful.MIME_JSON)
	service.Filter(a.authorize)
	service.Route(service.GET("/status").To(a.status))
	service.Route(service.GET("/members").To(a.members))
	service.Route(service.GET("/targets").To(a.targets))
	service.Route(service.GET("/inventory").To(a.inventory))
	service.Route(service.GET("/metrics").Produces("text/plain").To(a.metrics))
	service.Route(service.POST("/drain").To(a.drain))
	service.Route(service.PUT("/log-level").Consumes(restful.MIME_JSON).To(a.logLevel))
	container := restful.NewContainer()
	container.Add(service)
	return container
}

// authorize rejects requests without the operator key.
func (a *api) authorize(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	key, err := auth.KeyFromRequest(request.Request)
	hash := ferry.HashKey(key)
	if err != nil || subtle.ConstantTimeCompare(hash[:], a.key[:]) != 1 {
		write(response, http.StatusUnauthorized, problem{Error: "the operator key is missing or wrong"})
		return
	}
	chain.ProcessFilter(request, response)
}

// write sends a JSON response. It aborts the request when the connection fails.
func write(response *restful.Response, status int, body any) {
	if err := response.WriteHeaderAndJson(status, body, restful.MIME_JSON); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (a *api) status(_ *restful.Request, response *restful.Response) {
	write(response, http.StatusOK, a.source.Status())
}

func (a *api) members(_ *restful.Request, response *restful.Response) {
	write(response, http.StatusOK, a.source.Members())
}

func (a *api) targets(_ *restful.Request, response *restful.Response) {
	write(response, http.StatusOK, a.source.Targets())
}

func (a *api) inventory(_ *restful.Request, response *restful.Response) {
	text := a.source.Inventory()
	if text == nil {
		write(response, http.StatusNotFound, problem{Error: "no configuration is in force"})
		return
	}
	response.Header().Set("Content-Type", restful.MIME_JSON)
	if _, err := response.Write(text); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (a *api) metrics(_ *restful.Request, response *restful.Response) {
	response.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.source.WriteMetrics(response)
}

func (a *api) drain(_ *restful.Request, response *restful.Response) {
	a.source.Drain()
	write(response, http.StatusAccepted, a.source.Status())
}

func (a *api) logLevel(request *restful.Request, response *restful.Response) {
	var body level
	if err := request.ReadEntity(&body); err != nil {
		write(response, http.StatusBadRequest, problem{Error: "expected a JSON object with the field Level"})
		return
	}
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(body.Level)); err != nil {
		write(response, http.StatusBadRequest, problem{Error: "expected Debug, Info, Warn or Error"})
		return
	}
	a.source.SetLogLevel(parsed)
	write(response, http.StatusOK, a.source.Status())
}
