package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	leavingDrain = 2 * time.Second // drain_ms
	// leavingRun is how long requests run, the site's mean for the slowest class.
	leavingRun = 830 * time.Millisecond
	// Requests come in clumps, more at a time than two servers have slots.
	leavingClump = 12
	leavingPause = 900 * time.Millisecond
	// These times count from the acknowledgement of the server's leaving.
	leavingKill    = 1000 * time.Millisecond
	leavingRestart = 2700 * time.Millisecond
	leavingExit    = 4500 * time.Millisecond
	leavingEnd     = 7 * time.Second
)

func init() { cases["leaving"] = playLeaving }

// playLeaving lets a server deregister and say in its answers that it leaves.
// The process of its node is killed and starts again while the store turns that
// machine away, and a heartbeat that the server had sent before it left arrives
// seconds late.
func playLeaving(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, plainConfig, "alpha", "alpha", "alpha")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return verdict{}, err
	}
	front, beside := f.machines[0], f.machines[1]
	s := beside.server
	for _, m := range f.machines {
		m.server.setWork(func(*http.Request) time.Duration { return leavingRun })
	}
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var passedOn time.Time // the first answer of the server that said that it leaves
	lost, waiting := 0, sync.WaitGroup{}
	spend := func(n int) {
		waiting.Go(func() {
			r := request{method: http.MethodPost, host: "a.example", path: fmt.Sprintf("/spend/%d", n), deadline: 4 * time.Second, id: newID(), body: "one reveal"}
			mu.Lock()
			sentAt[r.id] = time.Now()
			mu.Unlock()
			a := f.sendOnce(front, r)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.header.Get("Server-Leaving") != "" && passedOn.IsZero() {
				passedOn = time.Now()
				rec.event("passed-on", "machine", front.name, "id", r.id, "signature", a.signature)
			}
			if a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
				lost++
			}
		})
	}
	// The clumps start at fixed times from begin on.
	n, begin, next := 0, time.Now(), 0*time.Second
	trafficUntil := func(end time.Time) {
		for {
			at := begin.Add(next)
			if at.After(end) {
				time.Sleep(time.Until(end))
				return
			}
			time.Sleep(time.Until(at))
			next += leavingPause
			for range leavingClump {
				spend(n)
				n++
			}
		}
	}
	// The server leaves while it runs requests.
	trafficUntil(begin.Add(2*leavingPause + 600*time.Millisecond))
	s.mu.Lock()
	late := s.beat("ready", s.sequence) // its last heartbeat, which arrives once more
	s.beating, s.draining = false, true
	s.mu.Unlock()
	acknowledged := s.send("deregister", fmt.Sprintf(`{"born":%d}`, s.born))
	left := time.Now()
	rec.event("deregister", "server", s.id, "acknowledged", acknowledged)
	trafficUntil(left.Add(leavingKill))
	if trouble {
		beside.storeBusy.Store(true)
		rec.event("store-busy", "machine", beside.name)
		beside.signal(syscall.SIGKILL)
		beside.kill()
	}
	trafficUntil(left.Add(leavingRestart))
	if trouble {
		// The seeds are stale: no machine has this address any more.
		beside.seeds = []any{fmt.Sprintf("%s:%d", beside.ip[:len(beside.ip)-1]+"99", beside.ports["control_plane"])}
		if err := beside.start(); err != nil {
			return verdict{}, err
		}
	}
	if trouble {
		// The late heartbeat arrives as soon as the new process listens.
		for !s.send("heartbeat", late) {
			time.Sleep(5 * time.Millisecond)
		}
		rec.event("late-heartbeat", "server", s.id, "acknowledged", true)
	}
	trafficUntil(left.Add(leavingExit))
	s.end()
	rec.event("exit", "server", s.id)
	trafficUntil(left.Add(leavingEnd))
	waiting.Wait()

	mu.Lock()
	defer mu.Unlock()
	if !acknowledged || passedOn.IsZero() {
		return verdict{}, fmt.Errorf("the server's leaving was not acknowledged (%t) or not passed on (%t)", acknowledged, passedOn.IsZero())
	}
	broken := 0
	for _, run := range f.allRuns() {
		if run.server == s.id && sentAt[run.id].Sub(passedOn) > leavingDrain {
			broken++
			rec.event("late-run", "server", s.id, "id", run.id, "sent_after_ms", sentAt[run.id].Sub(passedOn).Milliseconds(), "from", front.name)
		}
	}
	text := fmt.Sprintf("%d requests sent later than drain_ms after %s had passed on the server's statement reached it from there; %d of all %d requests ended with 502, 504 or without an answer",
		broken, front.name, lost, n)
	return verdict{broken: broken > 0, text: text}, nil
}
