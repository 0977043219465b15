package main

import (
	"fmt"
	"syscall"
	"time"
)

// lossSlack is loss_slack_ms of the site.
const lossSlack = 200 * time.Millisecond

// stopQueued: a node is stopped as planned while requests of its clients wait
// for a slot of a busy service. Each of them must get an answer.
func stopQueued(f *fleet, trouble bool) ([]string, error) {
	c := &clients{rec: f.rec}
	from, busy, err := busyFleet(f)
	if err != nil {
		return nil, err
	}
	stopped := from[0]
	const stopAt = 4 * time.Second
	c.wave(from, 0, 500*time.Millisecond)
	c.leaveAndEnd(busy[:2])
	c.wave(from, 500*time.Millisecond, stopAt)
	termAt := time.Now()
	if trouble {
		stopped.process.Process.Signal(syscall.SIGTERM)
		f.rec.log("node %s gets SIGTERM", stopped.name)
		go func() {
			<-stopped.exited
			f.rec.log("node %s has ended %.3f s after SIGTERM", stopped.name, time.Since(termAt).Seconds())
		}()
	}
	// The platform asks for readiness once a second, and clients get no new
	// work after two misses.
	c.wave(from, stopAt, stopAt+2*time.Second)
	c.wave(from[1:], stopAt+2*time.Second, stopAt+6*time.Second)
	c.waiting.Wait()
	reached := make(map[string]bool)
	for _, m := range busy {
		for _, a := range m.server.seen() {
			reached[a.id] = true
		}
	}
	var breaches []string
	for _, q := range c.requests {
		if q.machine != stopped || q.status != 0 || !q.connected || q.endedAt.Before(termAt) {
			continue
		}
		// A server that had the request is excused in the last sixth of
		// grace_s; these were not passed on to any.
		if held := q.endedAt.Sub(q.sentAt); !reached[q.id] && held > lossSlack && held < gridDeadline-lossSlack {
			breaches = append(breaches, fmt.Sprintf("LOST: %s, sent to %s %.3f s after its SIGTERM, was read, passed on to no server, and its connection ended without an answer after %.3f s",
				q.id, stopped.name, q.sentAt.Sub(termAt).Seconds(), held.Seconds()))
		}
	}
	return breaches, nil
}
