package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["path"] = playPath }

// playPath sends requests whose path has an empty first segment on a route for
// all paths of a host.
func playPath(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, plainConfig, "alpha", "alpha", "beta")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return verdict{}, err
	}
	sent := make(map[string]request)
	for n := range 30 {
		path := fmt.Sprintf("/grids/today/%d?size=9", n)
		if trouble {
			path = "/" + path
		}
		r := request{method: http.MethodGet, host: "b.example", path: path, deadline: 3 * time.Second, id: newID()}
		sent[r.id] = r
		f.sendOnce(f.machines[n%len(f.machines)], r)
	}
	runs, changed, example := f.allRuns(), 0, ""
	for _, run := range runs {
		// A path in the form of a URL names the host that stands in it.
		if r := sent[run.id]; run.path != r.path || run.host != r.host {
			changed++
			example = fmt.Sprintf("; sent %q to host %q, run as %q for host %q", r.path, r.host, run.path, run.host)
		}
	}
	if len(runs) == 0 {
		return verdict{}, fmt.Errorf("no request ran")
	}
	return verdict{broken: changed > 0, text: fmt.Sprintf("%d of %d runs had another path or host than their request%s", changed, len(runs), example)}, nil
}
