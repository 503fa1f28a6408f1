// Package fake implements fakes of the systems around a fleet: the platform's
// service and the targets.
//
// # Concept
//
// The fakes implement the protocols of the real systems and inject faults.
// They run inside tests and as processes of the ferrylab command, where faults
// are set over HTTP at paths below /control.
//
// # Usage
//
//	platform := fake.NewPlatform()
//	platform.Publish("Manifest", body)
//	platform.SetMode(fake.ModeStale)
//	http.Serve(listener, platform)
package fake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// Mode selects normal operation or a fault of the platform.
type Mode string

// Modes of the platform.
const (
	ModeUp Mode = "Up"
	// ModeDown aborts every call.
	ModeDown Mode = "Down"
	// ModeStale returns the values as of the time when the mode was set.
	ModeStale Mode = "Stale"
	// ModeSlow delays every response by one second.
	ModeSlow Mode = "Slow"
	// ModeFlap alternates between the current values and those of ModeStale.
	ModeFlap Mode = "Flap"
)

const slowDelay = time.Second

type value struct {
	version uint64
	body    []byte
}

// Platform implements the platform's service.
type Platform struct {
	mu          sync.Mutex
	mode        Mode
	values      map[string]value
	staleValues map[string]value
	version     uint64
	changed     chan struct{}
	calls       atomic.Uint64
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	return &Platform{mode: ModeUp, values: map[string]value{}, staleValues: map[string]value{}, changed: make(chan struct{})}
}

// Publish sets a value. Its version is higher than all earlier versions.
func (p *Platform) Publish(name string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.values[name] = value{version: p.version, body: body}
	p.notifyChange()
}

// PublishInventory publishes the parts of an inventory and the list of VMs, then
// the manifest, in the same order as operators. It returns an error when the
// inventory cannot be encoded.
func (p *Platform) PublishInventory(inventory *ferry.Inventory, list ferry.VMList) (err error) {
	var manifest conf.Manifest
	var parts map[string][]byte
	if manifest, parts, err = conf.Split(inventory); err != nil {
		return err
	}
	var listText, manifestText []byte
	if listText, err = conf.FormatVMList(list); err != nil {
		return err
	}
	if manifestText, err = conf.FormatManifest(manifest); err != nil {
		return err
	}
	for name, body := range parts {
		p.Publish(name, body)
	}
	p.Publish(conf.VMListName, listText)
	p.Publish(conf.ManifestName, manifestText)
	return nil
}

// SetMode changes the mode. ModeStale and ModeFlap record the current values.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == ModeStale || mode == ModeFlap {
		p.staleValues = make(map[string]value, len(p.values))
		for name, v := range p.values {
			p.staleValues[name] = v
		}
	}
	p.mode = mode
	p.notifyChange()
}

// Calls returns the number of reads of values so far.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

func (p *Platform) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// read returns a value, the mode and a channel that closes at the next change.
func (p *Platform) read(name string) (v value, ok bool, mode Mode, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	source := p.values
	if p.mode == ModeStale || (p.mode == ModeFlap && p.calls.Load()%2 == 0) {
		source = p.staleValues
	}
	v, ok = source[name]
	return v, ok, p.mode, p.changed
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch name, isValue := strings.CutPrefix(request.URL.Path, "/values/"); {
	case isValue:
		p.serveValue(writer, request, name)
	case strings.HasPrefix(request.URL.Path, "/control/"):
		p.serveControl(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

func (p *Platform) serveValue(writer http.ResponseWriter, request *http.Request, name string) {
	p.calls.Add(1)
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("WaitMs"))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(waitMillis)*time.Millisecond)
	defer cancel()
	for {
		v, ok, mode, changed := p.read(name)
		if mode == ModeDown {
			panic(http.ErrAbortHandler)
		}
		if mode == ModeSlow {
			time.Sleep(slowDelay)
		}
		if ok && v.version > after {
			writer.Header().Set("Value-Version", strconv.FormatUint(v.version, 10))
			_, _ = writer.Write(v.body)
			return
		}
		if !ok && after == 0 {
			http.NotFound(writer, request)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			writer.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

// callsDocument is the JSON response of the control interface.
type callsDocument struct {
	Calls uint64
}

// maxControlBytes limits the request body at the control interface.
const maxControlBytes = 4 << 20

// serveControl publishes values, sets the mode or reports the number of calls.
func (p *Platform) serveControl(writer http.ResponseWriter, request *http.Request) {
	var body []byte
	var err error
	if body, err = io.ReadAll(io.LimitReader(request.Body, maxControlBytes)); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	path := strings.TrimPrefix(request.URL.Path, "/control/")
	if name, isValue := strings.CutPrefix(path, "values/"); isValue {
		p.Publish(name, body)
		return
	}
	if path == "mode" {
		p.SetMode(Mode(body))
		return
	}
	if err := json.NewEncoder(writer).Encode(callsDocument{Calls: p.Calls()}); err != nil {
		panic(http.ErrAbortHandler)
	}
}
