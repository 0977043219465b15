package ingress

import (
	"context"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/retry"
	"siskinvale.dev/siskinvale/internal/routing"
)

const (
	// ownerLookupInterval is the pause before a keyed operation looks up its
	// owner again. A takeover takes a few seconds, so a short pause adds little
	// latency.
	ownerLookupInterval = 50 * time.Millisecond
	// maxOwnerLookups bounds the owner lookups of one keyed operation within
	// its deadline. Every attempt that is followed by a lookup provably did not
	// reach a target.
	maxOwnerLookups = 100
	// An attempt at a target on probation may take probationTimeoutFactor times
	// the expected run time of its class, and at least minProbationTimeout, so
	// that a pause of the VM does not count as a failure.
	probationTimeoutFactor = 5
	minProbationTimeout    = 100 * time.Millisecond
	// maxSidecarAttempts bounds the sidecar attempts of one request, including
	// those that are refused.
	maxSidecarAttempts = 8
	// maxNoWaitAttempts is the number of no-wait calls before the request may
	// wait in a sidecar's queue.
	maxNoWaitAttempts = 3
	// minQueuedRefusalTime is the duration from which a refused attempt counts
	// as having waited in a queue. An immediate refusal takes a few
	// milliseconds between data centres.
	minQueuedRefusalTime = 50 * time.Millisecond
	// refusalsBeforeForcedCall is the number of refusals because of a target's
	// bad standing after which a request is sent as a forced call, to the best
	// target that is left.
	refusalsBeforeForcedCall = 4
)

const reasonEnding = "the node ends before the request could be answered"

// sendWithRetries sends the request until it is answered or may not be sent
// again. The returned reply states what is known about the request as a whole.
func (in *Ingress) sendWithRetries(ctx context.Context, req *request) *link.Reply {
	if req.isKeyedOperation() {
		return in.sendKeyed(ctx, req)
	}
	ownBudget := in.budgets.forClass(req.service, req.class.Name)
	ownBudget.Deposit(in.cfg.Clock())
	in.countForHedging(req)
	in.classifyOrigin(req, ownBudget)
	budget := in.retryBudget(req)
	s := attemptSeries{req: req, budget: budget, mayProbe: in.mayProbe(req)}
	var failedAnswer *link.Reply // a target's own answer with a failure status
	for {
		reply := in.sendAttempt(ctx, &s)
		if req.succeeded(reply) {
			closeBody(failedAnswer)
			return reply
		}
		outcome := s.countFailure(reply)
		attemptNumber, withoutBudget := s.dispatched, s.dispatched == 0 || s.retryPaid
		if !in.cfg.UncountedRefusals {
			attemptNumber, withoutBudget = s.sidecarAttempts-s.withdrawals, !reply.Sent || reply.Withdrawn
		}
		decision := retry.Decision{Reason: retry.ReasonSidecarAttempts}
		if s.sidecarAttempts < maxSidecarAttempts {
			attempt := retry.Attempt{
				Number: attemptNumber, Max: req.class.Attempts, Idempotent: req.class.Idempotent, Streamed: req.stream != nil,
				BudgetExempt: withoutBudget, Outcome: outcome, Remaining: time.Until(req.deadline),
			}
			decision = retry.Decide(attempt, budget, in.cfg.Clock())
			if decision.Reason == retry.ReasonBudget && in.borrowRetry(ctx, req, budget) {
				decision = retry.Decide(attempt, budget, in.cfg.Clock())
			}
		}
		in.logAttempt(&s, reply, decision)
		if reply.Outcome == fleet.Answered {
			closeBody(failedAnswer)
			failedAnswer = reply
		}
		s.retryPaid = s.retryPaid || decision.Retry && s.dispatched > 0 && in.cfg.UncountedRefusals
		if !decision.Retry || ctx.Err() != nil {
			if s.retryPaid {
				budget.Refund(in.cfg.Clock())
			}
			return s.finalReply(reply, failedAnswer)
		}
		if reply == failedAnswer && !isBuffered(failedAnswer) {
			failedAnswer.Body.Close()
			failedAnswer = nil
		}
		in.cfg.Metrics.Counter("siskinvale_retries_total").Inc()
	}
}

// attemptSeries is the state of all attempts of one request.
type attemptSeries struct {
	req    *request
	budget budget
	// mayProbe is set if the request may find out whether a target's failure
	// episode has ended, as long as it can be retried.
	mayProbe bool
	// tried holds the targets that were asked, busy those of them that refused
	// a no-wait call because no slot was free.
	tried, busy []fleet.TargetID
	// sidecarAttempts counts all attempts, dispatched those that may have
	// reached a target, and badStandingRefusals those that were refused because
	// the target was in bad standing.
	sidecarAttempts, dispatched, badStandingRefusals int
	// mayHaveRun is set when an attempt ended with an unknown outcome.
	mayHaveRun bool
	// waited is set when a sidecar refused the request after holding it in its
	// queue. All later attempts are no-wait calls, so that the caller learns
	// early that the request did not run. A request that was withdrawn from the
	// queue of a target that is leaving may wait again.
	waited bool
	// withdrawals counts the attempts that ended so, and withdrawnWait is how
	// long they took.
	withdrawals   int
	withdrawnWait time.Duration
	// retryPaid is set while a retry has been withdrawn from the budget but not
	// yet dispatched.
	retryPaid bool
}

// countFailure counts a failed attempt as dispatched if it may have reached a
// target, and returns its outcome. An answer with a failure status is unknown.
func (s *attemptSeries) countFailure(reply *link.Reply) fleet.Outcome {
	outcome := reply.Outcome
	if outcome == fleet.Answered {
		outcome = fleet.Unknown
	}
	s.mayHaveRun = s.mayHaveRun || outcome == fleet.Unknown
	if outcome == fleet.Unknown || reply.Dispatched {
		s.dispatched++
		s.retryPaid = false
	}
	return outcome
}

// excludedTargets returns the targets that are not asked again. A call that may
// wait, or a copy, can go to a target that refused an earlier no-wait call. Otherwise the
// no-wait calls would use up the few targets of a small service, and the
// request would be refused although it could wait for a slot.
func (s *attemptSeries) excludedTargets(noWait bool) []fleet.TargetID {
	if noWait || len(s.busy) == 0 {
		return s.tried
	}
	return slices.DeleteFunc(slices.Clone(s.tried), func(id fleet.TargetID) bool { return slices.Contains(s.busy, id) })
}

// final reports whether no retry could follow a failure of the next dispatch.
// Such an attempt is not used to test whether a target's failure episode has
// ended.
func (s *attemptSeries) final(now time.Time) bool {
	return !s.mayProbe || s.dispatched+1 >= s.req.class.Attempts || !s.budget.Available(now)
}

// callerProbeMemory is how long after an idempotent request of a caller calls of
// local targets to the same service are not used as probes.
const callerProbeMemory = 10 * time.Second

// mayProbe reports whether the request may be sent to a target to find out
// whether its failure episode has ended. Calls of local targets are used for
// that only if callers have sent no idempotent requests to the service lately:
// while a call is retried, the run that made it holds its slot. Without any
// probe, a target that has recovered would get no request for seconds.
func (in *Ingress) mayProbe(req *request) bool {
	if !req.class.Idempotent {
		return false
	}
	now := in.cfg.Clock()
	if !req.nested {
		in.callerProbes.Store(req.service, now)
		return true
	}
	last, ok := in.callerProbes.Load(req.service)
	return !ok || now.Sub(last.(time.Time)) >= callerProbeMemory
}

// finalReply returns what is known about the request as a whole. A target's own
// answer, even with a failure status, tells the caller more than a later
// refusal.
func (s *attemptSeries) finalReply(reply, failedAnswer *link.Reply) *link.Reply {
	if failedAnswer != nil && reply != failedAnswer {
		reply.Body.Close()
		return failedAnswer
	}
	if s.mayHaveRun && reply.Outcome == fleet.NotRun {
		reply.Outcome = fleet.Unknown
	}
	return reply
}

// logAttempt logs an attempt that did not produce the final answer.
func (in *Ingress) logAttempt(s *attemptSeries, reply *link.Reply, decision retry.Decision) {
	fields := event.Fields{
		"request": s.req.id, "service": s.req.service, "class": s.req.class.Name, "attempt": s.sidecarAttempts,
		"outcome": reply.Outcome.String(), "dispatched": s.dispatched, "retry": decision.Retry, "decision": decision.Reason,
		"reason": reply.Reason, "left_ms": time.Until(s.req.deadline).Milliseconds(),
	}
	if reply.Target != "" {
		fields["target"] = reply.Target
	} else if n := len(s.tried); n > 0 {
		fields["target"] = s.tried[n-1]
	}
	if reply.Outcome == fleet.Answered {
		fields["status"] = reply.Status
	}
	in.cfg.Log.Log(event.AttemptEnded, fields)
}

// attempt is one attempt that is about to be sent.
type attempt struct {
	call     *link.Call
	endpoint *routing.Endpoint
	target   fleet.Target
	view     *View
	timeout  time.Duration
	startsAt time.Time
	endedAt  time.Time // set by run
}

// sendAttempt chooses a target and sends the request to it once. If the target
// is slow, a second copy may be sent to another one.
func (in *Ingress) sendAttempt(ctx context.Context, s *attemptSeries) *link.Reply {
	s.sidecarAttempts++
	if ctx.Err() != nil {
		return link.Refused(s.req.call(in.cfg.Clock()), "the caller has gone or its time is over")
	}
	noWait := in.cfg.UncountedRefusals && (s.sidecarAttempts <= maxNoWaitAttempts || s.waited)
	a, refused := in.newAttempt(s, noWait, nil)
	if refused != nil {
		return refused
	}
	if timing, ok := in.copyTiming(s, a); ok {
		return in.sendHedged(ctx, s, a, timing)
	}
	reply := in.run(ctx, s.req, a)
	in.recordReply(s, a, reply)
	return reply
}

// newAttempt chooses a target for an attempt. The attempt is a copy of first if
// first is not nil; a copy goes only to a usable target in good standing. If the
// attempt cannot be made, newAttempt returns the reason as a reply.
func (in *Ingress) newAttempt(s *attemptSeries, noWait bool, first *attempt) (*attempt, *link.Reply) {
	now, req := in.cfg.Clock(), s.req
	if in.tooLateToStart(req.class) {
		return nil, link.Refused(req.call(now), reasonEnding)
	}
	view := in.view.Load()
	call := req.call(now)
	picker, ok := view.Pickers[req.service]
	if !ok {
		return nil, link.Refused(call, "the service has no targets")
	}
	call.NoWait = noWait
	call.Nested = req.nested
	call.Waited = s.withdrawnWait
	call.Final = in.cfg.UncountedRefusals && (first != nil || s.final(now))
	choice, ok := pickTarget(picker, routing.Request{
		Idempotent: req.class.Idempotent && !call.Final && first == nil, LargeAnswer: req.class.LargeAnswer, Bytes: max(req.contentLength, 0), Expected: req.class.Expected.AsDuration(), Exclude: s.excludedTargets(call.NoWait && first == nil),
	}, first, now)
	if !ok {
		return nil, link.Refused(call, "no target of the service may receive the request")
	}
	endpoint := choice.Target
	target := endpoint.Target()
	s.tried = append(s.tried, target.ID)
	s.busy = slices.DeleteFunc(s.busy, func(id fleet.TargetID) bool { return id == target.ID })
	call.Target = target.ID
	call.RateLimit = endpoint.RateLimit()
	call.Retry = s.dispatched > 0 || first != nil
	call.Forced = s.badStandingRefusals >= refusalsBeforeForcedCall && first == nil
	number := s.dispatched + 1
	if first != nil {
		number++
	}
	return &attempt{call: call, endpoint: endpoint, target: target, view: view, timeout: attemptTimeout(req, choice, number, call.Timeout), startsAt: now}, nil
}

// run sends the attempt and waits for its reply. It may be called in any
// goroutine; recordReply then updates the series.
func (in *Ingress) run(ctx context.Context, req *request, a *attempt) *link.Reply {
	// The timer is stopped when the answer begins, so that it cannot cut off a
	// long answer.
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(a.timeout, cancel)
	a.endpoint.Begin()
	reply := in.deliver(ctx, a.view, a.target.Node, req.class, a.call)
	timer.Stop()
	reply = in.prefetch(req, a.call, reply)
	reply.Target, a.endedAt = a.target.ID, in.cfg.Clock()
	in.observeRunTime(req, a, reply)
	if reply.Leaving {
		a.endpoint.SaysLeaving(a.target)
	}
	in.paths.record(a.target.ID, reply)
	in.recordCallsPerRun(req.service, reply)
	if reply.PathFailed {
		a.endpoint.PathFailed(in.cfg.Clock())
	}
	if reply.Outcome != fleet.Answered {
		cancel()
		a.endpoint.End(reply.Load, !reply.PathFailed && !reply.Dispatched, in.cfg.Clock())
		return reply
	}
	if isBuffered(reply) {
		cancel()
		a.endpoint.End(reply.Load, true, in.cfg.Clock())
		return reply
	}
	reply.Body = &closeHook{ReadCloser: reply.Body, hook: func() {
		cancel()
		a.endpoint.End(reply.Load, true, in.cfg.Clock())
	}}
	return reply
}

// recordReply updates the series after an attempt.
func (in *Ingress) recordReply(s *attemptSeries, a *attempt, reply *link.Reply) {
	if reply.BadStanding {
		s.badStandingRefusals++
	}
	switch elapsed := a.endedAt.Sub(a.startsAt); {
	case reply.Withdrawn:
		s.withdrawals++
		s.withdrawnWait += elapsed
	case reply.Outcome == fleet.NotRun && elapsed >= minQueuedRefusalTime && !refusedOnArrival(a.call, reply):
		s.waited = true
	}
	if reply.Busy {
		s.busy = append(s.busy, a.target.ID)
	}
}

// refusedOnArrival reports whether a sidecar refused a no-wait call without
// holding it in a queue, however long the refusal was under way.
func refusedOnArrival(call *link.Call, reply *link.Reply) bool {
	return call.NoWait && (reply.Busy || reply.BadStanding)
}

// attemptTimeout returns how long an attempt may wait for the first byte of its
// answer. Non-idempotent and streamed requests may use all the time left.
//
// Classes with a latency objective have no shorter timeout either: abandoning
// an attempt costs more than it gains, because the target goes on with the
// work. Other idempotent requests divide the time left among their remaining
// attempts, so that a stalled target does not use up the whole deadline. A
// target on probation gets little more than the expected run time, because the
// caller did not ask to test it.
func attemptTimeout(req *request, choice routing.Choice, number int, left time.Duration) time.Duration {
	if !req.class.Idempotent || req.stream != nil || req.class.Objective > 0 {
		return left
	}
	attempts := max(req.class.Attempts-number+1, 1)
	timeout := left / time.Duration(attempts)
	if choice.Reason == routing.ReasonProbation && attempts > 1 {
		timeout = min(timeout, max(minProbationTimeout, probationTimeoutFactor*req.class.Expected.AsDuration()))
	}
	return timeout
}

// sendKeyed sends a keyed operation to the owner of its key. It looks up the
// owner again as long as every attempt provably did not reach a target.
func (in *Ingress) sendKeyed(ctx context.Context, req *request) *link.Reply {
	var reply *link.Reply
	for range maxOwnerLookups {
		if in.tooLateToStart(req.class) {
			reply = link.Refused(req.call(in.cfg.Clock()), reasonEnding)
			break
		}
		reply = in.sendKeyedAttempt(ctx, req)
		if reply.Undispatched {
			// The new owner of a lost VM's range does not know what the lost VM
			// ran. All attempts of this request were refused before dispatch,
			// so the outcome depends on whether there were earlier requests
			// with the same key.
			break
		}
		if reply.Outcome != fleet.NotRun || reply.FromOwner {
			if in.refusalExpired(reply) {
				reply.Outcome, reply.Reason = fleet.Unknown, "the owner's refusal was under way for too long"
			}
			return reply
		}
		if !sleep(ctx, ownerLookupInterval) {
			break
		}
	}
	reply.Outcome = req.refusalOutcome()
	return reply
}

// refusalExpired reports whether an owner's refusal arrived after the time
// until which it proves that the operation did not run.
func (in *Ingress) refusalExpired(reply *link.Reply) bool {
	return reply.Outcome == fleet.NotRun && !reply.NotRunUntil.IsZero() && in.cfg.Clock().After(reply.NotRunUntil)
}

// sendKeyedAttempt sends a keyed operation once, to the owner known at present.
func (in *Ingress) sendKeyedAttempt(ctx context.Context, req *request) *link.Reply {
	view := in.view.Load()
	call := req.call(in.cfg.Clock())
	call.Key = req.key
	owner, epoch, ok := in.cfg.Owners.Locate(req.service, req.tenant, req.key)
	if !ok {
		in.cfg.Owners.Refresh(req.service, 0)
		return link.Refused(call, "the key's range has no owner")
	}
	call.Epoch = epoch
	reply := in.prefetch(req, call, in.deliver(ctx, view, owner, req.class, call))
	if reply.Misrouted {
		in.cfg.Owners.Refresh(req.service, epoch)
	}
	return reply
}

// deliver passes the call to the sidecar of the given node, which may be the
// sidecar in this process.
func (in *Ingress) deliver(ctx context.Context, view *View, node fleet.NodeID, class *bundle.Class, call *link.Call) *link.Reply {
	if node == in.cfg.Self {
		reply := in.cfg.Local.Forward(ctx, call)
		reply.Sent = true
		return reply
	}
	peer, ok := view.Nodes[node]
	if !ok || peer.State == fleet.NodeDead {
		return link.Refused(call, "the node beside the target is out of use")
	}
	if !call.NoWait {
		defer in.withdrawAtEnd(peer, class, call)()
	}
	return in.cfg.Remote.Forward(ctx, peer, class.Length, call)
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
