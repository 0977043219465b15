package main

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// The load of the busy service. Each of its eight servers can run 4.8 requests
// of gridWork a second. The demand is a wave with the swing and the period of
// the site; on average it needs 88% of the eight servers.
const (
	busyServers  = 8
	gridWork     = 830 * time.Millisecond
	gridDeadline = 10 * time.Second
	averageRate  = 0.88 * busyServers * slots / 0.83 // requests a second
	waveSwing    = 0.55
	wavePeriod   = 17 * time.Second
)

// busyFleet starts two machines from which requests come, and those whose
// servers run them.
func busyFleet(f *fleet) (from, busy []*machine, err error) {
	from = []*machine{f.addMachine("indices"), f.addMachine("indices")}
	for range busyServers {
		m := f.addMachine("grilles")
		m.server.work = func(*http.Request) time.Duration { return gridWork }
		busy = append(busy, m)
	}
	f.store.Write("config", "main", configuration(7, "indices"))
	return from, busy, f.startAll()
}

// wave sends the requests of the part from begin to end of the demand's wave,
// from the machines in turn. Its crest is at a quarter of wavePeriod.
func (c *clients) wave(from []*machine, begin, end time.Duration) {
	started, sent, due := time.Now(), 0, 0.0
	for now := begin; now < end; now = begin + time.Since(started) {
		const step = 5 * time.Millisecond
		due = waveTotal(now) - waveTotal(begin)
		for ; float64(sent) < due; sent++ {
			c.turn++
			c.goSend(from[c.turn%len(from)], "GET", fmt.Sprintf("/grid/%d", c.turn), "", gridDeadline)
		}
		time.Sleep(step)
	}
}

// waveTotal returns how many requests the wave has up to a time.
func waveTotal(t time.Duration) float64 {
	omega := 2 * math.Pi / wavePeriod.Seconds()
	return averageRate * (t.Seconds() + waveSwing*(1-math.Cos(omega*t.Seconds()))/omega)
}

// leave makes a server report that it is draining until that is acknowledged.
func (s *server) leave() {
	s.setState("draining")
	for !s.heartbeat() {
		time.Sleep(100 * time.Millisecond)
	}
	s.mu.Lock()
	s.leftAt = time.Now()
	s.mu.Unlock()
	s.m.fleet.rec.log("the node beside %s has acknowledged that it is draining", s.id)
}

// leaveAndEnd makes servers leave. They end drain_ms and a little later.
func (c *clients) leaveAndEnd(machines []*machine) {
	for _, m := range machines {
		c.waiting.Add(1)
		go func() {
			defer c.waiting.Done()
			m.server.leave()
			time.Sleep(drainBound + time.Second)
			m.server.deregister()
			m.server.close()
		}()
	}
}
