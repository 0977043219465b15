package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const heldConfig = `{"version":7,"resources":[
{"resource_kind":"routes","metadata":{"name":"pack"},"spec":{"host":"a.example","path_prefix":"/pack/","type":"download","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"alpha","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"alpha"},"spec":{"health_path":"/healthz","max_connections":330,"protocol":"h1","tls":false}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`

const (
	// heldErrorShare is the site's error_share: the part of its requests that a
	// sound server answers with 500.
	heldErrorShare = 0.012
	// heldErrorBytes is the site's mean size of an answer to a download, and
	// heldSmallBytes that of the shortest answers.
	heldErrorBytes = 90_000
	heldSmallBytes = 200
	// The sizes of requests' bodies are those of the site: logarithmically normal.
	heldBodyMean   = 4_000
	heldBodySpread = 0.6
	heldBodyMax    = 24_000
	heldClients    = 24
	heldPause      = 6 * time.Millisecond
	heldRecovery   = 15 * time.Second // recovery_s
	heldErrorsEnd  = 60 * time.Second // after the machines are back
	heldEnd        = 92 * time.Second
)

func init() { cases["held"] = playHeld }

// playHeld lets clients of one machine send idempotent requests to servers that
// answer a small part of them with 500, after a final fault that has killed all
// processes.
func playHeld(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, heldConfig, "alpha", "alpha", "alpha", "alpha")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return verdict{}, err
	}
	rec.quiet = true // hundreds of thousands of requests: only counts are written
	var failing atomic.Bool
	var failures atomic.Int64
	page := strings.Repeat("e", heldErrorBytes)
	for _, m := range f.machines {
		s := m.server
		s.setWork(func(*http.Request) time.Duration { return time.Millisecond })
		s.answer = func(conn net.Conn, r *http.Request, _ []byte, _ bool) (keep, done bool) {
			if !failing.Load() || rand.Float64() >= heldErrorShare {
				return true, false
			}
			failures.Add(1)
			if rand.IntN(4) == 0 {
				// Short and long answers are equally frequent on a logarithmic scale.
				text := page[:int(heldSmallBytes*math.Pow(heldErrorBytes/heldSmallBytes, rand.Float64()))]
				_, err := fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", s.head(http.StatusInternalServerError, r, len(text)), headerSignature, s.signature(r, text), text)
				return err == nil, true
			}
			// The answer has no length and ends with its connection.
			head := strings.Replace(s.head(http.StatusInternalServerError, r, 0), "Content-Length: 0\r\n", "Connection: close\r\n", 1)
			fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", head, headerSignature, s.signature(r, page), page)
			return false, true
		}
	}
	failing.Store(trouble)

	// counts of requests by the second in which they were sent, since the start
	// of the traffic
	var mu sync.Mutex
	type second struct{ sent, served, refused, failed int }
	seconds := make([]second, 120)
	begin := time.Now()
	var stop atomic.Bool
	var clients sync.WaitGroup
	front := f.machines[0]
	body := strings.Repeat("b", heldBodyMax)
	for range heldClients {
		clients.Go(func() {
			var c *client
			for next := time.Now(); !stop.Load(); {
				time.Sleep(time.Until(next))
				next = time.Now().Add(heldPause)
				if c == nil {
					if c, err = f.dial(front); err != nil {
						c = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				size := heldBodyMean * math.Exp(heldBodySpread*rand.NormFloat64()-heldBodySpread*heldBodySpread/2)
				at := int(time.Since(begin).Seconds())
				a := c.exchange(request{method: http.MethodPost, host: "a.example", path: "/pack/1", deadline: 3 * time.Second, id: newID(), body: body[:int(min(size, heldBodyMax))]})
				mu.Lock()
				s := &seconds[at]
				s.sent++
				switch {
				case a.err == nil && a.status == http.StatusOK && a.signature != "":
					s.served++
				case a.err == nil && a.status == http.StatusServiceUnavailable:
					s.refused++
				default:
					s.failed++
				}
				mu.Unlock()
				if a.err != nil || a.closes {
					c.close()
					c = nil
				}
			}
			if c != nil {
				c.close()
			}
		})
	}
	time.Sleep(4 * time.Second)
	fault := time.Since(begin)
	if trouble {
		rec.event("final-fault", "kind", "kill_all", "down_s", 1)
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.machines {
			m.kill()
		}
		time.Sleep(time.Second)
		for _, m := range f.machines {
			if err := m.start(); err != nil {
				return verdict{}, err
			}
		}
		if err := f.awaitReady(10 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	back := time.Since(begin)
	rec.event("machines-back")
	for elapsed := time.Duration(0); elapsed < heldEnd; elapsed = time.Since(begin) - back {
		time.Sleep(2 * time.Second)
		if elapsed > heldErrorsEnd && failing.Swap(false) {
			rec.event("errors-end")
		}
		rec.event("held", "machine", front.name, "bytes", front.metric("siskinvale_held_bytes"), "ready", front.ready(), "failures", failures.Load())
	}
	stop.Store(true)
	clients.Wait()
	time.Sleep(3 * time.Second)
	rec.event("held", "machine", front.name, "bytes", front.metric("siskinvale_held_bytes"), "in_flight", front.metric("siskinvale_ingress_in_flight"), "clients", 0)

	var before, after second
	add := func(to *second, s second) {
		to.sent, to.served, to.refused, to.failed = to.sent+s.sent, to.served+s.served, to.refused+s.refused, to.failed+s.failed
	}
	for at, s := range seconds {
		if s.sent > 0 {
			rec.event("second", "n", at, "sent", s.sent, "served", s.served, "refused", s.refused, "failed", s.failed)
		}
		switch t := time.Duration(at) * time.Second; {
		case t+time.Second <= fault:
			add(&before, s)
		case t >= back+heldRecovery:
			add(&after, s)
		}
	}
	text := fmt.Sprintf("before the final fault %d of %d requests were served; of those sent later than recovery_s after the machines were back %d of %d (503: %d, other failures: %d)",
		before.served, before.sent, after.served, after.sent, after.refused, after.failed)
	if before.sent == 0 || before.served*4 < before.sent || after.sent < 100 {
		return verdict{}, fmt.Errorf("too few requests were served before the final fault or sent after it: %s", text)
	}
	return verdict{broken: after.served*4 < after.sent, text: text}, nil
}

// metric returns the value of a metric of the node, empty if there is none.
func (m *machine) metric(name string) string {
	for _, line := range strings.Split(m.metrics(), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return value
		}
	}
	return ""
}
