// Command review-lab plays the scripts under review/: it starts VMs with the command
// of the deploy file and stand-ins for the platform's store, the backends and the
// clients, all on loopback addresses and the real clock.
//
//	review-lab CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held
// and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lab is one run of a case.
type lab struct {
	trouble bool
	temp    string
	program string
	started time.Time

	mu     sync.Mutex
	record *bufio.Writer
	vms    []*vm
}

// maxRun bounds a run.
const maxRun = 115 * time.Second

// cases maps the names of cases to what plays them. A case reports whether the rule
// was broken.
var cases = map[string]func(*lab) (bool, error){
	"early":  playEarly,
	"seeds":  playSeeds,
	"outage": playOutage,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER")
		return 2
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	own, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l.program = filepath.Join(filepath.Dir(own), "monsoonferry")
	if _, err = os.Stat(l.program); err != nil {
		fmt.Fprintln(os.Stderr, "the build of the deploy file is missing:", err)
		return 2
	}
	if l.temp, err = os.MkdirTemp("", "review-lab-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l.record = bufio.NewWriter(file)
	var once sync.Once
	end := func() {
		once.Do(func() {
			l.stopAll()
			l.mu.Lock()
			_ = l.record.Flush()
			l.mu.Unlock()
			_ = file.Close()
			if os.Getenv("KEEP") == "" {
				_ = os.RemoveAll(l.temp)
			} else {
				fmt.Fprintln(os.Stderr, "logs are in", l.temp)
			}
		})
	}
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRun):
		}
		l.note("the run was ended early")
		end()
		os.Exit(2)
	}()
	l.note("case %s, disruption %v", os.Args[1], l.trouble)
	isBroken, err := cases[os.Args[1]](l)
	switch {
	case err != nil:
		l.note("result: could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case isBroken:
		l.note("result: the rule was broken")
		return 1
	}
	l.note("result: the rule held")
	return 0
}

// note writes a line to the record, with the time since the start.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}
