package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["caller"] = playCaller }

// playCaller sends requests that forge or name the header by which servers know
// the service where a request began.
func playCaller(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, plainConfig, "alpha", "alpha", "beta")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return verdict{}, err
	}
	origin := make(map[string]string) // service of the machine where a request began
	for n := range 30 {
		m := f.machines[n%len(f.machines)]
		r := request{method: http.MethodPost, host: "a.example", path: fmt.Sprintf("/spend/%d", n), deadline: 3 * time.Second, id: newID(), body: "one reveal",
			header: []string{headerCaller + ": forged"}}
		if trouble {
			r.header = append(r.header, "Connection: keep-alive, "+headerCaller)
		}
		origin[r.id] = m.server.service
		f.sendOnce(m, r)
	}
	runs, wrong := f.allRuns(), 0
	for _, run := range runs {
		if run.caller != origin[run.id] {
			wrong++
		}
	}
	if len(runs) == 0 {
		return verdict{}, fmt.Errorf("no request ran")
	}
	return verdict{broken: wrong > 0, text: fmt.Sprintf("%d of %d runs did not name the service of the machine where their request began", wrong, len(runs))}, nil
}
