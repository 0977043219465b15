// Package sidecar admits work to the targets of its own VM and runs it there.
// All work for these targets passes through it, so its statement that a call
// was not run is proof.
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

// Operations decides about keyed operations and records them. It is
// implemented by operation.Manager.
type Operations interface {
	// Do runs a keyed call at most once. run may be called once or not at all;
	// mayDispatch must be consulted immediately before the request is written
	// to the target. The reply belongs to call, also when it repeats the answer
	// of an earlier call with the same key.
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
	// changed is set when the standing of a target changed.
	changed atomic.Bool
	// running counts the runs at local targets, idempotent those that may be
	// repeated, and repeats those that are repeats.
	running, idempotent, repeats atomic.Int64
	// begun counts the idempotent runs since the start.
	begun atomic.Int64
	// calls tells how many calls a run makes, by service; nil when unknown.
	calls func() map[string]float64

	mu      sync.RWMutex
	targets map[fleet.TargetID]*target
}

// New returns a sidecar without targets.
func New(self fleet.NodeID, operations Operations, clock func() time.Time) *Sidecar {
	return &Sidecar{self: self, operations: operations, clock: clock, targets: make(map[fleet.TargetID]*target)}
}

// Speak makes the sidecar use a dialect towards its targets and log what it
// refuses and what fails. It must be called before the first target is set.
func (s *Sidecar) Speak(d Dialect, log *event.Logger) { s.dialect, s.log = d, log }

// Running is the number of runs at local targets.
func (s *Sidecar) Running() int64 { return s.running.Load() }

// Begun is the number of idempotent runs since the start.
func (s *Sidecar) Begun() int64 { return s.begun.Load() }

// ReportCalls makes replies carry how many calls a run makes, by service. It
// must be called before the first call is forwarded.
func (s *Sidecar) ReportCalls(f func() map[string]float64) { s.calls = f }

// RepeatedShare is the part of the idempotent runs at local targets that are
// repeats.
func (s *Sidecar) RepeatedShare() float64 {
	repeats := s.repeats.Load()
	if repeats <= 0 {
		return 0
	}
	return min(float64(repeats)/float64(max(s.idempotent.Load(), 1)), 1)
}

// count follows a run at a local target until the returned function is called.
func (s *Sidecar) count(call *link.Call) (ended func()) {
	s.running.Add(1)
	if call.Terms == nil || !call.Terms.Idempotent {
		return func() { s.running.Add(-1) }
	}
	s.idempotent.Add(1)
	s.begun.Add(1)
	if call.Repeat {
		s.repeats.Add(1)
	}
	return func() {
		s.running.Add(-1)
		s.idempotent.Add(-1)
		if call.Repeat {
			s.repeats.Add(-1)
		}
	}
}

// StandingChanged reports whether the standing of a local target was lost or
// regained since the last call.
func (s *Sidecar) StandingChanged() bool { return s.changed.Swap(false) }

// Loads calls f with the load of each local target.
func (s *Sidecar) Loads(f func(fleet.TargetID, fleet.Load)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, t := range s.targets {
		f(id, t.load())
	}
}

// SetBundle publishes the bundle in force.
func (s *Sidecar) SetBundle(b *bundle.Bundle) { s.bundle.Store(b) }

// SetTarget adds a local target or updates its record.
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
	fresh := newTarget(t, s.clock, s.dialect, s.log)
	fresh.count = s.count
	fresh.standingChanged = func() { s.changed.Store(true) }
	s.targets[t.ID] = fresh
}

// Drain refuses all new calls from now on. Calls that were admitted go on.
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

// Load returns the load of a local target.
func (s *Sidecar) Load(id fleet.TargetID) (fleet.Load, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.targets[id]
	if !ok {
		return fleet.Load{}, false
	}
	return t.load(), true
}

// Samples returns the health evidence since the last call.
func (s *Sidecar) Samples() []health.Sample {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.clock()
	var samples []health.Sample
	for id, t := range s.targets {
		for _, sample := range t.evidence.take(now) {
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
	reply.Body = &endBody{ReadCloser: reply.Body, end: func(error) { s.inFlight.Add(-1) }}
	return reply
}

func (s *Sidecar) forward(ctx context.Context, call *link.Call) *link.Reply {
	if s.draining.Load() && call.Key == "" {
		return link.Refused(call, reasonDraining)
	}
	item, reason := s.itemOf(call)
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
	if s.calls != nil && (reply.Dispatched || reply.Outcome == fleet.Answered) {
		reply.Calls = s.calls()
	}
	return reply
}

// forwardKeyed lets the record of operations decide whether the call runs. The
// owner of a key runs it on any of its own targets of the service.
func (s *Sidecar) forwardKeyed(ctx context.Context, call *link.Call, item admission.Item) *link.Reply {
	return s.operations.Do(ctx, call, func(ctx context.Context, mayDispatch func() bool) *link.Reply {
		if s.draining.Load() {
			return link.Refused(call, reasonDraining)
		}
		t := s.leastLoaded(call.Service)
		if t == nil {
			return link.Refused(call, reasonNoTarget)
		}
		return t.admit(ctx, call, item, mayDispatch)
	})
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
		if record.Service != service || record.State != fleet.TargetServing {
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

// itemOf returns the admission item of a call, or why there is none.
func (s *Sidecar) itemOf(call *link.Call) (item admission.Item, reason string) {
	b := s.bundle.Load()
	if t := call.Terms; t != nil && s.dialect != nil {
		// The ingress decided by its own version of the configuration, which
		// may be newer than the one here.
		item := admission.Item{
			Class: call.Class, Tenant: call.Tenant, Priority: t.Priority, Length: t.Length,
			Deadline: s.clock().Add(call.Timeout), Expected: t.Expected, Weight: 1,
			Nested: call.Nested,
		}
		if call.Aim > 0 {
			item.Aim = s.clock().Add(call.Aim)
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
	return s.item(b, class, call), ""
}

func (s *Sidecar) item(b *bundle.Bundle, class *bundle.Class, call *link.Call) admission.Item {
	return admission.Item{
		Class:    class.Name,
		Tenant:   call.Tenant,
		Priority: class.Priority,
		Length:   class.Length,
		Deadline: s.clock().Add(call.Timeout),
		Expected: class.Expected.Std(),
		Weight:   b.Limit(call.Tenant).Weight,
	}
}

// refusedReply turns an admission error into a reply.
func refusedReply(call *link.Call, err error, load fleet.Load) *link.Reply {
	reply := link.Refused(call, err.Error())
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		reply.Reason = "not admitted: " + refused.Reason.String()
		reply.RetryAfter = refused.RetryAfter
	}
	reply.Load = load
	return reply
}

var _ link.Forwarder = (*Sidecar)(nil)
