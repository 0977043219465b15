// Package replay replays recorded requests through a model of a service, to
// compare policies for second copies. It uses no clock and no network.
package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/hedge"
)

// A replay sends the same requests, with the same run times and the same
// spells in which targets hang, through a model of a service with each policy. A
// target has slots and one queue; a request goes to the less loaded of two
// random targets, and waits only when several are full.
const (
	targets    = 10
	slots      = 4
	Requests   = 40_000 // of each trace
	Traces     = 16
	usualRun   = 20 * time.Millisecond // mean usual run time
	deadline   = 2 * time.Second
	Ratio      = 0.05
	fixedDelay = 100 * time.Millisecond
	hangShare  = 0.01 // of the time of a target
	hangLength = time.Second
)

type Policy int

const (
	Off Policy = iota
	Fixed
	Quantile
)

func (p Policy) String() string { return [...]string{"off", "fixed delay", "quantile"}[p] }

// trace is the recorded input of a replay.
type trace struct {
	arrivals []time.Duration
	// runs holds the run time of the first attempt and of a copy of each request.
	runs [][2]time.Duration
	// hangs holds the ends of the spells of each target, each of hangLength.
	hangs [targets][]time.Duration
}

func newTrace(seed uint64, load float64) *trace {
	r := rand.New(rand.NewPCG(seed, 0))
	t := &trace{}
	run := func() time.Duration {
		d := float64(usualRun) * math.Exp(0.3*r.NormFloat64()-0.045)
		if r.IntN(100) == 0 {
			d *= 3 + 2*r.Float64()
		}
		return time.Duration(d)
	}
	gap := float64(usualRun) * 1.03 / (targets * slots * load)
	at := time.Duration(0)
	for range Requests {
		at += time.Duration(gap * r.ExpFloat64())
		t.arrivals = append(t.arrivals, at)
		t.runs = append(t.runs, [2]time.Duration{run(), run()})
	}
	for i := range t.hangs {
		for spell := time.Duration(0); spell < at; {
			spell += time.Duration(float64(hangLength) / hangShare * r.ExpFloat64())
			t.hangs[i] = append(t.hangs[i], spell+hangLength)
		}
	}
	return t
}

// end returns when work ends that starts at a target at the given time: during a
// spell no work advances.
func (t *trace) end(target int, start, run time.Duration) time.Duration {
	end := start + run
	for _, over := range t.hangs[target] {
		if began := over - hangLength; began < end && over > start {
			end += over - max(start, began)
		}
	}
	return end
}

type event struct {
	at     time.Duration
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

type replay struct {
	*trace
	policy Policy
	hedger *hedge.Hedger
	// The copies have their own random numbers, so that the first attempts make
	// the same choices with each policy.
	random, copyRandom *rand.Rand
	queue              eventQueue
	now                time.Duration

	busy    [targets]int
	waiting [targets][]func()

	Result
}

func (r *replay) at(when time.Duration, action func()) {
	heap.Push(&r.queue, event{when, action})
}

// run replays the whole trace.
func (r *replay) run() {
	for i, at := range r.arrivals {
		r.at(at, func() { r.arrive(i) })
	}
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.action()
	}
}

// pick returns the less loaded of two random targets that were not tried.
func (r *replay) pick(random *rand.Rand, tried []int) int {
	choose := func() int {
		for {
			if t := random.IntN(targets); !slices.Contains(tried, t) {
				return t
			}
		}
	}
	a, b := choose(), choose()
	if r.busy[b]+len(r.waiting[b]) < r.busy[a]+len(r.waiting[a]) {
		return b
	}
	return a
}

// start is the time at which a replay begins.
var start = time.Unix(1_800_000_000, 0)

// unlimited is a retry budget without a limit.
type unlimited struct{}

func (unlimited) Withdraw(time.Time) bool  { return true }
func (unlimited) Available(time.Time) bool { return true }
func (unlimited) Refund(time.Time)         {}

// request is one request of the trace during its replay.
type request struct {
	index   int
	arrived time.Duration
	tried   []int
	waited  bool // in a queue
	done    bool
}

func (r *replay) finish(q *request) {
	if q.done {
		return
	}
	q.done = true
	r.latencies = append(r.latencies, r.now-q.arrived)
	if r.now-q.arrived <= deadline {
		r.InTime++
	}
}

// arrive sends the first attempt of a request: to a target with a free slot, or
// into a queue when several targets have none.
func (r *replay) arrive(i int) {
	q := &request{index: i, arrived: r.now}
	r.hedger.Request("s", true, start.Add(r.now))
	target := r.pick(r.random, nil)
	for len(q.tried) < 3 && r.busy[target] == slots {
		q.tried = append(q.tried, target)
		target = r.pick(r.random, q.tried)
	}
	q.waited = r.busy[target] == slots
	q.tried = append(q.tried, target)
	r.admit(target, func() {
		if q.done || r.now-q.arrived > deadline {
			r.finish(q) // withdrawn from the queue, or expired there
			r.release(target)
			return
		}
		r.work += r.runs[i][0]
		began := r.now
		r.at(r.end(target, r.now, r.runs[i][0]), func() {
			if !q.waited {
				r.hedger.Observe("s", "c", r.now-began, start.Add(r.now))
			}
			r.finish(q)
			r.release(target)
		})
	})
	switch r.policy {
	case Fixed:
		r.at(r.now+fixedDelay, func() { r.sendCopy(q) })
	case Quantile:
		if timing, ok := r.hedger.Timing(hedge.Attempt{Service: "s", Class: "c"}, start.Add(r.now)); ok {
			r.copyAfter(q, timing, timing.Delay)
		}
	}
}

// copyAfter sends a copy after a delay if the hedger allows it, and asks again
// after twice the delay otherwise.
func (r *replay) copyAfter(q *request, timing hedge.Timing, delay time.Duration) {
	r.at(r.now+delay, func() {
		if q.done {
			return
		}
		send, reason := r.hedger.Decide(hedge.Copy{
			Service: "s", Timing: timing, AttemptsLeft: 1, Remaining: q.arrived + deadline - r.now, Budget: unlimited{},
		}, start.Add(r.now))
		if send && !r.sendCopy(q) {
			r.hedger.Refund("s", start.Add(r.now))
			r.hedger.FoundFull("s", start.Add(r.now))
			send = false
		}
		if !send && reason != hedge.ReasonDeadline {
			r.copyAfter(q, timing, 2*delay)
		}
	})
}

// sendCopy sends a copy. With the quantile policy, it reports false if the
// chosen target has no free slot.
func (r *replay) sendCopy(q *request) bool {
	if q.done {
		return false
	}
	target := r.pick(r.copyRandom, q.tried)
	if r.policy == Quantile && r.busy[target] == slots {
		return false
	}
	r.Copies++
	r.admit(target, func() {
		run := r.runs[q.index][1]
		r.extra += run
		r.at(r.end(target, r.now, run), func() {
			r.finish(q)
			r.release(target)
		})
	})
	return true
}

func (r *replay) admit(target int, begin func()) {
	if r.busy[target] == slots {
		r.waiting[target] = append(r.waiting[target], begin)
		return
	}
	r.busy[target]++
	begin()
}

func (r *replay) release(target int) {
	if queue := r.waiting[target]; len(queue) > 0 {
		r.waiting[target] = queue[1:]
		r.at(r.now, queue[0])
		return
	}
	r.busy[target]--
}

// Result sums up the replays of several traces with one policy.
type Result struct {
	latencies      []time.Duration
	InTime, Copies int
	work, extra    time.Duration
}

// Percentile returns the latency that the share p of the requests, from 0 to 1,
// did not exceed.
func (r *Result) Percentile(p float64) time.Duration {
	return r.latencies[min(int(p*float64(len(r.latencies))), len(r.latencies)-1)]
}

// Row returns the results as a row of the table in docs/design/hedging.md.
func (r *Result) Row(load float64, p Policy) string {
	ms := func(p float64) string {
		return fmt.Sprintf("%.0f ms", float64(r.Percentile(p))/float64(time.Millisecond))
	}
	return fmt.Sprintf("| %.0f%% | %v | %s | %s | %s | %.2f%% | %.1f%% |\n", load*100, p, ms(0.5), ms(0.99), ms(0.999),
		100*float64(r.extra)/float64(r.work), 100*float64(r.InTime)/float64(len(r.latencies)))
}

// Play replays all traces of a load with one policy.
func Play(p Policy, load float64) *Result {
	var sum Result
	for seed := range uint64(Traces) {
		r := &replay{trace: newTrace(seed+1, load), policy: p, hedger: hedge.New(Ratio),
			random: rand.New(rand.NewPCG(seed, 1)), copyRandom: rand.New(rand.NewPCG(seed, 2))}
		r.run()
		sum.latencies = append(sum.latencies, r.latencies...)
		sum.InTime, sum.Copies, sum.work, sum.extra = sum.InTime+r.InTime, sum.Copies+r.Copies, sum.work+r.work, sum.extra+r.extra
	}
	slices.Sort(sum.latencies)
	return &sum
}
