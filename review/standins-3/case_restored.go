package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// contact is contact_ms, and downgradeSlack is downgrade_slack_ms.
	contact        = 3 * time.Second
	downgradeSlack = 250 * time.Millisecond
)

// rewriting is how long after contact the operator writes again what the store
// has lost. The pages set no limit.
const rewriting = 2 * time.Second

const (
	oldService, newService = "huvo11a", "wuno96b"
	oldVersion, newVersion = 7, 12
)

func init() { cases["restored"] = restored }

// restored lets the store come back from a copy that is 9 s old, as on the
// users' day of that name, and has the lost configuration written again some
// seconds later. The nodes start for the first time after the copy was taken; with
// VARIANT=killed they run before, and all are killed once they have the new
// version.
func restored(f *fleet, trouble bool) (breaks []string, err error) {
	for i, service := range []string{oldService, newService, oldService, newService} {
		s := &server{serve: func(s *server, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
			time.Sleep(10 * time.Millisecond)
			f.rec.log("server %s (%s) runs %s", s.id, s.service, r.Header.Get(headerAttempt))
			return s.answer(c, r, http.StatusOK, s.service)
		}}
		if _, err := f.addMachine([]string{"quimper-a", "brest-b"}[i%2], service, s); err != nil {
			return nil, err
		}
	}
	routes := func(service string) []route {
		return []route{{name: "r-1", host: "ficu95.example", prefix: "/lohu930/", kind: "idempotent", service: service, timeoutMS: 3000, targetMS: 1000, attempts: 2}}
	}
	killed := os.Getenv("VARIANT") == "killed"
	f.writeConfiguration(oldVersion, routes(oldService))
	if killed {
		if err := f.startAll(); err != nil {
			return nil, err
		}
		if err := f.awaitReady(8 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	snapshot, snapshotAt := f.store.Copy(), time.Now()
	f.rec.log("store: the copy is taken")
	time.Sleep(time.Second)
	f.writeConfiguration(newVersion, routes(newService))
	time.Sleep(200 * time.Millisecond)
	if killed {
		time.Sleep(time.Second)
		f.killAll()
		time.Sleep(300 * time.Millisecond)
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.awaitReady(8 * time.Second); err != nil {
		return nil, err
	}

	stop := make(chan struct{})
	var clients sync.WaitGroup
	results := make(chan result, 100_000)
	for _, m := range f.machines {
		clients.Go(func() { m.client(stop, results) })
	}
	sleepUntil(snapshotAt.Add(7 * time.Second))
	back := time.Now().Add(2 * time.Second)
	if trouble {
		f.away.set(true)
		f.rec.log("store: away")
		sleepUntil(snapshotAt.Add(9 * time.Second))
		f.store.Restore(snapshot)
		f.away.set(false)
		back = time.Now()
		f.rec.log("store: back from a copy that is %.1f s old", time.Since(snapshotAt).Seconds())
	}
	time.Sleep(contact + rewriting)
	if trouble {
		f.writeConfiguration(newVersion, routes(newService))
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	close(results)

	firstNew := map[*machine]time.Time{}
	served := 0
	for r := range results {
		if r.status != http.StatusOK {
			continue
		}
		served++
		switch seen, ok := firstNew[r.machine]; {
		case r.body == newService && !ok:
			firstNew[r.machine] = r.endedAt
		case r.body == oldService && ok && r.sentAt.Sub(seen) > downgradeSlack && r.sentAt.Sub(back) > contact:
			breaks = append(breaks, fmt.Sprintf("CONFIG: %s through %s was run by %s as version %d has it, %.1f s after a server saw the effect of version %d and %.1f s after the store was back",
				r.attempt, r.machine.name, r.body, oldVersion, r.sentAt.Sub(seen).Seconds(), newVersion, r.sentAt.Sub(back).Seconds()))
		}
	}
	f.rec.log("%d requests were served", served)
	if served < 200 || len(firstNew) != len(f.machines) {
		return nil, fmt.Errorf("only %d requests were served, and %d machines saw the new version", served, len(firstNew))
	}
	return breaks, nil
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// result is what a client saw of one request.
type result struct {
	machine         *machine
	attempt         string
	status          int
	body            string
	sentAt, endedAt time.Time
}

// client sends a request every 100 ms on a connection of its own each.
func (m *machine) client(stop <-chan struct{}, results chan<- result) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		r := result{machine: m, attempt: fmt.Sprintf("%s-%d", m.name, i), sentAt: time.Now()}
		req, err := http.NewRequest(http.MethodGet, "http://"+m.addr(portOutbound)+"/lohu930/x", nil)
		if err != nil {
			panic(err)
		}
		req.Host = "ficu95.example"
		req.Header.Set(headerAttempt, r.attempt)
		req.Header.Set(headerDeadline, "3000")
		resp, err := client.Do(req)
		if err != nil {
			m.fleet.rec.log("client: %s got no answer: %v", r.attempt, err)
			continue
		}
		var body strings.Builder
		_, err = bufio.NewReader(resp.Body).WriteTo(&body)
		resp.Body.Close()
		if err != nil {
			m.fleet.rec.log("client: %s: %v", r.attempt, err)
			continue
		}
		r.status, r.body, r.endedAt = resp.StatusCode, body.String(), time.Now()
		m.fleet.rec.log("client: %s got %d from %s", r.attempt, r.status, strings.TrimSpace(r.body))
		results <- r
	}
}
