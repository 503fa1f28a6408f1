package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// outageRounds is the number of keys that are withdrawn, one in a round.
	outageRounds = 11
	// outageTime is how long the store is down after a withdrawal.
	outageTime = 4500 * time.Millisecond
	// outagePause is the time from the end of an outage to the end of its round.
	outagePause = 3 * time.Second
	// outageInterval is the time between two requests of the clients.
	outageInterval = 4 * time.Millisecond
	// outageRoutes is the number of routes: the size that the users' letter names.
	outageRoutes = 1400
	// outageTenants is the number of further tenants. The letter names 27,000; what the
	// store holds under one key is limited to 1 MB.
	outageTenants = 2000
	// outageRevoke is the bound of the rule, revokeMs.
	outageRevoke = 5 * time.Second
)

// keyOf returns the key of a round.
func keyOf(round int) string { return fmt.Sprintf("2b9wu3fexd9dnn2c%04d", round) }

// outageConfig returns a configuration with many routes and the keys from a round on.
func outageConfig(version, round int) map[string]any {
	keys := []string{"s989anu6wsjnbanfqasn"}
	for ; round < outageRounds; round++ {
		keys = append(keys, keyOf(round))
	}
	routes := []any{}
	random := rand.New(rand.NewPCG(1, 2))
	name := func() string { return strconv.FormatUint(1e10+random.Uint64N(6e10), 36) }
	for i := range outageRoutes {
		route := map[string]any{
			"name": "r-" + name(), "host": host, "prefix": "/" + name() + "/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 800,
			"priority": 1, "service": "savjet", "maxAttempts": 2, "public": false,
		}
		if i == 0 {
			route["prefix"] = "/lohu930/"
		}
		routes = append(routes, route)
	}
	tenants := []any{map[string]any{"name": "huka270", "apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}}
	for range outageTenants {
		tenants = append(tenants, map[string]any{"name": name(), "apiKeys": []string{name() + name() + name(), name() + name() + name()}, "priority": 1, "ratePerS": 10, "burst": 10})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes,
		"services": []any{map[string]any{"name": "savjet", "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}

// outageRequest is a request whose key is withdrawn in its round.
type outageRequest struct {
	round  int
	sentAt time.Time
}

// playOutage withdraws keys one after the other. With the disruption, the store goes
// down as soon as it has acknowledged a withdrawal.
func playOutage(l *lab) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"osijek-a", "split-a", "pula-a"}
	places := map[string]string{"osijek-a": "slavonija", "split-a": "dalmacija", "pula-a": "istra"}
	f, err := newFleet(3, places, s.address)
	if err != nil {
		return false, err
	}
	f.seeds = []int{0, 1, 2}
	s.put("op/config", outageConfig(7, 0))
	var mu sync.Mutex
	sent := map[string]outageRequest{}
	acks := map[int]time.Time{}
	ran, late := 0, 0
	handle := func(b *backend, conn net.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		mu.Lock()
		ran++
		r := sent[id]
		if ack, found := acks[r.round]; found && r.sentAt.Sub(ack) > outageRevoke {
			late++
			l.note("CONFIG: backend %s runs %s, sent %.3f s after the ack of the configuration that took its key away", b.id, id, r.sentAt.Sub(ack).Seconds())
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
	for i := range 3 {
		if _, err = l.startVM(f, i, zones[i%3]); err != nil {
			return false, err
		}
	}
	if err = l.waitReady(f, 15*time.Second, 0, 1, 2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	statuses := map[int]int{}
	var group sync.WaitGroup
	number := 0
	for round := range outageRounds {
		end := make(chan struct{})
		group.Go(func() {
			ticker := time.NewTicker(outageInterval)
			defer ticker.Stop()
			for count := 0; ; count++ {
				select {
				case <-end:
					return
				case <-ticker.C:
				}
				group.Go(func() {
					mu.Lock()
					number++
					id := fmt.Sprintf("%016x", number)
					mu.Unlock()
					status := getUnread(f.front(count%3), "/lohu930/2f", id, keyOf(round), func() {
						mu.Lock()
						sent[id] = outageRequest{round: round, sentAt: time.Now()}
						mu.Unlock()
					})
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				})
			}
		})
		time.Sleep(500 * time.Millisecond)
		next, marshalErr := json.Marshal(outageConfig(8+round, round+1))
		if marshalErr != nil {
			return false, marshalErr
		}
		// The store takes the change and answers no call of a VM from then on.
		s.setDown(l.trouble)
		s.putEncoded("op/config", next)
		ackedAt := time.Now()
		mu.Lock()
		acks[round] = ackedAt
		mu.Unlock()
		l.note("the store acknowledges the configuration without the key of round %d; down: %v", round+1, l.trouble)
		time.Sleep(time.Until(ackedAt.Add(outageTime)))
		s.setDown(false)
		l.note("the store is up")
		time.Sleep(outagePause)
		close(end)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	l.note("%d requests ran, answers by status (0: none): %v", ran, statuses)
	l.note("%d requests ran though they were sent more than %v after the ack of the withdrawal", late, outageRevoke)
	if ran < 100 {
		return false, fmt.Errorf("only %d requests ran", ran)
	}
	return late > 0, nil
}
