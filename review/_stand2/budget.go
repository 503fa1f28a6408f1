package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	budgetVMs      = 3
	budgetBackends = 8
	// budgetPerSecond is the number of requests to each VM in a second.
	budgetPerSecond = 20
	// calmTime goes before and after the time in which backends reject requests, shedTime,
	// which the site file has with 8.5 s.
	calmTime = 3 * time.Second
	shedTime = 8 * time.Second
	// shedShare is the part of the requests that every backend rejects then.
	shedShare = 0.55
	// The bounds of the site.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 58
)

// budgetLab records arrivals at backends and requests of clients.
type budgetLab struct {
	record  *record
	started time.Time

	mu       sync.Mutex
	shedding bool
	arrivals map[string][]time.Duration
	requests []time.Duration
}

func (b *budgetLab) serve(backend string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := readHead(reader)
		if err != nil {
			return
		}
		id := r.header["request-id"]
		b.mu.Lock()
		b.arrivals[id] = append(b.arrivals[id], time.Since(b.started))
		isShed := b.shedding && rand.Float64() < shedShare
		b.mu.Unlock()
		if isShed {
			b.record.line("backend %s rejects %s", backend, id)
			if _, err = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id); err != nil {
				return
			}
			continue
		}
		b.record.line("backend %s runs %s", backend, id)
		time.Sleep(20 * time.Millisecond)
		if _, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.1\r\nContent-Length: 3\r\n\r\nok\n", id, id); err != nil {
			return
		}
	}
}

// playBudget starts VMs whose seeds are down, and sends them requests that backends reject
// in part.
func playBudget(r *record, hasTrouble bool) (broken string, err error) {
	l, err := newLab(r, budgetVMs)
	if err != nil {
		return "", err
	}
	defer l.close()
	if hasTrouble {
		// Machines that are down: addresses on which nothing listens.
		l.seeds = []string{l.prefix + "101:8407", l.prefix + "102:8407", l.prefix + "103:8407"}
		r.line("the seeds %v are down", l.seeds)
	}
	b := &budgetLab{record: r, started: r.started, arrivals: map[string][]time.Duration{}}
	for i := range budgetBackends {
		listener, listenErr := net.Listen("tcp4", "127.0.0.1:0")
		if listenErr != nil {
			return "", listenErr
		}
		id := fmt.Sprintf("i-%d", i)
		go func() {
			for {
				conn, acceptErr := listener.Accept()
				if acceptErr != nil {
					return
				}
				go b.serve(id, conn)
			}
		}()
		l.register(id, "savjet", listener.Addr().String(), 4, 1, "ready", time.Now().UnixMilli())
	}
	l.configure(3, []route{{name: "r-safe", prefix: "/lohu930/", kind: "safe", service: "savjet", timeoutMs: 2000, targetMs: 800, isPublic: true}}, nil)
	for _, v := range l.vms {
		if err = l.start(v, true); err != nil {
			return "", err
		}
	}
	if err = l.awaitReady(); err != nil {
		return "", err
	}
	// VMs that can meet have met by then.
	time.Sleep(3 * time.Second)
	statuses := b.send(l)
	r.line("clients got %v", statuses)
	return b.judge(statuses)
}

// send sends requests at a constant rate, and makes the backends reject some of them.
func (b *budgetLab) send(l *lab) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	begin := time.Now()
	for _, v := range l.vms {
		wait.Go(func() {
			ticker := time.NewTicker(time.Second / budgetPerSecond)
			defer ticker.Stop()
			for time.Since(begin) < 2*calmTime+shedTime {
				<-ticker.C
				isShedding := time.Since(begin) > calmTime && time.Since(begin) < calmTime+shedTime
				b.mu.Lock()
				if b.shedding != isShedding {
					b.record.line("backends reject requests: %v", isShedding)
				}
				b.shedding = isShedding
				b.requests = append(b.requests, time.Since(b.started))
				b.mu.Unlock()
				wait.Go(func() {
					id := newID()
					got := sendRead(v.front(), id)
					b.record.line("client got status %d of %s for %s (%v)", got.status, v.name, id, got.err)
					mu.Lock()
					statuses[got.status]++
					mu.Unlock()
				})
			}
		})
	}
	wait.Wait()
	return statuses
}

// judge looks for a window with more arrivals beyond the first of each request than the
// rule allows.
func (b *budgetLab) judge(statuses map[int]int) (broken string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if statuses[200] < 100 {
		return "", errors.New("too few requests were served for a verdict")
	}
	var repeats []time.Duration
	for _, at := range b.arrivals {
		slices.Sort(at)
		repeats = append(repeats, at[1:]...)
	}
	slices.Sort(repeats)
	slices.Sort(b.requests)
	inWindow := func(list []time.Duration, from time.Duration) int {
		low, _ := slices.BinarySearch(list, from)
		high, _ := slices.BinarySearch(list, from+budgetWindow)
		return high - low
	}
	worst, worstText := 0.0, ""
	for _, from := range repeats {
		extra := inWindow(repeats, from)
		requests := max(inWindow(b.requests, from), inWindow(b.requests, from-budgetWindow), inWindow(b.requests, from-budgetWindow/2))
		allowed := budgetRatio*float64(requests) + budgetSlack
		if over := float64(extra) / allowed; over > worst {
			worst = over
			worstText = fmt.Sprintf("from %.1f s: %d arrivals beyond the first of each request, allowed are %.1f (%d requests)", from.Seconds(), extra, allowed, requests)
		}
	}
	b.record.line("worst window %s", worstText)
	if worst > 1 {
		return "BUDGET: " + worstText, nil
	}
	return "", nil
}

// sendRead sends one read on a new connection and reads the answer.
func sendRead(address, id string) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = fmt.Fprintf(conn, "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", id); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn))
}
