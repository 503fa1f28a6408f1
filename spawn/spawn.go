// Package spawn starts real processes of VMs for tests, and servers beside them, on
// loopback addresses.
//
// # Usage
//
//	program, remove, err := spawn.Build()
//	vm := spawn.VM{Program: program, ID: "vm-1", Host: "127.32.7.1", Store: spawn.Serve(t, store), ...}
//	err = vm.WriteSettings()
//	process, err := vm.Start()
package spawn

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// The ports of a VM.
const (
	CallerPort    = 8405
	ReadyPort     = 8406
	ControlPort   = 8407
	DirectoryPort = 8404
)

// headerTimeout bounds the header of a request to a server beside the VMs.
const headerTimeout = time.Minute

const settingsName, logName = "node.json", "vm.log"

// Build builds the program and returns its path. remove deletes it.
func Build() (program string, remove func(), err error) {
	directory, err := os.MkdirTemp("", "spawn")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(directory) }
	program = filepath.Join(directory, "monsoonferry")
	build := exec.Command("go", "build", "-o", program, "monsoonferry.org/ferry/cmd/monsoonferry") //nolint:gosec // its own temporary path
	if output, buildErr := build.CombinedOutput(); buildErr != nil {
		remove()
		return "", nil, fmt.Errorf("%s: %w", output, buildErr)
	}
	return program, remove, nil
}

// Serve serves HTTP on a free port until the end of the test and returns its address.
func Serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	server, address, err := Listen(handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return address
}

// Listen serves HTTP on a free port until the server is closed.
func Listen(handler http.Handler) (server *http.Server, address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// VM describes a VM.
type VM struct {
	Program string
	ID      string
	Place   string
	Places  map[string]string
	// Host is the address of all ports. Seeds holds the hosts of other VMs.
	Host  string
	Seeds []string
	// Store is the address of the operators' store.
	Store           string
	MemoryMegabytes int
	MaxDescriptors  int
	ProcessorShare  float64
	// First reports that the whole fleet starts for the first time.
	First  bool
	Bounds map[string]any
	// Directory holds the settings file and the log of all processes of the VM.
	Directory string
}

// Address returns the address of a port.
func (v VM) Address(port int) string { return fmt.Sprintf("%s:%d", v.Host, port) }

// LogPath returns the path of the log.
func (v VM) LogPath() string { return filepath.Join(v.Directory, logName) }

// WriteSettings writes the settings file.
func (v VM) WriteSettings() error {
	seeds := make([]string, len(v.Seeds))
	for i, host := range v.Seeds {
		seeds[i] = VM{Host: host}.Address(ControlPort)
	}
	text, err := json.Marshal(map[string]any{
		"ID": v.ID, "Place": v.Place, "Places": v.Places, "Address": v.Host,
		"PeerPorts": []int{7660, 7675}, "Seeds": seeds, "Store": v.Store,
		"Listen": map[string]string{
			"Callers": v.Address(CallerPort), "Ready": v.Address(ReadyPort),
			"Control": v.Address(ControlPort), "Directory": v.Address(DirectoryPort),
		},
		"MemoryMegabytes": v.MemoryMegabytes, "MaxDescriptors": v.MaxDescriptors,
		"ProcessorShare": v.ProcessorShare, "ProcessorSpeed": 1, "First": v.First, "Bounds": v.Bounds,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(v.Directory, settingsName), text, 0o600)
}

// Process is a process of a VM.
type Process struct {
	*exec.Cmd
	// Exited is closed when the process has ended.
	Exited chan struct{}
}

// Start starts a process with the settings that were written last.
func (v VM) Start() (*Process, error) {
	log, err := os.OpenFile(v.LogPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Cmd:    exec.Command(v.Program, "node", "--settings", filepath.Join(v.Directory, settingsName)), //nolint:gosec // the test names its program
		Exited: make(chan struct{}),
	}
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.Directory, "GOMAXPROCS=2"}
	p.Stdout, p.Stderr = log, log
	if err = p.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	go func() {
		// ProcessState tells how it ended.
		_ = p.Wait()
		_ = log.Close()
		close(p.Exited)
	}()
	return p, nil
}
