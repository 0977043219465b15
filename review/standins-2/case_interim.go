package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	interimServers  = 5
	interimGarbling = 3  // share 0.6 of the servers
	interimEvery    = 20 // x = 0.05 of their answers
	interimRequests = 600
)

func init() { cases["interim"] = playInterim }

// playInterim lets some servers spoil the first line of some answers, so that it
// holds a status that is no final one.
func playInterim(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, plainConfig, "beta", "alpha", "alpha", "alpha", "alpha", "alpha")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	spoiled := make(map[string]string) // server by the id of a request whose answer it spoiled
	for _, m := range f.machines[1 : 1+interimGarbling] {
		s := m.server
		var answers atomic.Int64
		s.answer = func(conn net.Conn, r *http.Request, body []byte, _ bool) (keep, done bool) {
			if !trouble || answers.Add(1)%interimEvery != 0 {
				return true, false
			}
			id, text := r.Header.Get(headerAttempt), s.text(r, body)
			mu.Lock()
			spoiled[id] = s.id
			mu.Unlock()
			rec.event("spoiled", "server", s.id, "id", id, "line", `"HTTP/1.1 101 Switching Protocols"`)
			fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", s.head(http.StatusSwitchingProtocols, r, len(text)), headerSignature, s.signature(r, text), text)
			return false, true
		}
	}
	type outcome struct {
		answer
		request
	}
	outcomes := make(chan outcome, interimRequests)
	for n := range interimRequests {
		go func() {
			r := request{method: http.MethodPost, host: "a.example", path: fmt.Sprintf("/spend/%d", n), deadline: 4 * time.Second, id: newID(), body: "one reveal"}
			if n%3 == 0 {
				r.method, r.path, r.body = http.MethodGet, fmt.Sprintf("/peek/%d", n), ""
			}
			outcomes <- outcome{f.sendOnce(f.machines[0], r), r}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	wrong, successes := 0, 0
	for range interimRequests {
		o := <-outcomes
		if o.err != nil || o.status < 200 || o.status > 299 {
			continue
		}
		successes++
		expected := make(map[string]bool) // whole bodies of the runs of this request
		for _, run := range f.allRuns() {
			if run.id == o.id {
				expected[fmt.Sprintf("server %s ran %s %s for %s with %d bytes\n", run.server, run.method, run.path, run.id, len(run.body))] = true
			}
		}
		if !expected[o.answer.body] || o.signature == "" {
			wrong++
			mu.Lock()
			rec.event("wrong", "id", o.id, "method", o.method, "status", o.status, "body", fmt.Sprintf("%q", o.answer.body), "spoiled_by", spoiled[o.id])
			mu.Unlock()
		}
	}
	text := fmt.Sprintf("%d of %d requests got a success; %d of these had no server's whole body (answers spoiled: %d)", successes, interimRequests, wrong, len(spoiled))
	if successes < interimRequests/2 {
		return verdict{}, fmt.Errorf("too few successes: %s", text)
	}
	return verdict{broken: wrong > 0, text: text}, nil
}
