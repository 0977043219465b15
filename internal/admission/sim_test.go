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

// kind is one class of requests of a run.
type kind struct {
	class    string
	priority fleet.Priority
	length   fleet.Length
	run      time.Duration // mean
	deadline time.Duration // from the caller
	// work is the part of the offered work.
	work float64
}

// load is one run in virtual time: queues of several targets in four data
// centres behind routing, or behind round robin.
type load struct {
	targets int
	seed    uint64
	kinds   []kind
	// demand is the offered work at a time in parts of the capacity.
	demand  func(at time.Duration) float64
	from    time.Duration // of the measured window
	until   time.Duration
	cfg     admission.Config
	naive   bool
	heavy   float64 // part of the requests that one tenant sends; the rest is shared by nine
	callers [2]time.Duration
	// burst is how many long requests arrive at the same time.
	burst int
}

type outcome struct {
	// goodput is the slot time within the window that was spent on answers in
	// time, in parts of all slot time.
	goodput  float64
	latency  map[string]*hdrhistogram.Histogram
	offered  map[string]int // by class and, with a prefix, by tenant
	answered map[string]int
}

type loadEvent struct {
	at     time.Duration
	kind   string // arrive, reach, finish, refused
	target int
	req    *loadRequest
}

type loadRequest struct {
	id       uint64
	kind     *kind
	tenant   string
	ingress  int
	sent     time.Duration // by the caller
	distance time.Duration // one way from the caller
	run      time.Duration
	started  time.Duration
	tried    []fleet.TargetID
}

type loadHeap []loadEvent

func (h loadHeap) Len() int           { return len(h) }
func (h loadHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h loadHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *loadHeap) Push(x any)        { *h = append(*h, x.(loadEvent)) }
func (h *loadHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type stepper interface {
	Step(now time.Time, ev admission.Event) []admission.Action
}

// afterWindow lets requests end that were running when the window closed.
const afterWindow = 6 * time.Second

const dataCentres, hop = 4, time.Millisecond

type loadSim struct {
	load
	r       *rand.Rand
	now     time.Duration
	events  loadHeap
	queues  []stepper
	ids     []fleet.TargetID
	index   map[fleet.TargetID]int
	pickers [dataCentres]*routing.Picker
	robin   naive.RoundRobin
	reqs    map[uint64]*loadRequest
	next    uint64
	ends    [dataCentres]map[uint64]*routing.Endpoint
	out     outcome
}

func (l load) run() outcome {
	s := &loadSim{load: l, r: rand.New(rand.NewPCG(l.seed, 11)), index: map[fleet.TargetID]int{}, reqs: map[uint64]*loadRequest{},
		out: outcome{latency: map[string]*hdrhistogram.Histogram{}, offered: map[string]int{}, answered: map[string]int{}}}
	for _, k := range l.kinds {
		s.out.latency[k.class] = hdrhistogram.New(1, 600_000_000, 3)
	}
	var records []fleet.Target
	for i := range l.targets {
		id := fleet.TargetID(fmt.Sprintf("t%02d", i))
		records = append(records, fleet.Target{ID: id, Node: fleet.NodeID(id), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Slots: 4})
		s.ids, s.index[id] = append(s.ids, id), i
		if l.naive {
			s.queues = append(s.queues, naive.NewFIFO(4))
		} else {
			s.queues = append(s.queues, admission.New(l.cfg))
		}
	}
	for dc := range dataCentres {
		table := routing.NewTable(fleet.Node{ID: fleet.NodeID(fmt.Sprintf("i%d", dc)), DataCentre: fmt.Sprintf("dc%d", dc)}, routing.Config{})
		s.pickers[dc] = table.Rebuild("booking", records, func(fleet.TargetID) health.Verdict { return health.Verdict{Share: 1} }, epoch)
		s.ends[dc] = map[uint64]*routing.Endpoint{}
	}
	heap.Push(&s.events, loadEvent{kind: "arrive"})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(loadEvent)
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
	s.out.goodput /= (l.until - l.from).Seconds() * float64(4*l.targets)
	return s.out
}

func (s *loadSim) clock() time.Time { return epoch.Add(s.now) }

// arrive creates one request and schedules the next one.
func (s *loadSim) arrive() {
	perWork := 0.0 // requests for a second of work
	for _, k := range s.kinds {
		perWork += k.work / k.run.Seconds()
	}
	rate := s.demand(s.now) * float64(4*s.targets) * perWork
	heap.Push(&s.events, loadEvent{at: s.now + time.Duration(s.r.ExpFloat64()/rate*1e9), kind: "arrive"})
	x, k := s.r.Float64()*perWork, &s.kinds[0]
	for i := range s.kinds {
		k = &s.kinds[i]
		if x -= k.work / k.run.Seconds(); x < 0 {
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

func (s *loadSim) create(k *kind) {
	const sigma = 0.6
	s.next++
	req := &loadRequest{id: s.next, kind: k, ingress: s.r.IntN(dataCentres), sent: s.now, distance: s.callers[s.r.IntN(2)], tenant: "heavy",
		run: time.Duration(k.run.Seconds() * math.Exp(sigma*s.r.NormFloat64()-sigma*sigma/2) * 1e9)}
	if s.r.Float64() >= s.heavy {
		req.tenant = fmt.Sprintf("light%d", s.r.IntN(9))
	}
	s.reqs[req.id] = req
	if s.now >= s.from && s.now < s.until {
		s.out.offered[k.class]++
		s.out.offered["tenant "+req.tenant[:5]]++
	}
	s.send(req, req.distance)
}

// send routes one attempt; delay is the time until the ingress has the request.
func (s *loadSim) send(req *loadRequest, delay time.Duration) {
	var id fleet.TargetID
	if s.naive {
		id, _ = s.robin.Pick(s.ids, func(fleet.TargetID) bool { return true })
	} else {
		c, ok := s.pickers[req.ingress].Pick(routing.Request{Exclude: req.tried}, s.r.Uint64(), s.clock())
		if !ok {
			return
		}
		id = c.Target.Target().ID
		c.Target.Begin()
		s.ends[req.ingress][req.id] = c.Target
	}
	req.tried = append(req.tried, id)
	target := s.index[id]
	heap.Push(&s.events, loadEvent{at: s.now + delay + s.hop(req, target), kind: "reach", target: target, req: req})
}

func (s *loadSim) hop(req *loadRequest, target int) time.Duration {
	if target%dataCentres == req.ingress {
		return 0
	}
	return hop
}

func (s *loadSim) item(req *loadRequest) admission.Item {
	k := req.kind
	return admission.Item{ID: req.id, Class: k.class, Tenant: req.tenant, Priority: k.priority, Length: k.length, Expected: k.run,
		Deadline: epoch.Add(req.sent + k.deadline - req.distance - hop)}
}

func (s *loadSim) step(target int, ev admission.Event) {
	for _, a := range s.queues[target].Step(s.clock(), ev) {
		switch a := a.(type) {
		case admission.Start:
			req := s.reqs[a.ID]
			req.started = s.now
			heap.Push(&s.events, loadEvent{at: s.now + req.run, kind: "finish", target: target, req: req})
		case admission.Refuse:
			req := s.reqs[a.ID]
			heap.Push(&s.events, loadEvent{at: s.now + s.hop(req, target), kind: "refused", target: target, req: req})
		}
	}
}

func (s *loadSim) end(req *loadRequest, target int) {
	if e := s.ends[req.ingress][req.id]; e != nil {
		delete(s.ends[req.ingress], req.id)
		e.End(s.queues[target].(*admission.Queue).Load(s.clock()), true, s.clock())
	}
}

// refused tries one other target.
func (s *loadSim) refused(e loadEvent) {
	s.end(e.req, e.target)
	if len(e.req.tried) < 2 && s.now < e.req.sent+e.req.kind.deadline-e.req.distance {
		s.send(e.req, 0)
		return
	}
	delete(s.reqs, e.req.id)
}

func (s *loadSim) finish(e loadEvent) {
	s.step(e.target, admission.Finish{ID: e.req.id, Took: e.req.run})
	s.end(e.req, e.target)
	delete(s.reqs, e.req.id)
	k, back := e.req.kind, s.hop(e.req, e.target)+e.req.distance
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

func (o outcome) p99(class string) float64 {
	return float64(o.latency[class].ValueAtQuantile(99)) / 1000
}
