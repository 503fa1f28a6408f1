package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// quotaRate and quotaBurst are the limits of the tenant.
	quotaRate, quotaBurst = 59, 59
	// quotaPerSecond is the number of its requests to all VMs in a second.
	quotaPerSecond = 240
	quotaTraffic   = 12 * time.Second
	// The bounds of the site.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20
	tenantName   = "huka270"
	tenantKey    = "2b9wu3fexd9dnn2ctnfz"
)

// quotaLab records what backends run.
type quotaLab struct {
	record *record

	mu   sync.Mutex
	runs []time.Duration
}

func (q *quotaLab) serve(backend string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := readHead(reader)
		if err != nil {
			return
		}
		id := r.header["request-id"]
		at := time.Since(q.record.started)
		q.mu.Lock()
		q.runs = append(q.runs, at)
		q.mu.Unlock()
		q.record.line("backend %s runs %s of %s", backend, id, r.header["tenant-id"])
		if _, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.1\r\nContent-Length: 3\r\n\r\nok\n", id, id); err != nil {
			return
		}
	}
}

// playTwoHalves starts four VMs for the first time. With trouble, the seeds of each half
// name VMs of this half only, and a machine that is down.
func playTwoHalves(r *record, hasTrouble bool) (broken string, err error) {
	return playQuota(r, 4, hasTrouble, func(l *lab, index int) []string {
		half := l.vms[:2]
		if index >= 2 {
			half = l.vms[2:]
		}
		return []string{half[0].host + ":8407", half[1].host + ":8407", l.prefix + "101:8407"}
	})
}

// playSeedsDown starts nine VMs of one place for the first time. With trouble, the three
// machines that the seeds name are down.
func playSeedsDown(r *record, hasTrouble bool) (broken string, err error) {
	return playQuota(r, 9, hasTrouble, func(l *lab, _ int) []string {
		return []string{l.prefix + "101:8407", l.prefix + "102:8407", l.prefix + "103:8407"}
	})
}

// playQuota starts a fleet for the first time and sends it more requests of a tenant than
// its limit. With trouble, the settings of each VM name the given seeds.
func playQuota(r *record, vms int, hasTrouble bool, seeds func(l *lab, index int) []string) (broken string, err error) {
	l, err := newLab(r, vms)
	if err != nil {
		return "", err
	}
	defer l.close()
	q := &quotaLab{record: r}
	for i := range 8 {
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
				go q.serve(id, conn)
			}
		}()
		l.register(id, "savjet", listener.Addr().String(), 4, 1, "ready", time.Now().UnixMilli())
	}
	l.configure(3, []route{{name: "r-safe", prefix: "/lohu930/", kind: "safe", service: "savjet", timeoutMs: 2000, targetMs: 800}},
		[]map[string]any{{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": quotaRate, "burst": quotaBurst}})
	for i, v := range l.vms {
		if hasTrouble {
			l.seeds = seeds(l, i)
			r.line("the seeds of %s are %v", v.name, l.seeds)
		}
		if err = l.start(v, true); err != nil {
			return "", err
		}
	}
	if err = l.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	statuses := q.send(l)
	r.line("clients got %v", statuses)
	if statuses[200] < 100 {
		return "", errors.New("too few requests were served for a verdict")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	slices.Sort(q.runs)
	worst, worstAt := 0, time.Duration(0)
	for i, from := range q.runs {
		high, _ := slices.BinarySearch(q.runs, from+quotaWindow)
		if high-i > worst {
			worst, worstAt = high-i, from
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	text := fmt.Sprintf("from %.1f s, %d requests of the tenant ran in %v, allowed are %.1f", worstAt.Seconds(), worst, quotaWindow, allowed)
	r.line("worst window: %s", text)
	if float64(worst) > allowed {
		return "QUOTA: " + text, nil
	}
	return "", nil
}

// send sends the tenant's requests to all VMs at a constant rate.
func (q *quotaLab) send(l *lab) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	begin := time.Now()
	for _, v := range l.vms {
		wait.Go(func() {
			ticker := time.NewTicker(time.Second * time.Duration(len(l.vms)) / quotaPerSecond)
			defer ticker.Stop()
			for time.Since(begin) < quotaTraffic {
				<-ticker.C
				wait.Go(func() {
					id := newID()
					got := sendKeyed(v.front(), id)
					q.record.line("client got status %d of %s for %s (%v)", got.status, v.name, id, got.err)
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

// sendKeyed sends one read with the tenant's key on a new connection.
func sendKeyed(address, id string) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = fmt.Fprintf(conn, "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n\r\n", id, tenantKey); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn))
}
