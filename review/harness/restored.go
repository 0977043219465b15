package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// downgradeSlack is downgrade_slack_ms of the site.
	downgradeSlack = 250 * time.Millisecond
	// storeAway is how long the store is away before it comes back.
	storeAway = 2 * time.Second
	// rewriteDelay is the time from the store's return until the operator has
	// written again what it has lost.
	rewriteDelay = 4 * time.Second
)

// restoredOlder: the store comes back from a copy some seconds old, and the
// operator writes the configuration again that it has lost. No node may go back
// to the older configuration meanwhile.
func restoredOlder(f *fleet, trouble bool) ([]string, error) {
	c := &clients{rec: f.rec}
	for _, service := range []string{"indices", "indices", "grilles", "grilles"} {
		f.addMachine(service)
	}
	f.store.Write("config", "main", configuration(4, "indices"))
	if err := f.startAll(); err != nil {
		return nil, err
	}
	older := f.store.Copy()
	f.store.Write("config", "main", configuration(8, "grilles"))
	f.rec.log("operator: version 8 is acknowledged, it moves /peek/ from indices to grilles")
	restarted := f.machines[3]
	restarted.process.Process.Signal(syscall.SIGTERM)
	f.rec.log("node %s gets SIGTERM", restarted.name)
	stop := make(chan struct{})
	for i, m := range f.machines[:3] {
		c.waiting.Add(1)
		go func() {
			defer c.waiting.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				c.send(m, "GET", fmt.Sprintf("/peek/%d-%d", i, n), "", 3*time.Second)
			}
		}()
	}
	<-restarted.exited
	f.rec.log("node %s has ended", restarted.name)
	time.Sleep(500 * time.Millisecond)
	if err := restarted.start(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.storeDown(true)
		time.Sleep(storeAway)
		f.store.Restore(older)
		f.storeDown(false)
		f.rec.log("the store is back from the copy that it made before version 8")
		time.Sleep(rewriteDelay)
		f.store.Write("config", "main", configuration(8, "grilles"))
		f.rec.log("operator: version 8 is written again")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	c.waiting.Wait()
	return f.regressions(c), nil
}

// regressions returns the requests that a node handled by an older
// configuration after a server had seen the effect of the newer one from it.
func (f *fleet) regressions(c *clients) []string {
	runs := make(map[string]string) // attempt, service that ran it
	first := make(map[*machine]time.Time)
	byID := make(map[string]*request)
	for _, q := range c.requests {
		byID[q.id] = q
	}
	for _, m := range f.machines {
		for _, a := range m.server.seen() {
			q := byID[a.id]
			if q == nil || !a.ran {
				continue
			}
			runs[a.id] = m.service
			if at := first[q.machine]; m.service == "grilles" && (at.IsZero() || a.at.Before(at)) {
				first[q.machine] = a.at
			}
		}
	}
	var breaches []string
	for _, q := range c.requests {
		seen := first[q.machine]
		if late := q.sentAt.Sub(seen); runs[q.id] == "indices" && !seen.IsZero() && late > downgradeSlack {
			breaches = append(breaches, fmt.Sprintf("CONFIG: %s sent to %s %.3f s after a server saw version 8 from it was run by the service of version 4",
				q.id, q.machine.name, late.Seconds()))
		}
	}
	return breaches
}
