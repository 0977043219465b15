// Package sidecar admits calls to the targets on its own VM and runs them
// there. All calls to these targets pass through the sidecar, so its statement
// that a call was not run is proof.
package sidecar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/link"
)

// Reasons of refused calls.
const (
	reasonDraining = "the node is leaving"
	reasonNoTarget = "the target is not beside this node"
	reasonNoClass  = "the request class is not known at the sidecar"
	reasonNoBundle = "no bundle is in force at the sidecar"
)

// Operations decides whether keyed operations run and records their outcomes.
// It is implemented by operation.Manager.
type Operations interface {
	// Do runs a keyed call at most once. Do calls run once or not at all; run
	// must call mayDispatch immediately before it writes the request to the
	// target. The reply belongs to call, also when it repeats the answer of an
	// earlier call with the same key.
	Do(ctx context.Context, call *link.Call, run func(ctx context.Context, mayDispatch func() bool) *link.Reply) *link.Reply
}

// Sidecar serves the targets of one node. It is safe for concurrent use.
type Sidecar struct {
	self       fleet.NodeID
	operations Operations
	clock      func() time.Time

	dialect Dialect
	log     *event.Logger

	bundle   atomic.Pointer[bundle.Bundle]
	draining atomic.Bool
	inFlight atomic.Int64
	// standingChanged is set when a target lost or regained its standing.
	standingChanged atomic.Bool
	// activeRuns counts the calls that run at local targets, activeIdempotent
	// the idempotent ones among them, and activeRetries the idempotent ones
	// that are retries.
	activeRuns, activeIdempotent, activeRetries atomic.Int64
	// idempotentStarted counts the idempotent calls that began to run since the
	// node started.
	idempotentStarted atomic.Int64
	// callsPerRun returns the average number of calls that a local target makes
	// during one run, by called service. Its result is nil if no calls are
	// known; callsPerRun itself is nil if replies carry no such numbers.
	callsPerRun func() map[string]float64
	// leaving is called when a local target states that it is about to stop;
	// nil if nobody needs to know.
	leaving func(fleet.Target)

	waits waits

	mu      sync.RWMutex
	targets map[fleet.TargetID]*target
}

// New returns a sidecar without targets.
func New(self fleet.NodeID, operations Operations, clock func() time.Time) *Sidecar {
	return &Sidecar{self: self, operations: operations, clock: clock, targets: make(map[fleet.TargetID]*target)}
}

// SetDialect sets the dialect that the sidecar uses towards its targets and the
// logger for refused and failed calls. It must be called before the first
// SetTarget.
func (s *Sidecar) SetDialect(d Dialect, log *event.Logger) { s.dialect, s.log = d, log }

// ActiveRuns returns the number of calls that run at local targets.
func (s *Sidecar) ActiveRuns() int64 { return s.activeRuns.Load() }

// IdempotentStarted returns the number of idempotent calls that began to run at
// local targets since the node started.
func (s *Sidecar) IdempotentStarted() int64 { return s.idempotentStarted.Load() }

// SetCallsPerRun makes replies carry the result of f: the average number of
// calls that a local target makes during one run, by called service. It must be
// called before the first call is forwarded.
func (s *Sidecar) SetCallsPerRun(f func() map[string]float64) { s.callsPerRun = f }

// SetLeaving makes the sidecar call f when a local target states in an answer
// that it is about to stop. From then on the sidecar refuses new calls to the
// target. SetLeaving must be called before the first call is forwarded; f must
// not block.
func (s *Sidecar) SetLeaving(f func(fleet.Target)) { s.leaving = f }

// RetryShare returns the share, from 0 to 1, of retries among the idempotent
// calls that run at local targets.
func (s *Sidecar) RetryShare() float64 {
	retries := s.activeRetries.Load()
	if retries <= 0 {
		return 0
	}
	return min(float64(retries)/float64(max(s.activeIdempotent.Load(), 1)), 1)
}

// trackRun counts call as running at a local target until untrack is called.
func (s *Sidecar) trackRun(call *link.Call) (untrack func()) {
	s.activeRuns.Add(1)
	if call.ClassParams == nil || !call.ClassParams.Idempotent {
		return func() { s.activeRuns.Add(-1) }
	}
	s.activeIdempotent.Add(1)
	s.idempotentStarted.Add(1)
	if call.Retry {
		s.activeRetries.Add(1)
	}
	return func() {
		s.activeRuns.Add(-1)
		s.activeIdempotent.Add(-1)
		if call.Retry {
			s.activeRetries.Add(-1)
		}
	}
}

// StandingChanged reports whether a local target lost or regained its standing
// since the previous call of StandingChanged.
func (s *Sidecar) StandingChanged() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	changed := s.standingChanged.Swap(false)
	for _, t := range s.targets {
		changed = t.checkHanging() || changed
	}
	return changed
}

// Loads calls f with the load of each local target.
func (s *Sidecar) Loads(f func(fleet.TargetID, fleet.Load)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, t := range s.targets {
		f(id, t.load())
	}
}

// SetBundle sets the configuration bundle in force.
func (s *Sidecar) SetBundle(b *bundle.Bundle) { s.bundle.Store(b) }

// SetTarget adds a local target or updates its record. A target in state
// TargetGone is removed.
func (s *Sidecar) SetTarget(t fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.targets[t.ID]
	if t.State == fleet.TargetGone {
		if ok {
			old.gate.Drain()
			delete(s.targets, t.ID)
		}
		return
	}
	if ok && !old.replacedBy(t) {
		old.update(t)
		return
	}
	if ok {
		old.gate.Drain()
	}
	added := newTarget(t, s.clock, s.dialect, s.log)
	added.trackRun, added.beginWait = s.trackRun, s.waits.begin
	added.standingChanged = func() { s.standingChanged.Store(true) }
	added.leaving = func(t fleet.Target) {
		if s.leaving != nil {
			s.leaving(t)
		}
	}
	s.targets[t.ID] = added
}

// Drain makes the sidecar refuse all calls that wait for a slot and all new
// calls. Calls that run continue.
func (s *Sidecar) Drain() {
	s.draining.Store(true)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, t := range s.targets {
		t.gate.Drain()
	}
}

// InFlight returns how many calls are queued or running.
func (s *Sidecar) InFlight() int64 { return s.inFlight.Load() }

// Load returns the load of a local target, or false if the sidecar does not
// have the target.
func (s *Sidecar) Load(id fleet.TargetID) (fleet.Load, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.targets[id]
	if !ok {
		return fleet.Load{}, false
	}
	return t.load(), true
}

// Samples returns the health evidence gathered since the previous call of
// Samples.
func (s *Sidecar) Samples() []health.Sample {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.clock()
	var samples []health.Sample
	for id, t := range s.targets {
		for _, sample := range t.evidence.collectSamples(now) {
			sample.Target, sample.Source = id, s.self
			samples = append(samples, sample)
		}
	}
	return samples
}

// Forward admits a call and runs it on a local target.
func (s *Sidecar) Forward(ctx context.Context, call *link.Call) *link.Reply {
	s.inFlight.Add(1)
	reply := s.forward(ctx, call)
	if reply.Outcome != fleet.Answered {
		s.inFlight.Add(-1)
		return reply
	}
	reply.Body = &completionBody{ReadCloser: reply.Body, onEnd: func(error) { s.inFlight.Add(-1) }}
	return reply
}

func (s *Sidecar) forward(ctx context.Context, call *link.Call) *link.Reply {
	if s.draining.Load() && call.Key == "" {
		return withdrawn(call)
	}
	item, reason := s.admissionItem(call)
	if reason != "" {
		return link.Refused(call, reason)
	}
	if call.Key != "" {
		return s.forwardKeyed(ctx, call, item)
	}
	t := s.target(call.Target)
	if t == nil || t.record().Service != call.Service {
		reply := link.Refused(call, reasonNoTarget)
		reply.Misrouted = true
		return reply
	}
	reply := t.admit(ctx, call, item, nil)
	if s.callsPerRun != nil && (reply.Dispatched || reply.Outcome == fleet.Answered) {
		reply.CallsPerRun = s.callsPerRun()
	}
	return reply
}

// forwardKeyed runs a keyed call if the operation records permit it. The owner
// of the key chooses the least loaded of its own targets of the service.
func (s *Sidecar) forwardKeyed(ctx context.Context, call *link.Call, item admission.Item) *link.Reply {
	return s.operations.Do(ctx, call, func(ctx context.Context, mayDispatch func() bool) *link.Reply {
		for {
			if s.draining.Load() {
				return withdrawn(call)
			}
			t := s.leastLoaded(call.Service)
			if t == nil {
				return link.Refused(call, reasonNoTarget)
			}
			// Another target beside this node takes the call if this one starts to
			// leave; leastLoaded does not return it again.
			if reply := t.admit(ctx, call, item, mayDispatch); !reply.Withdrawn {
				return reply
			}
		}
	})
}

// withdrawn refuses a call because this node is leaving.
func withdrawn(call *link.Call) *link.Reply {
	reply := link.Refused(call, reasonDraining)
	reply.Withdrawn = true
	return reply
}

func (s *Sidecar) target(id fleet.TargetID) *target {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.targets[id]
}

func (s *Sidecar) leastLoaded(service string) *target {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var best *target
	var bestLoad int
	for _, t := range s.targets {
		record := t.record()
		if record.Service != service || record.State != fleet.TargetServing || t.gate.Draining() {
			continue
		}
		load := t.gate.Load()
		if n := load.InFlight + load.Queued; best == nil || n < bestLoad {
			best, bestLoad = t, n
		}
	}
	return best
}

func classOf(b *bundle.Bundle, call *link.Call) *bundle.Class {
	service := b.Service(call.Service)
	if service == nil {
		return nil
	}
	return service.Class(call.Class)
}

// admissionItem returns the admission item of a call, or the reason to refuse
// the call.
func (s *Sidecar) admissionItem(call *link.Call) (item admission.Item, reason string) {
	b := s.bundle.Load()
	if params := call.ClassParams; params != nil && s.dialect != nil {
		// The ingress took the class parameters from its own version of the
		// configuration, which may be newer than the one in force here.
		item := admission.Item{
			Class: call.Class, Tenant: call.Tenant, Priority: params.Priority, Length: params.Length,
			Deadline: s.clock().Add(call.Timeout), Expected: params.Expected, Weight: 1,
			Nested: call.Nested, Waited: call.Waited,
		}
		if b != nil {
			item.Weight = b.Limit(call.Tenant).Weight
		}
		if call.Objective > 0 {
			item.Objective = s.clock().Add(call.Objective)
		}
		return item, ""
	}
	if b == nil {
		return admission.Item{}, reasonNoBundle
	}
	class := classOf(b, call)
	if class == nil {
		return admission.Item{}, reasonNoClass
	}
	return s.itemFromClass(b, class, call), ""
}

func (s *Sidecar) itemFromClass(b *bundle.Bundle, class *bundle.Class, call *link.Call) admission.Item {
	return admission.Item{
		Class:    class.Name,
		Tenant:   call.Tenant,
		Priority: b.Priority(b.Named(call.Tenant), class),
		Length:   class.Length,
		Deadline: s.clock().Add(call.Timeout),
		Expected: class.Expected.AsDuration(),
		Weight:   b.Limit(call.Tenant).Weight,
		Waited:   call.Waited,
	}
}

// refusedReply returns the reply to a call that admission refused with err.
func refusedReply(call *link.Call, err error, load fleet.Load) *link.Reply {
	reply := link.Refused(call, err.Error())
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		reply.Reason = "not admitted: " + refused.Reason.String()
		reply.RetryAfter = refused.RetryAfter
		reply.Withdrawn = refused.Reason == admission.ReasonDraining
	}
	reply.Load = load
	return reply
}

var _ link.Forwarder = (*Sidecar)(nil)
