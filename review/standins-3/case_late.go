package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainTime = 2 * time.Second // drain_ms
	// lateness is how late the first heartbeats of the servers arrive.
	lateness = 5 * time.Second
)

func init() { cases["late"] = late }

// late lets servers leave soon after their start, by a deregistration, and kills
// their nodes, which start again. The first heartbeat of each server arrives late.
func late(f *fleet, trouble bool) (breaks []string, err error) {
	var mu sync.Mutex
	var runs atomic.Int64
	acknowledged := map[*server]time.Time{}
	serve := func(s *server, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		arrived := time.Now()
		runs.Add(1)
		f.rec.log("server %s runs %s", s.id, r.Header.Get(headerAttempt))
		mu.Lock()
		if at, ok := acknowledged[s]; ok && arrived.Sub(at) > drainTime {
			breaks = append(breaks, fmt.Sprintf("DRAIN: %s reached server %s %.1f s after its node had acknowledged that it leaves",
				r.Header.Get(headerAttempt), s.id, arrived.Sub(at).Seconds()))
		}
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return s.answer(c, r, http.StatusOK, "done")
	}
	for i := range 6 {
		s := &server{serve: serve, silent: i >= 3}
		if _, err := f.addMachine([]string{"quimper-a", "brest-b"}[i%2], oldService, s); err != nil {
			return nil, err
		}
	}
	f.writeConfiguration(oldVersion, []route{{name: "r-1", host: "ficu95.example", prefix: "/lohu930/", kind: "idempotent", service: oldService, timeoutMS: 3000, targetMS: 1000, attempts: 2}})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.awaitReady(8 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients, leaves sync.WaitGroup
	results := make(chan result, 100_000)
	for _, m := range f.machines {
		for range 3 {
			clients.Go(func() { m.client(stop, results) })
		}
	}
	var allLeft, killed sync.WaitGroup
	allLeft.Add(3)
	killed.Add(1)
	for _, m := range f.machines[3:] {
		leaves.Go(func() {
			s := m.server
			s.born = time.Now().UnixMilli()
			first, sent := s.heartbeat(), time.Now()
			if !trouble {
				s.post("heartbeat", first)
			}
			time.Sleep(heartbeatInterval)
			s.post("heartbeat", s.heartbeat())
			time.Sleep(200 * time.Millisecond)
			s.leaving.Store(true)
			if !s.post("deregister", fmt.Sprintf(`{"born":%d}`, s.born)) {
				f.rec.log("server %s: no acknowledgement", s.id)
			}
			mu.Lock()
			acknowledged[s] = time.Now()
			mu.Unlock()
			f.rec.log("server %s leaves, acknowledged", s.id)
			allLeft.Done()
			killed.Wait()
			if trouble {
				sleepUntil(sent.Add(lateness))
				f.rec.log("server %s: its first heartbeat arrives, acknowledged: %v", s.id, s.post("heartbeat", first))
			}
			time.Sleep(4 * time.Second)
		})
	}
	allLeft.Wait()
	f.killAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	killed.Done()
	leaves.Wait()
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if runs.Load() < 200 || len(acknowledged) == 0 {
		return nil, fmt.Errorf("only %d requests ran, and %d servers left", runs.Load(), len(acknowledged))
	}
	return breaks, nil
}
