package main

import (
	"fmt"
	"time"
)

const (
	// applyBound is config_apply_ms of the site, and outerBound outer_ms, by
	// which an unstable core stretches it at most.
	applyBound = 2 * time.Second
	outerBound = 5 * time.Second
	// turnedAwayTime is how long the store turns some machines away.
	turnedAwayTime = 9 * time.Second
	// turnedAwayShare bounds their share.
	turnedAwayShare = 0.35
)

// turnedAway: the store turns away the machines that read it last, at most
// turnedAwayShare of all, and serves the others and the operator. The operator
// changes the configuration. The machines that the store serves must use it in
// time.
func turnedAway(f *fleet, trouble bool) ([]string, error) {
	c := &clients{rec: f.rec}
	for i := range 18 {
		service := "indices"
		if i%3 == 2 {
			service = "grilles"
		}
		f.addMachine(service)
	}
	f.store.Write("config", "main", configuration(4, "indices"))
	if err := f.startAll(); err != nil {
		return nil, err
	}
	turned := make(map[*machine]bool)
	for _, m := range f.machines {
		if since := time.Since(m.lastStoreCall()); since < 1500*time.Millisecond && float64(len(turned)+1) <= turnedAwayShare*float64(len(f.machines)) {
			turned[m] = true
		}
	}
	if trouble {
		for m := range turned {
			m.setTurnedAway(true)
			f.rec.log("the store turns %s away (503)", m.name)
		}
		time.AfterFunc(turnedAwayTime, func() {
			for m := range turned {
				m.setTurnedAway(false)
			}
			f.rec.log("the store serves all machines again")
		})
	}
	// Watches that were waiting have ended by then.
	time.Sleep(1200 * time.Millisecond)
	f.store.Write("config", "main", configuration(8, "grilles"))
	ackAt := time.Now()
	f.rec.log("operator: version 8 is acknowledged, it moves /peek/ from indices to grilles")
	var served []*machine
	for _, m := range f.machines {
		if !turned[m] {
			served = append(served, m)
		}
	}
	for n := 0; time.Since(ackAt) < turnedAwayTime+5*time.Second; n++ {
		c.goSend(served[n%len(served)], "GET", fmt.Sprintf("/peek/%d", n), "", 3*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	c.waiting.Wait()
	ranBy := make(map[string]string)
	for _, m := range f.machines {
		for _, a := range m.server.seen() {
			if a.ran {
				ranBy[a.id] = m.service
			}
		}
	}
	var breaches []string
	for _, q := range c.requests {
		if late := q.sentAt.Sub(ackAt); late > applyBound+outerBound && ranBy[q.id] == "indices" {
			breaches = append(breaches, fmt.Sprintf("CONFIG: %s sent to %s, which the store serves, %.3f s after version 8 was acknowledged, was run by the service of version 4",
				q.id, q.machine.name, late.Seconds()))
		}
	}
	return breaches, nil
}
