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
{"resource_kind":"routes","metadata":{"name":"pack-fetch"},"spec":{"host":"a.example","path_prefix":"/pack/","type":"download","timeout_ms":4000,"target_latency_ms":1000,"priority":2,"service":"alpha","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"reveal-spend"},"spec":{"host":"a.example","path_prefix":"/spend/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":"alpha","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"alpha"},"spec":{"health_path":"/healthz","max_connections":330,"protocol":"h1","tls":false}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`

const (
	// heldErrorShare is the site's error_share: the part of its requests that a
	// sound server answers with 500.
	heldErrorShare = 0.012
	// Failed downloads are as large as others: between the site's mean and its
	// maximum. heldSmallBytes is the size of the shortest ones.
	heldMeanBytes  = 90_000
	heldMostBytes  = 540_000
	heldSmallBytes = 200
	// The sizes of the bodies of reveals are those of the site: logarithmically
	// normal.
	heldBodyMean   = 4_000
	heldBodySpread = 0.6
	heldBodyMax    = 24_000
	// heldPackShare is the part of downloads among the downloads and reveals of
	// the site.
	heldPackShare = 0.73 / (0.73 + 6.1)

	heldRecovery = 15 * time.Second // recovery_s
	// For heldRush after the machines are back, each of heldRushClients sends a
	// download each heldRushPause. Before and afterwards, each of heldClients sends one
	// request each heldPause, downloads and reveals in the site's proportion.
	heldRush        = 14 * time.Second
	heldRushClients = 32
	heldRushPause   = 10 * time.Millisecond
	heldClients     = 8
	heldPause       = 40 * time.Millisecond
	heldErrorsEnd   = 40 * time.Second // after the machines are back
	heldEnd         = 60 * time.Second
)

func init() { cases["held"] = playHeld }

// playHeld lets clients of one machine send downloads and reveals to servers that
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
	page := strings.Repeat("e", heldMostBytes)
	for _, m := range f.machines {
		s := m.server
		s.setWork(func(*http.Request) time.Duration { return time.Millisecond })
		s.answer = func(conn net.Conn, r *http.Request, _ []byte, _ bool) (keep, done bool) {
			if !failing.Load() || rand.Float64() >= heldErrorShare {
				return true, false
			}
			failures.Add(1)
			if rand.IntN(3) == 0 {
				// Short and long answers are equally frequent on a logarithmic scale.
				text := page[:int(heldSmallBytes*math.Pow(heldMeanBytes/heldSmallBytes, rand.Float64()))]
				_, err := fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", s.head(http.StatusInternalServerError, r, len(text)), headerSignature, s.signature(r, text), text)
				return err == nil, true
			}
			// The answer has no length and ends with its connection.
			text := page[:heldMeanBytes+rand.IntN(heldMostBytes-heldMeanBytes)]
			head := strings.Replace(s.head(http.StatusInternalServerError, r, 0), "Content-Length: 0\r\n", "Connection: close\r\n", 1)
			fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", head, headerSignature, s.signature(r, text), text)
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
	pack := func() request {
		return request{method: http.MethodGet, host: "a.example", path: "/pack/1", deadline: 4 * time.Second, id: newID()}
	}
	any := func() request {
		if rand.Float64() < heldPackShare {
			return pack()
		}
		size := heldBodyMean * math.Exp(heldBodySpread*rand.NormFloat64()-heldBodySpread*heldBodySpread/2)
		return request{method: http.MethodPost, host: "a.example", path: "/spend/1", deadline: 4 * time.Second, id: newID(), body: body[:int(min(size, heldBodyMax))]}
	}
	// send sends requests on kept connections until ended is set.
	send := func(ended *atomic.Bool, pause time.Duration, next func() request) {
		clients.Go(func() {
			var c *client
			for at := time.Now(); !ended.Load(); {
				time.Sleep(time.Until(at))
				at = time.Now().Add(pause)
				if c == nil {
					var err error
					if c, err = f.dial(front); err != nil {
						c = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				second := int(time.Since(begin).Seconds())
				a := c.exchange(next())
				mu.Lock()
				s := &seconds[second]
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
	for range heldClients {
		send(&stop, heldPause, any)
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
	var rushEnded atomic.Bool
	for range heldRushClients {
		send(&rushEnded, heldRushPause, pack)
	}
	for elapsed := time.Duration(0); elapsed < heldEnd; elapsed = time.Since(begin) - back {
		time.Sleep(time.Second)
		if time.Since(begin)-back > heldRush-time.Second && !rushEnded.Swap(true) {
			rec.event("rush-ends")
		}
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
