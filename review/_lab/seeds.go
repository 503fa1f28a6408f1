package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	quotaRate, quotaBurst = 40.0, 40.0
	// quotaDemand is what the tenant's clients ask for in a second, in all zones.
	quotaDemand = 150
	quotaWindow = 5 * time.Second
	// quotaTraffic is how long the clients send.
	quotaTraffic = 15 * time.Second
	// quotaLead is the time between the start of the machines and of the traffic.
	quotaLead = 8 * time.Second
)

// quotaBound is the bound of the rule for one window.
const quotaBound = (quotaRate*5+quotaBurst)*(1+0.25) + 20

// execution is one request that a backend runs.
type execution struct {
	tenant string
	at     time.Time
}

// playSeeds starts a system for the first time. With the disruption, the three machines
// that the seeds name are down.
func playSeeds(l *lab) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"osijek-a", "split-a", "pula-a"}
	places := map[string]string{"osijek-a": "slavonija", "split-a": "dalmacija", "pula-a": "istra"}
	f, err := newFleet(6, places, s.address)
	if err != nil {
		return false, err
	}
	f.seeds = []int{0, 1, 2}
	s.put("op/config", map[string]any{
		"version": "r7",
		"routes": []any{map[string]any{
			"name": "r-get", "host": host, "prefix": "/lohu930/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 800,
			"priority": 1, "service": "savjet", "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "savjet", "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka270", "apiKeys": []string{"2b9wu3fexd9dnn2ctnfz"}, "priority": 1, "ratePerS": quotaRate, "burst": quotaBurst}},
	})
	var mu sync.Mutex
	ran := map[string]execution{}
	handle := func(b *backend, conn net.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		mu.Lock()
		if _, found := ran[id]; !found {
			ran[id] = execution{tenant: request.Header.Get("Tenant-Id"), at: time.Now()}
		}
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		_, writeErr := io.WriteString(conn, b.head(request, 3)+"ok\n")
		return writeErr == nil
	}
	for i := range 6 {
		if err = l.startBackend(s, &backend{id: fmt.Sprintf("i-%d", i+1), service: "savjet", zone: zones[i%3], capacity: 4, handle: handle}); err != nil {
			return false, err
		}
	}
	started := time.Now()
	alive := []int{}
	for i := range 6 {
		if l.trouble && slices.Contains(f.seeds, i) {
			l.note("VM %d, which the seeds name, is down", i+1)
			continue
		}
		if _, err = l.startVM(f, i, zones[i%3]); err != nil {
			return false, err
		}
		alive = append(alive, i)
	}
	if err = l.waitReady(f, 7*time.Second, alive...); err != nil {
		return false, err
	}
	time.Sleep(time.Until(started.Add(quotaLead)))
	l.note("traffic starts: the tenant asks for %d requests a second, its limit is %.0f and a burst of %.0f", quotaDemand, quotaRate, quotaBurst)
	statuses := map[int]int{}
	var group sync.WaitGroup
	for zone, name := range zones {
		group.Go(func() {
			// Nodes of the zone first, then the others.
			nodes := []int{zone, zone + 3}
			for i := range 6 {
				if i%3 != zone {
					nodes = append(nodes, i)
				}
			}
			addresses := resolve(f, host, places[name], name, nodes...)
			resolvedAt := time.Now()
			l.note("clients in %s are told %v", name, addresses)
			var requests sync.WaitGroup
			ticker := time.NewTicker(time.Second * 3 / quotaDemand)
			defer ticker.Stop()
			for number := range int(quotaTraffic.Seconds()) * quotaDemand / 3 {
				<-ticker.C
				if time.Since(resolvedAt) > 5*time.Second {
					if fresh := resolve(f, host, places[name], name, nodes...); len(fresh) > 0 {
						addresses = fresh
					}
					resolvedAt = time.Now()
				}
				if len(addresses) == 0 {
					continue
				}
				address := addresses[number%len(addresses)]
				requests.Go(func() {
					status := get(address, "/lohu930/2f", fmt.Sprintf("%08x%08x", zone+1, number), "2b9wu3fexd9dnn2ctnfz")
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				})
			}
			requests.Wait()
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	l.note("answers to clients by status (0: none): %v", statuses)
	times := []time.Time{}
	for _, r := range ran {
		times = append(times, r.at)
	}
	if len(times) < 100 {
		return false, fmt.Errorf("only %d requests ran", len(times))
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	var at time.Time
	for last := range times {
		for times[last].Sub(times[first]) > quotaWindow {
			first++
		}
		if count := last - first + 1; count > most {
			most, at = count, times[first]
		}
	}
	l.note("%d requests ran; in the worst window of %v, from %.3f on, %d ran where the rule allows %.0f", len(times), quotaWindow, at.Sub(l.started).Seconds(), most, quotaBound)
	return float64(most) > quotaBound, nil
}

// get sends one request on a new connection and returns the status of its answer.
func get(address, path, id, key string) int { return getUnread(address, path, id, key, func() {}) }

// getUnread is like get. It calls onSend right before the request is written.
func getUnread(address, path, id, key string, onSend func()) int {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	onSend()
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n\r\n", path, host, id, key)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
