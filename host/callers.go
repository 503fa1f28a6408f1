package host

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/entry"
	"monsoonferry.org/ferry/proxy"
)

const (
	// entryPath is the path at which callers request VM addresses.
	entryPath = "/.ferry/entry"
	// headerTimeout bounds the time to receive the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 32 << 10
	// shutdownTimeout bounds the shutdown of a server.
	shutdownTimeout = 2 * time.Second
)

// callerServer serves the requests of callers.
type callerServer struct {
	place   ferry.PlaceID
	next    *proxy.Server
	control *controlLoop
	grace   *drain.Grace

	inFlight atomic.Int64
	total    atomic.Uint64

	mu    sync.Mutex
	drain drain.Controller
}

func newCallerServer(place ferry.PlaceID, next *proxy.Server, control *controlLoop, grace *drain.Grace) *callerServer {
	return &callerServer{place: place, next: next, control: control, grace: grace, drain: drain.Controller{EntryLifetime: entry.Lifetime}}
}

// ServeHTTP implements http.Handler.
func (c *callerServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	if c.grace.IsStopping() {
		writer.Header().Set("Connection", "close")
	}
	if request.URL.Path == entryPath {
		c.serveEntry(writer, request)
		return
	}
	c.total.Add(1)
	// Targets may respond before they have read the whole request.
	if err := http.NewResponseController(writer).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	c.next.ServeHTTP(writer, request)
}

// entryDocument is the JSON form of an entry response.
type entryDocument struct {
	Addresses []string
	// LifetimeSeconds is the time for which the caller may keep the response.
	LifetimeSeconds float64
}

func (c *callerServer) serveEntry(writer http.ResponseWriter, request *http.Request) {
	view := c.control.view.Load()
	var places []ferry.Place
	if snapshot := c.control.snapshot.Load(); snapshot != nil {
		places = snapshot.Inventory().Places
	}
	caller := request.URL.Query().Get("Caller")
	if caller == "" {
		caller, _, _ = net.SplitHostPort(request.RemoteAddr)
	}
	document := entryDocument{Addresses: []string{}, LifetimeSeconds: entry.Lifetime.Seconds()}
	for _, vm := range entry.Choose(view.Serving(), places, c.place, caller) {
		document.Addresses = append(document.Addresses, vm.Callers.String())
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	if len(document.Addresses) == 0 {
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	if err := json.NewEncoder(writer).Encode(document); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// serve accepts callers until ctx ends. A planned stop has served or refused all requests
// by then, or its grace period is over.
func (c *callerServer) serve(ctx context.Context, connections *callerConnections) error {
	defer context.AfterFunc(ctx, func() {
		if c.grace.IsStopping() {
			_ = connections.server.Close()
		}
	})()
	err := serveHTTP(ctx, connections.server, connections.listener)
	if !errors.Is(err, net.ErrClosed) || !c.grace.IsStopping() {
		return err
	}
	// The planned stop goes on without the listener.
	<-ctx.Done()
	return connections.server.Close()
}

// serveHTTP runs a server until ctx ends and then lets its requests finish.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	shutdown := make(chan error, 1)
	cancelShutdown := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		shutdown <- server.Shutdown(shutdownCtx)
	})
	defer cancelShutdown()
	if err := serveOn(server, listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if err := <-shutdown; err != nil {
		return server.Close()
	}
	return nil
}

func (c *callerServer) beginDrain(now ferry.Moment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain.Begin(now)
}

func (c *callerServer) isDrained(now ferry.Moment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drain.IsDone(now, c.inFlight.Load(), c.total.Load())
}

// serveOn serves with TLS when the server has a TLS configuration.
func serveOn(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}
