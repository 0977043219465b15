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
	meanRun   = 100 * time.Millisecond // with 4 slots, a target can serve 40 requests/s
	deadline  = 2 * time.Second
	ingresses = 4
	tickEvery = 100 * time.Millisecond
	faultAt   = 5 * time.Second
	runFor    = 25 * time.Second
)

// scenario describes one simulation in virtual time of a few targets with slots
// and queues, four ingresses, and faults of target 0 or of all targets.
type scenario struct {
	targets int
	seed    uint64
	rate    float64 // requests/s per target, before the surge
	surge   bool    // load rises to 3 times capacity within 1 s and stays there for 4 s
	// Faults of target 0 from faultAt: stallFraction and errorFraction are parts
	// of its requests, slowFactor multiplies its run times. With flapPeriod, the
	// faults are active in the first half of each period.
	stallFraction, errorFraction, slowFactor float64
	flapPeriod                               time.Duration
	pathCut                                  bool // the path from ingress 0 to target 0 fails
	// Faults of all targets from faultAt: slowness and errors for 5 s, stalls
	// for allStallTime.
	allSlowFactor, allErrorFraction float64
	allStallTime                    time.Duration
	unevenSpeed                     bool // VMs differ in speed, and target 1 has just started
	longRequests                    bool // one request in 200 has a 50 times longer run time
	detectors                       []health.Detector
	naive                           bool
}

type result struct {
	detected time.Duration // since faultAt, 0 if not detected
	false    int           // ejections of healthy targets
	reasons  []string      // of the false ejections
}

type simEvent struct {
	at     time.Duration
	kind   uint8 // 0 arrival, 1 end of a request, 2 Tick
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
	id           fleet.TargetID
	node         fleet.NodeID
	recorder     *health.Recorder
	running      map[uint64]simRequest
	queue        []simRequest
	speed        float64
	answers      [ingresses]uint32
	pathFailures uint32
	runningPacks int
}

type sim struct {
	scenario
	rng        *rand.Rand
	events     eventHeap
	targets    []*simTarget
	monitor    *health.Monitor
	roundRobin naive.RoundRobin
	ejector    *naive.Ejector
	ids        []fleet.TargetID
	lastID     uint64
	now        time.Duration
	result     result
}

var epoch = time.Unix(1_800_000_000, 0)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (sc scenario) run() result {
	s := &sim{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 7)), ejector: naive.NewEjector(),
		monitor: health.New(health.Config{Self: "ingress-0", Detectors: sc.detectors})}
	for i := range sc.targets {
		t := &simTarget{id: fleet.TargetID(fmt.Sprintf("t%02d", i)), node: fleet.NodeID(fmt.Sprintf("node-%02d", i)), running: map[uint64]simRequest{}, speed: 1}
		started := epoch.Add(-time.Hour)
		if sc.unevenSpeed {
			t.speed = 0.7 + 0.9*s.rng.Float64()
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
	for len(s.events) > 0 && s.result.detected == 0 {
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
	return s.result
}

func (s *sim) schedule(e simEvent) { heap.Push(&s.events, e) }

// arrivalRate returns the current arrivals per second at the whole service.
func (s *sim) arrivalRate() float64 {
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
	s.schedule(simEvent{at: s.now + time.Duration(s.rng.ExpFloat64()/s.arrivalRate()*1e9), kind: 0})
	s.lastID++
	req := simRequest{id: s.lastID, class: "lookup", ingress: s.rng.IntN(ingresses), arrived: s.now}
	if s.rng.IntN(10) < 3 {
		req.class = "hold"
	}
	if s.longRequests && s.rng.IntN(200) == 0 {
		req.class = "pack"
	}
	t := s.pick(req)
	if t == nil {
		return
	}
	if s.pathCut && t == s.targets[0] && req.ingress == 0 && s.now >= faultAt {
		t.pathFailures++ // the next sample of the ingress counts the silent connection
		s.requestEnded(t, req, false)
		return
	}
	if t.queue = append(t.queue, req); len(t.running) < 4 {
		s.startQueued(t)
	}
}

// pick simulates routing. It selects the target with the fewer queued and
// running requests from two random ones, or uses round robin in the naive
// baseline.
func (s *sim) pick(req simRequest) *simTarget {
	if s.naive {
		id, ok := s.roundRobin.Pick(s.ids, func(id fleet.TargetID) bool { return s.ejector.Usable(id, s.clock()) })
		for _, t := range s.targets {
			if ok && t.id == id {
				return t
			}
		}
		return nil
	}
	var best *simTarget
	for range 2 {
		t := s.targets[s.rng.IntN(len(s.targets))]
		v := s.monitor.Verdict(t.id)
		if (v.State == health.Avoided || v.Share < 1) && s.rng.Float64() >= v.Share {
			continue
		}
		if best == nil || len(t.queue)+len(t.running) < len(best.queue)+len(best.running) {
			best = t
		}
	}
	return best
}

func (s *sim) startQueued(t *simTarget) {
	for len(t.running) < 4 && len(t.queue) > 0 {
		at := slices.IndexFunc(t.queue, func(r simRequest) bool { return r.class != "pack" || t.runningPacks < 2 })
		if at < 0 {
			return
		}
		req := t.queue[at]
		t.queue = slices.Delete(t.queue, at, at+1)
		left := req.arrived + deadline - s.now
		if left <= 4*meanRun { // the queue rejects requests that would miss their deadline
			s.requestEnded(t, req, false)
			continue
		}
		took := s.runTime(t, &req)
		if req.class != "pack" && took > left {
			took, req.result, req.timeout = left, health.ResultCancelled, true
		}
		if req.class == "pack" { // package admission limits long requests in the same way
			t.runningPacks++
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

const stalledRunTime = time.Hour

// runTime returns a random log-normal run time changed by the active faults. It
// sets the result of req to ResultError if an error fault applies.
func (s *sim) runTime(t *simTarget, req *simRequest) time.Duration {
	mean := meanRun.Seconds()
	switch req.class {
	case "hold":
		mean *= 0.6
	case "pack":
		mean *= 50
	}
	const sigma = 0.8
	took := time.Duration(mean * t.speed * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2) * 1e9)
	active := s.now >= faultAt
	faulty := active && t == s.targets[0] && (s.flapPeriod == 0 || (s.now-faultAt)%s.flapPeriod < s.flapPeriod/2)
	if active && s.now < faultAt+5*time.Second {
		if s.allSlowFactor > 0 {
			took = time.Duration(float64(took) * s.allSlowFactor)
		}
		if s.rng.Float64() < s.allErrorFraction {
			req.result = health.ResultError
			return 10 * time.Millisecond
		}
	}
	if s.allStallTime > 0 && active && s.now < faultAt+s.allStallTime { // the stalled requests end within 200 ms of each other
		took += faultAt + s.allStallTime - s.now + time.Duration(s.rng.IntN(200))*time.Millisecond
	}
	if faulty {
		if s.slowFactor > 0 {
			took = time.Duration(float64(took) * s.slowFactor)
		}
		if s.rng.Float64() < s.errorFraction {
			req.result = health.ResultError
			return 10 * time.Millisecond
		}
		if s.rng.Float64() < s.stallFraction {
			return stalledRunTime
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
		t.runningPacks--
	}
	t.recorder.End(e.id, req.result, s.clock())
	if !req.timeout {
		t.answers[req.ingress]++
	}
	s.requestEnded(t, req, req.result == health.ResultAnswered)
	s.startQueued(t)
}

// requestEnded reports the outcome of a request to the naive ejector, which
// counts everything but a complete answer without an error as a failure.
func (s *sim) requestEnded(t *simTarget, req simRequest, ok bool) {
	if s.naive && (!s.pathCut || req.ingress == 0) && s.ejector.Result(t.id, ok, s.clock()) {
		s.recordEjection(t.id, "three failures")
	}
}

// recordEjection records the ejection or avoidance of a target: as the detection
// of the fault if it is that of target 0 during its fault, and as a false
// ejection otherwise.
func (s *sim) recordEjection(id fleet.TargetID, reason string) {
	faulty := s.stallFraction+s.errorFraction+s.slowFactor > 0 || s.pathCut
	if faulty && s.now >= faultAt && id == s.targets[0].id {
		s.result.detected = s.now - faultAt
		return
	}
	s.result.false++
	s.result.reasons = append(s.result.reasons, fmt.Sprintf("%s at %s: %s", id, s.now, reason))
}

func (s *sim) tick() {
	s.schedule(simEvent{at: s.now + tickEvery, kind: 2})
	if s.naive {
		return
	}
	for _, t := range s.targets {
		for _, sample := range t.recorder.Samples(s.clock()) {
			s.monitor.Step(s.clock(), health.SampleReceived{Sample: sample})
		}
		for i := range t.answers {
			sample := health.Sample{Target: t.id, Source: fleet.NodeID(fmt.Sprintf("ingress-%d", i)), Completed: t.answers[i]}
			if i == 0 {
				sample.PathFailures, t.pathFailures = t.pathFailures, 0
			}
			t.answers[i] = 0
			s.monitor.Step(s.clock(), health.SampleReceived{Sample: sample})
		}
	}
	for _, a := range s.monitor.Step(s.clock(), health.Tick{}) {
		switch a := a.(type) {
		case health.Eject:
			s.recordEjection(a.Target, a.Reason)
		case health.Avoid:
			s.recordEjection(a.Target, a.Reason)
		}
	}
}
