package health_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/naive"
)

const (
	meanRun   = 100 * time.Millisecond // 4 slots: capacity 40 requests/s a target
	deadline  = 2 * time.Second
	ingresses = 4
	tickEvery = 100 * time.Millisecond
	faultAt   = 5 * time.Second
	runFor    = 25 * time.Second
)

// scenario is one run in virtual time: a few targets with slots and queues,
// four ingresses and one fault at target 0.
type scenario struct {
	targets int
	seed    uint64
	rate    float64 // requests/s a target, before the surge
	surge   bool    // to 3 times capacity within a second, for 4 s
	// Faults of target 0 after faultAt.
	stall, errors, slow float64 // parts of the requests; factor
	flap                time.Duration
	cut                 bool // path from ingress 0 only
	// Trouble of all targets for a while after faultAt.
	allSlow, allErrors float64
	allStall           time.Duration
	uneven             bool // VMs of different speed, one cold
	long               bool // one request in 200 runs 50 times longer
	detectors          []health.Detector
	naive              bool
}

type result struct {
	detected time.Duration // after faultAt, 0 when not
	false    int           // ejections of healthy targets
	reasons  []string
}

type simEvent struct {
	at     time.Duration
	kind   uint8 // 0 arrival, 1 finish, 2 tick
	target int
	id     uint64
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type simRequest struct {
	id      uint64
	class   string
	ingress int
	arrived time.Duration
	result  health.Result
	timeout bool
}

type simTarget struct {
	id       fleet.TargetID
	node     fleet.NodeID
	recorder *health.Recorder
	running  map[uint64]simRequest
	queue    []simRequest
	speed    float64
	answers  [ingresses]uint32
	cuts     uint32
	packs    int
}

type sim struct {
	scenario
	r       *rand.Rand
	events  eventHeap
	targets []*simTarget
	monitor *health.Monitor
	robin   naive.RoundRobin
	ejector *naive.Ejector
	ids     []fleet.TargetID
	next    uint64
	now     time.Duration
	out     result
}

var epoch = time.Unix(1_800_000_000, 0)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (sc scenario) run() result {
	s := &sim{scenario: sc, r: rand.New(rand.NewPCG(sc.seed, 7)), ejector: naive.NewEjector(),
		monitor: health.New(health.Config{Self: "ingress-0", Detectors: sc.detectors})}
	for i := range sc.targets {
		t := &simTarget{id: fleet.TargetID(fmt.Sprintf("t%02d", i)), node: fleet.NodeID(fmt.Sprintf("node-%02d", i)), running: map[uint64]simRequest{}, speed: 1}
		started := epoch.Add(-time.Hour)
		if sc.uneven {
			t.speed = 0.7 + 0.9*s.r.Float64()
			if i == 1 {
				started = epoch
			}
		}
		t.recorder = health.NewRecorder(t.id, t.node)
		s.targets, s.ids = append(s.targets, t), append(s.ids, t.id)
		s.monitor.Step(s.clock(), health.TargetAdded{Target: fleet.Target{ID: t.id, Service: "booking", Node: t.node, Slots: 4, Started: started},
			Floor: sc.targets / 2, Expected: sc.targets})
	}
	s.schedule(simEvent{at: 0, kind: 0})
	s.schedule(simEvent{at: tickEvery, kind: 2})
	for len(s.events) > 0 && s.out.detected == 0 {
		e := heap.Pop(&s.events).(simEvent)
		if s.now = e.at; s.now > runFor {
			break
		}
		switch e.kind {
		case 0:
			s.arrive()
		case 1:
			s.finish(e)
		case 2:
			s.tick()
		}
	}
	return s.out
}

func (s *sim) schedule(e simEvent) { heap.Push(&s.events, e) }

// load returns the arrivals per second of the whole service.
func (s *sim) load() float64 {
	rate := s.rate
	if s.surge {
		since := (s.now - faultAt + 500*time.Millisecond).Seconds()
		switch {
		case since >= 5:
		case since >= 1:
			rate = 120
		case since >= 0:
			rate += (120 - rate) * since
		}
	}
	return rate * float64(len(s.targets))
}

func (s *sim) arrive() {
	s.schedule(simEvent{at: s.now + time.Duration(s.r.ExpFloat64()/s.load()*1e9), kind: 0})
	s.next++
	req := simRequest{id: s.next, class: "lookup", ingress: s.r.IntN(ingresses), arrived: s.now}
	if s.r.IntN(10) < 3 {
		req.class = "hold"
	}
	if s.long && s.r.IntN(200) == 0 {
		req.class = "pack"
	}
	t := s.pick(req)
	if t == nil {
		return
	}
	if s.cut && t == s.targets[0] && req.ingress == 0 && s.now >= faultAt {
		t.cuts++ // the ingress notices the silent connection within its next report
		s.ended(t, req, false)
		return
	}
	if t.queue = append(t.queue, req); len(t.running) < 4 {
		s.start(t)
	}
}

// pick stands for routing: two choices by length of the queue among the usable
// targets, beside round robin.
func (s *sim) pick(req simRequest) *simTarget {
	if s.naive {
		id, ok := s.robin.Pick(s.ids, func(id fleet.TargetID) bool { return s.ejector.Usable(id, s.clock()) })
		for _, t := range s.targets {
			if ok && t.id == id {
				return t
			}
		}
		return nil
	}
	var best *simTarget
	for range 2 {
		t := s.targets[s.r.IntN(len(s.targets))]
		v := s.monitor.Verdict(t.id)
		if (v.State == health.Avoided || v.Share < 1) && s.r.Float64() >= v.Share {
			continue
		}
		if best == nil || len(t.queue)+len(t.running) < len(best.queue)+len(best.running) {
			best = t
		}
	}
	return best
}

func (s *sim) start(t *simTarget) {
	for len(t.running) < 4 && len(t.queue) > 0 {
		at := slices.IndexFunc(t.queue, func(r simRequest) bool { return r.class != "pack" || t.packs < 2 })
		if at < 0 {
			return
		}
		req := t.queue[at]
		t.queue = slices.Delete(t.queue, at, at+1)
		left := req.arrived + deadline - s.now
		if left <= 4*meanRun { // the queue refuses what cannot end in time
			s.ended(t, req, false)
			continue
		}
		took := s.runTime(t, &req)
		if req.class != "pack" && took > left {
			took, req.result, req.timeout = left, health.ResultCancelled, true
		}
		if req.class == "pack" { // as admission does, see package admission
			t.packs++
		}
		t.running[req.id] = req
		t.recorder.Begin(req.id, req.class, s.clock())
		s.schedule(simEvent{at: s.now + took, kind: 1, target: s.index(t), id: req.id})
	}
}

func (s *sim) index(t *simTarget) int {
	for i, x := range s.targets {
		if x == t {
			return i
		}
	}
	return -1
}

const forever = time.Hour

// runTime draws a log-normal run time and applies the faults that are active.
func (s *sim) runTime(t *simTarget, req *simRequest) time.Duration {
	mean := meanRun.Seconds()
	switch req.class {
	case "hold":
		mean *= 0.6
	case "pack":
		mean *= 50
	}
	const sigma = 0.8
	took := time.Duration(mean * t.speed * math.Exp(sigma*s.r.NormFloat64()-sigma*sigma/2) * 1e9)
	active := s.now >= faultAt
	sick := active && t == s.targets[0] && (s.flap == 0 || (s.now-faultAt)%s.flap < s.flap/2)
	if active && s.now < faultAt+5*time.Second {
		if s.allSlow > 0 {
			took = time.Duration(float64(took) * s.allSlow)
		}
		if s.r.Float64() < s.allErrors {
			req.result = health.ResultError
			return 10 * time.Millisecond
		}
	}
	if s.allStall > 0 && active && s.now < faultAt+s.allStall { // ends at about, not exactly, the same time
		took += faultAt + s.allStall - s.now + time.Duration(s.r.IntN(200))*time.Millisecond
	}
	if sick {
		if s.slow > 0 {
			took = time.Duration(float64(took) * s.slow)
		}
		if s.r.Float64() < s.errors {
			req.result = health.ResultError
			return 10 * time.Millisecond
		}
		if s.r.Float64() < s.stall {
			return forever
		}
	}
	return took
}

func (s *sim) finish(e simEvent) {
	t := s.targets[e.target]
	req, ok := t.running[e.id]
	if !ok {
		return
	}
	delete(t.running, e.id)
	if req.class == "pack" {
		t.packs--
	}
	t.recorder.End(e.id, req.result, s.clock())
	if !req.timeout {
		t.answers[req.ingress]++
	}
	s.ended(t, req, req.result == health.ResultAnswered)
	s.start(t)
}

// ended tells the naive ejector about a request; it sees errors and timeouts.
func (s *sim) ended(t *simTarget, req simRequest, ok bool) {
	if s.naive && (!s.cut || req.ingress == 0) && s.ejector.Result(t.id, ok, s.clock()) {
		s.ejected(t.id, "three failures")
	}
}

func (s *sim) ejected(id fleet.TargetID, reason string) {
	faulty := s.stall+s.errors+s.slow > 0 || s.cut
	if faulty && s.now >= faultAt && id == s.targets[0].id {
		s.out.detected = s.now - faultAt
		return
	}
	s.out.false++
	s.out.reasons = append(s.out.reasons, fmt.Sprintf("%s at %s: %s", id, s.now, reason))
}

func (s *sim) tick() {
	s.schedule(simEvent{at: s.now + tickEvery, kind: 2})
	if s.naive {
		return
	}
	for _, t := range s.targets {
		for _, sample := range t.recorder.Samples(s.clock()) {
			s.monitor.Step(s.clock(), health.Observed{Sample: sample})
		}
		for i := range t.answers {
			sample := health.Sample{Target: t.id, Source: fleet.NodeID(fmt.Sprintf("ingress-%d", i)), Completed: t.answers[i]}
			if i == 0 {
				sample.PathFailures, t.cuts = t.cuts, 0
			}
			t.answers[i] = 0
			s.monitor.Step(s.clock(), health.Observed{Sample: sample})
		}
	}
	for _, a := range s.monitor.Step(s.clock(), health.Tick{}) {
		switch a := a.(type) {
		case health.Eject:
			s.ejected(a.Target, a.Reason)
		case health.Avoid:
			s.ejected(a.Target, a.Reason)
		}
	}
}
