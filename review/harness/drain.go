package main

import (
	"fmt"
	"time"
)

// drainQueue: a server of a busy service leaves. Requests that wait for a slot
// beside it when its node acknowledges that it is draining must not reach it
// later than drain_ms after the acknowledgement.
func drainQueue(f *fleet, trouble bool) ([]string, error) {
	c := &clients{rec: f.rec}
	from, busy, err := busyFleet(f)
	if err != nil {
		return nil, err
	}
	const leavesAt = 6 * time.Second
	c.wave(from, 0, 500*time.Millisecond)
	c.leaveAndEnd(busy[:2])
	c.wave(from, 500*time.Millisecond, leavesAt)
	leaving := busy[2].server
	if trouble {
		leaving.leave()
	}
	c.wave(from, leavesAt, leavesAt+6*time.Second)
	if trouble {
		leaving.deregister()
		leaving.close()
	}
	c.waiting.Wait()
	var breaches []string
	for _, m := range busy {
		for _, a := range m.server.seen() {
			if late := m.server.lateAfterLeave(a); late > 0 {
				breaches = append(breaches, fmt.Sprintf("DRAIN: %s reached server %s %.3f s after the acknowledgement, %.3f s later than drain_ms allows",
					a.id, m.server.id, (late+drainBound).Seconds(), late.Seconds()))
			}
		}
	}
	return breaches, nil
}

// lateAfterLeave returns by how much a request reached the server later than
// drain_ms after the acknowledgement of its leaving; 0 if it did not.
func (s *server) lateAfterLeave(a arrival) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leftAt.IsZero() || a.rejected {
		return 0
	}
	return max(0, a.at.Sub(s.leftAt)-drainBound)
}
