package demo

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry/fake"
)

// process is one started program.
type process struct {
	id      string
	address string
	command *exec.Cmd
	killed  atomic.Bool
	done    chan struct{}
}

// kill ends the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	p.killed.Store(true)
	_ = p.command.Process.Kill()
	<-p.done
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// requestStop starts the planned stop of the process with SIGTERM.
func (p *process) requestStop() error {
	return trace.ConvertSystemError(p.command.Process.Signal(syscall.SIGTERM))
}

func (p *process) isKilled() bool { return p.killed.Load() }

// freeAddress returns a loopback address without a listener.
func freeAddress() (string, error) {
	var address netip.AddrPort
	var err error
	if address, err = fake.FreeAddress(); err != nil {
		return "", trace.Wrap(err)
	}
	return address.String(), nil
}

// launch starts a program and appends its output to a log file.
func (f *fleet) launch(p *process, program string, args ...string) error {
	name := filepath.Join(f.config.Directory, p.id+".log")
	var log *os.File
	var err error
	if log, err = os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	p.command = exec.Command(program, args...) //nolint:gosec,noctx // Config names the programs.
	p.command.Stdout, p.command.Stderr = log, log
	p.done = make(chan struct{})
	if err = p.command.Start(); err != nil {
		return trace.ConvertSystemError(err)
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return nil
}

// isListening reports whether an address accepts connections.
func isListening(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: time.Second}
	var conn net.Conn
	var err error
	if conn, err = dialer.DialContext(ctx, "tcp", address); err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
