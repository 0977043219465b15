package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// oddInterval is the time between two odd heartbeats to one machine.
	oddInterval = heartbeatInterval
	oddDuration = 10 * time.Second
)

func init() { cases["odd"] = odd }

// odd lets another writer send heartbeats without the field born, which name a
// server of another service.
func odd(f *fleet, trouble bool) (breaks []string, err error) {
	var mu sync.Mutex
	runs := 0
	for i, service := range []string{oldService, newService, oldService, newService} {
		s := &server{serve: func(s *server, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
			time.Sleep(10 * time.Millisecond)
			f.rec.log("server %s (%s) runs %s", s.id, s.service, r.Header.Get(headerAttempt))
			mu.Lock()
			runs++
			if s.service != oldService {
				breaks = append(breaks, fmt.Sprintf("ROUTE: %s %s was run by %s of %s; every configuration sends it to %s only",
					r.Header.Get(headerAttempt), r.RequestURI, s.id, s.service, oldService))
			}
			mu.Unlock()
			return s.answer(c, r, http.StatusOK, s.service)
		}}
		if _, err := f.addMachine([]string{"quimper-a", "brest-b"}[i%2], service, s); err != nil {
			return nil, err
		}
	}
	f.writeConfiguration(oldVersion, []route{
		{name: "r-1", host: "ficu95.example", prefix: "/lohu930/", kind: "idempotent", service: oldService, timeoutMS: 3000, targetMS: 1000, attempts: 2},
		{name: "r-2", host: "ficu95.example", prefix: "/pufi791/", kind: "idempotent", service: newService, timeoutMS: 3000, targetMS: 1000, attempts: 2},
	})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.awaitReady(8 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * heartbeatInterval)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	results := make(chan result, 100_000)
	for _, m := range f.machines {
		clients.Go(func() { m.client(stop, results) })
	}
	for end := time.Now().Add(oddDuration); time.Now().Before(end); time.Sleep(oddInterval) {
		for _, m := range f.machines {
			if trouble && m.server.service != oldService {
				m.oddHeartbeat()
			}
		}
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if runs < 200 {
		return nil, fmt.Errorf("the servers ran only %d requests", runs)
	}
	return breaks, nil
}

// oddHeartbeat sends a heartbeat without born that names the server of this
// machine as one of another service.
func (m *machine) oddHeartbeat() {
	body, err := json.Marshal(map[string]any{
		"service": oldService, "address": m.server.addr, "zone": m.zone, "version": "v1", "slots": m.server.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	})
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+m.addr(portControl)+"/instances/"+m.server.id+"/heartbeat", "application/json", strings.NewReader(string(body)))
	if err != nil {
		m.fleet.rec.log("other writer: %v", err)
		return
	}
	resp.Body.Close()
	m.fleet.rec.log("other writer: heartbeat without born for %s, which says %s, got %d", m.server.id, oldService, resp.StatusCode)
}
