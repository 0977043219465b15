package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/naive"
	"siskinvale.dev/siskinvale/internal/routing"
)

// requestClass is one request class of a simulation.
type requestClass struct {
	class    string
	priority fleet.Priority
	length   fleet.Length
	runTime  time.Duration // mean
	deadline time.Duration // from the caller
	// work is the fraction of the offered work.
	work float64
}

// simulation describes one run in virtual time: queues of several targets in
// four data centres receive requests through routing, or through round robin if
// naive is set.
type simulation struct {
	targets int
	seed    uint64
	classes []requestClass
	// demand is the offered work at a time, relative to the capacity.
	demand       func(at time.Duration) float64
	from         time.Duration // start of the measured window
	until        time.Duration // end of the measured window
	cfg          admission.Config
	naive        bool
	heavyShare   float64          // fraction of the requests that one tenant sends; nine others share the rest
	callerDelays [2]time.Duration // possible one-way times between caller and ingress
	// burst is how many long requests arrive at the same time.
	burst int
}

type simResult struct {
	// goodput is the fraction of the slot time within the window that was spent
	// on requests answered by their deadline.
	goodput  float64
	latency  map[string]*hdrhistogram.Histogram
	offered  map[string]int // by class, and by kind of tenant under the prefix "tenant "
	answered map[string]int
}

type simEvent struct {
	at     time.Duration
	kind   string // arrive, reach, finish, refused
	target int
	req    *simRequest
}

type simRequest struct {
	id          uint64
	class       *requestClass
	tenant      string
	ingress     int
	sent        time.Duration // when the caller sent the request
	callerDelay time.Duration // one-way time between caller and ingress
	runTime     time.Duration
	started     time.Duration
	tried       []fleet.TargetID
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

type admissionQueue interface {
	Step(now time.Time, ev admission.Event) []admission.Action
}

// afterWindow is how long the simulation goes on after the measured window, so
// that running requests can finish.
const afterWindow = 6 * time.Second

// The simulated fleet: the number of data centres, and the one-way time between
// two of them.
const dataCentres, dataCentreDelay = 4, time.Millisecond

// simulator holds the state of a running simulation.
type simulator struct {
	simulation
	r          *rand.Rand
	now        time.Duration
	events     eventHeap
	queues     []admissionQueue
	ids        []fleet.TargetID
	index      map[fleet.TargetID]int
	pickers    [dataCentres]*routing.Picker
	roundRobin naive.RoundRobin
	requests   map[uint64]*simRequest
	lastID     uint64
	endpoints  [dataCentres]map[uint64]*routing.Endpoint
	out        simResult
}

func (sim simulation) run() simResult {
	s := &simulator{simulation: sim, r: rand.New(rand.NewPCG(sim.seed, 11)), index: map[fleet.TargetID]int{}, requests: map[uint64]*simRequest{},
		out: simResult{latency: map[string]*hdrhistogram.Histogram{}, offered: map[string]int{}, answered: map[string]int{}}}
	for _, k := range sim.classes {
		s.out.latency[k.class] = hdrhistogram.New(1, 600_000_000, 3)
	}
	var records []fleet.Target
	for i := range sim.targets {
		id := fleet.TargetID(fmt.Sprintf("t%02d", i))
		records = append(records, fleet.Target{ID: id, Node: fleet.NodeID(id), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Slots: 4})
		s.ids, s.index[id] = append(s.ids, id), i
		if sim.naive {
			s.queues = append(s.queues, naive.NewFIFO(4))
		} else {
			s.queues = append(s.queues, admission.New(sim.cfg))
		}
	}
	for dc := range dataCentres {
		table := routing.NewTable(fleet.Node{ID: fleet.NodeID(fmt.Sprintf("i%d", dc)), DataCentre: fmt.Sprintf("dc%d", dc)}, routing.Config{})
		s.pickers[dc] = table.Rebuild("booking", records, func(fleet.TargetID) health.Verdict { return health.Verdict{Share: 1} }, epoch)
		s.endpoints[dc] = map[uint64]*routing.Endpoint{}
	}
	heap.Push(&s.events, simEvent{kind: "arrive"})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if s.now = e.at; s.now > s.until+afterWindow {
			break
		}
		switch e.kind {
		case "arrive":
			s.arrive()
		case "reach":
			s.step(e.target, admission.Arrive{Item: s.item(e.req)})
		case "finish":
			s.finish(e)
		case "refused":
			s.refused(e)
		}
	}
	s.out.goodput /= (sim.until - sim.from).Seconds() * float64(4*sim.targets)
	return s.out
}

func (s *simulator) clock() time.Time { return epoch.Add(s.now) }

// arrive creates one request, or a burst of long ones, and schedules the next
// arrival.
func (s *simulator) arrive() {
	requestsPerWork := 0.0 // mean number of requests per second of work
	for _, k := range s.classes {
		requestsPerWork += k.work / k.runTime.Seconds()
	}
	rate := s.demand(s.now) * float64(4*s.targets) * requestsPerWork
	heap.Push(&s.events, simEvent{at: s.now + time.Duration(s.r.ExpFloat64()/rate*1e9), kind: "arrive"})
	x, k := s.r.Float64()*requestsPerWork, &s.classes[0]
	for i := range s.classes {
		k = &s.classes[i]
		if x -= k.work / k.runTime.Seconds(); x < 0 {
			break
		}
	}
	copies := 1
	if k.length == fleet.Long && s.burst > 1 {
		if s.r.IntN(s.burst) > 0 {
			return
		}
		copies = s.burst
	}
	for range copies {
		s.create(k)
	}
}

func (s *simulator) create(k *requestClass) {
	const sigma = 0.6
	s.lastID++
	req := &simRequest{id: s.lastID, class: k, ingress: s.r.IntN(dataCentres), sent: s.now, callerDelay: s.callerDelays[s.r.IntN(2)], tenant: "heavy",
		runTime: time.Duration(k.runTime.Seconds() * math.Exp(sigma*s.r.NormFloat64()-sigma*sigma/2) * 1e9)}
	if s.r.Float64() >= s.heavyShare {
		req.tenant = fmt.Sprintf("light%d", s.r.IntN(9))
	}
	s.requests[req.id] = req
	if s.now >= s.from && s.now < s.until {
		s.out.offered[k.class]++
		s.out.offered["tenant "+req.tenant[:5]]++
	}
	s.send(req, req.callerDelay)
}

// send routes one attempt; delay is the time until the request reaches the
// ingress.
func (s *simulator) send(req *simRequest, delay time.Duration) {
	var id fleet.TargetID
	if s.naive {
		id, _ = s.roundRobin.Pick(s.ids, func(fleet.TargetID) bool { return true })
	} else {
		c, ok := s.pickers[req.ingress].Pick(routing.Request{Exclude: req.tried}, s.r.Uint64(), s.clock())
		if !ok {
			return
		}
		id = c.Target.Target().ID
		c.Target.Begin()
		s.endpoints[req.ingress][req.id] = c.Target
	}
	req.tried = append(req.tried, id)
	target := s.index[id]
	heap.Push(&s.events, simEvent{at: s.now + delay + s.delayToTarget(req, target), kind: "reach", target: target, req: req})
}

// delayToTarget returns the one-way time from the request's ingress to the
// target.
func (s *simulator) delayToTarget(req *simRequest, target int) time.Duration {
	if target%dataCentres == req.ingress {
		return 0
	}
	return dataCentreDelay
}

func (s *simulator) item(req *simRequest) admission.Item {
	k := req.class
	return admission.Item{ID: req.id, Class: k.class, Tenant: req.tenant, Priority: k.priority, Length: k.length, Expected: k.runTime,
		Deadline: epoch.Add(req.sent + k.deadline - req.callerDelay - dataCentreDelay)}
}

func (s *simulator) step(target int, ev admission.Event) {
	for _, a := range s.queues[target].Step(s.clock(), ev) {
		switch a := a.(type) {
		case admission.Start:
			req := s.requests[a.ID]
			req.started = s.now
			heap.Push(&s.events, simEvent{at: s.now + req.runTime, kind: "finish", target: target, req: req})
		case admission.Refuse:
			req := s.requests[a.ID]
			heap.Push(&s.events, simEvent{at: s.now + s.delayToTarget(req, target), kind: "refused", target: target, req: req})
		}
	}
}

func (s *simulator) end(req *simRequest, target int) {
	if e := s.endpoints[req.ingress][req.id]; e != nil {
		delete(s.endpoints[req.ingress], req.id)
		e.End(s.queues[target].(*admission.Queue).Load(s.clock()), true, s.clock())
	}
}

// refused retries the request once at another target if time is left.
func (s *simulator) refused(e simEvent) {
	s.end(e.req, e.target)
	if len(e.req.tried) < 2 && s.now < e.req.sent+e.req.class.deadline-e.req.callerDelay {
		s.send(e.req, 0)
		return
	}
	delete(s.requests, e.req.id)
}

func (s *simulator) finish(e simEvent) {
	s.step(e.target, admission.Finish{ID: e.req.id, RunTime: e.req.runTime})
	s.end(e.req, e.target)
	delete(s.requests, e.req.id)
	k, back := e.req.class, s.delayToTarget(e.req, e.target)+e.req.callerDelay
	took := s.now + back - e.req.sent
	if took <= k.deadline {
		s.out.goodput += max(0, (min(s.now, s.until) - max(e.req.started, s.from)).Seconds())
	}
	if e.req.sent < s.from || e.req.sent >= s.until {
		return
	}
	if took <= k.deadline {
		s.out.answered[k.class]++
		s.out.answered["tenant "+e.req.tenant[:5]]++
	}
	_ = s.out.latency[k.class].RecordValue(took.Microseconds())
}

func (r simResult) p99(class string) float64 {
	return float64(r.latency[class].ValueAtQuantile(99)) / 1000
}
