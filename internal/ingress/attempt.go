package ingress

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/retry"
	"siskinvale.dev/siskinvale/internal/routing"
)

const (
	// ownerWait is the pause before a keyed operation looks for its owner
	// again. A takeover takes a few seconds, so a short pause costs little.
	ownerWait = 50 * time.Millisecond
	// ownerAttempts bounds how often a keyed operation looks for its owner
	// within its deadline. These attempts were provably not dispatched.
	ownerAttempts = 100
	// probeFactor is how many times its usual run time work may take at a
	// target on probation; minProbeLimit keeps pauses of a VM from counting.
	probeFactor   = 5
	minProbeLimit = 100 * time.Millisecond
	// prefetchSize is the largest answer that is read to its end before the
	// first byte is sent, so that a truncated one can be retried.
	prefetchSize = 64 << 10
	// doorPrefetchSize is the same for requests of a Door, whose answers are
	// never streams that are made slowly, also when they state no length.
	doorPrefetchSize = 1 << 20
	// maxHops bounds how many sidecars one request asks, refusals included.
	maxHops = 8
	// promptHops is how many sidecars are asked for a free slot before the
	// request may wait at one.
	promptHops = 3
	// heldAtLeast tells a refusal after a wait from one at once, which takes a
	// few milliseconds between data centres.
	heldAtLeast = 50 * time.Millisecond
	// insistAfter is how many sidecars may refuse a request for the standing of
	// their targets before one is asked to run it all the same. It then goes to
	// the best target that is left.
	insistAfter = 4
)

// attempts sends the request until it is answered or may not be sent again.
// The last reply tells what is known of the request as a whole.
func (in *Ingress) attempts(ctx context.Context, req *request) *link.Reply {
	if req.keyed() {
		return in.keyedAttempts(ctx, req)
	}
	own := in.budgets.of(req.service, req.class.Name)
	own.Deposit(in.cfg.Clock())
	in.classifyOrigin(req, own)
	budget := in.budgetOf(req)
	s := series{req: req, budget: budget}
	var failed *link.Reply // a target's answer that says that it failed
	for {
		reply := in.attempt(ctx, &s)
		if reply.Outcome == fleet.Answered && !(req.class.Idempotent && fleet.FailedStatus(reply.Status)) {
			return reply
		}
		outcome := reply.Outcome
		if outcome == fleet.Answered {
			outcome = fleet.Unknown
		}
		s.doubt = s.doubt || outcome == fleet.Unknown
		if outcome == fleet.Unknown || reply.Dispatched {
			s.dispatched++
			s.paid = false
		}
		number, free := s.dispatched, s.dispatched == 0 || s.paid
		if !in.cfg.FreeRefusals {
			number, free = s.hops, !reply.Sent
		}
		decision := retry.Decision{Reason: retry.ReasonHops}
		if s.hops < maxHops {
			decision = retry.Decide(retry.Attempt{
				Number: number, Max: req.class.Attempts, Idempotent: req.class.Idempotent, Streamed: req.stream != nil,
				Unsent: free, Outcome: outcome, Remaining: time.Until(req.deadline),
			}, budget, in.cfg.Clock())
		}
		in.logAttempt(&s, reply, decision)
		if reply.Outcome == fleet.Answered {
			failed = reply
		}
		s.paid = s.paid || decision.Retry && s.dispatched > 0 && in.cfg.FreeRefusals
		if !decision.Retry || ctx.Err() != nil {
			if s.paid {
				budget.Refund(in.cfg.Clock())
			}
			return s.last(reply, failed)
		}
		if reply == failed && !held(failed) {
			failed.Body.Close()
			failed = nil
		}
		in.cfg.Metrics.Counter("siskinvale_retries_total").Inc()
	}
}

// series is the state of one request's attempts.
type series struct {
	req    *request
	budget budget
	// tried are the targets that were asked, busy those of them that had no
	// free slot when they were asked for one.
	tried, busy []fleet.TargetID
	// hops counts all attempts, dispatched those that may have reached a
	// target, refusedFor those whose target was in bad standing.
	hops, dispatched, refusedFor int
	doubt                        bool
	// waited is set when a sidecar held the request and refused it then. It does
	// not wait at a second one: the caller learns soon that it has not run.
	waited bool
	// paid is set while the budget has paid for a repeat that was not made yet.
	paid bool
}

// exclude returns the targets that are not asked again. A call that may wait
// can also go to a target that was busy when it was asked for a free slot:
// otherwise, the few targets of a small service would be used up by such
// questions, and the request refused although it could wait its turn.
func (s *series) exclude(prompt bool) []fleet.TargetID {
	if prompt || len(s.busy) == 0 {
		return s.tried
	}
	return slices.DeleteFunc(slices.Clone(s.tried), func(id fleet.TargetID) bool { return slices.Contains(s.busy, id) })
}

// final reports whether a failure of the next dispatch could not be followed by
// a repeat. Finding out whether a target's spell has ended is left to others
// then.
func (s *series) final(now time.Time) bool {
	if s.req.nested {
		return true // the run that made the call would fail with it
	}
	return !s.req.class.Idempotent || s.dispatched+1 >= s.req.class.Attempts || !s.budget.Available(now)
}

// last returns what is known of the request as a whole. A target's own answer,
// even one that says that it failed, tells the caller more than a later refusal.
func (s *series) last(reply, failed *link.Reply) *link.Reply {
	if failed != nil && reply != failed {
		reply.Body.Close()
		return failed
	}
	if s.doubt && reply.Outcome == fleet.NotRun {
		reply.Outcome = fleet.Unknown
	}
	return reply
}

// held reports whether the whole answer is in memory, so that it can be
// returned after a further attempt.
func held(reply *link.Reply) bool {
	_, ok := reply.Body.(*heldBody)
	return ok
}

// logAttempt logs an attempt that ended without the final answer.
func (in *Ingress) logAttempt(s *series, reply *link.Reply, decision retry.Decision) {
	fields := event.Fields{
		"request": s.req.id, "service": s.req.service, "class": s.req.class.Name, "attempt": s.hops,
		"outcome": reply.Outcome.String(), "dispatched": s.dispatched, "retry": decision.Retry, "decision": decision.Reason,
		"reason": reply.Reason, "left_ms": time.Until(s.req.deadline).Milliseconds(),
	}
	if n := len(s.tried); n > 0 {
		fields["target"] = s.tried[n-1]
	}
	if reply.Outcome == fleet.Answered {
		fields["status"] = reply.Status
	}
	in.cfg.Log.Log(event.AttemptEnded, fields)
}

// attempt chooses a target and sends the request to it once.
func (in *Ingress) attempt(ctx context.Context, s *series) *link.Reply {
	now, req := in.cfg.Clock(), s.req
	s.hops++
	if ctx.Err() != nil {
		return link.Refused(req.call(now), "the caller has gone or its time is over")
	}
	view := in.view.Load()
	call := req.call(now)
	picker, ok := view.Pickers[req.service]
	if !ok {
		return link.Refused(call, "the service has no targets")
	}
	call.Prompt = in.cfg.FreeRefusals && (s.hops <= promptHops || s.waited)
	call.Nested = req.nested
	call.Final = in.cfg.FreeRefusals && s.final(now)
	choice, ok := picker.Pick(routing.Request{
		Idempotent: req.class.Idempotent && !call.Final, LargeAnswer: req.class.LargeAnswer, Bytes: max(req.contentLength, 0), Exclude: s.exclude(call.Prompt),
	}, random(), now)
	if !ok {
		return link.Refused(call, "no target of the service may receive the request")
	}
	endpoint := choice.Target
	target := endpoint.Target()
	s.tried = append(s.tried, target.ID)
	s.busy = slices.DeleteFunc(s.busy, func(id fleet.TargetID) bool { return id == target.ID })
	call.Target = target.ID
	call.Repeat = s.dispatched > 0
	call.Insist = s.refusedFor >= insistAfter
	// The limit ends with the first byte of the answer, so that it cannot cut a
	// long answer.
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(attemptLimit(req, choice, s.dispatched+1, call.Timeout), cancel)
	endpoint.Begin()
	reply := in.deliver(ctx, view, target.Node, req.class.Length, call)
	limit.Stop()
	reply = in.prefetch(call, reply)
	reply.Target = target.ID
	in.paths.record(target.ID, reply)
	in.learnCalls(req.service, reply)
	if reply.BadStanding {
		s.refusedFor++
	}
	if reply.Outcome == fleet.NotRun && in.cfg.Clock().Sub(now) >= heldAtLeast {
		s.waited = true
	}
	if reply.Busy {
		s.busy = append(s.busy, target.ID)
	}
	if reply.PathFailed {
		endpoint.PathFailed(in.cfg.Clock())
	}
	if reply.Outcome != fleet.Answered {
		cancel()
		endpoint.End(reply.Load, !reply.PathFailed && !reply.Dispatched, in.cfg.Clock())
		return reply
	}
	if held(reply) {
		cancel()
		endpoint.End(reply.Load, true, in.cfg.Clock())
		return reply
	}
	reply.Body = &closeHook{ReadCloser: reply.Body, hook: func() {
		cancel()
		endpoint.End(reply.Load, true, in.cfg.Clock())
	}}
	return reply
}

// attemptLimit is how long an attempt may wait for the first byte of its
// answer. Classes with an objective have no such limit: breaking off work that
// its target goes on with costs more than it gains. Other idempotent work splits its time among the attempts it has left, so
// that a stalled target does not use up the whole deadline. A target on
// probation gets little more than the usual run time, because the caller did
// not ask to test it.
func attemptLimit(req *request, choice routing.Choice, number int, left time.Duration) time.Duration {
	if !req.class.Idempotent || req.stream != nil || req.class.Objective > 0 {
		return left
	}
	attempts := max(req.class.Attempts-number+1, 1)
	limit := left / time.Duration(attempts)
	if choice.Reason == routing.ReasonProbation && attempts > 1 {
		limit = min(limit, max(minProbeLimit, probeFactor*req.class.Expected.Std()))
	}
	return limit
}

// keyedAttempts sends a keyed operation to the owner of its key. It looks for
// the owner again while every attempt is proven undispatched.
func (in *Ingress) keyedAttempts(ctx context.Context, req *request) *link.Reply {
	var reply *link.Reply
	for range ownerAttempts {
		reply = in.keyedAttempt(ctx, req)
		if reply.Undispatched {
			// The new owner of a lost VM's range does not know what the lost
			// one ran. All attempts of this request were refused before, so the
			// answer depends on whether there were earlier requests.
			break
		}
		if reply.Outcome != fleet.NotRun || reply.FromOwner {
			if in.late(reply) {
				reply.Outcome, reply.Reason = fleet.Unknown, "the owner's refusal was under way for too long"
			}
			return reply
		}
		if !sleep(ctx, ownerWait) {
			break
		}
	}
	reply.Outcome = req.outcomeOfRefusal()
	return reply
}

// late reports whether an owner's refusal came too late to be told as not-run.
func (in *Ingress) late(reply *link.Reply) bool {
	return reply.Outcome == fleet.NotRun && !reply.NotRunUntil.IsZero() && in.cfg.Clock().After(reply.NotRunUntil)
}

func (in *Ingress) keyedAttempt(ctx context.Context, req *request) *link.Reply {
	view := in.view.Load()
	call := req.call(in.cfg.Clock())
	call.Key = req.key
	owner, epoch, ok := in.cfg.Owners.Locate(req.service, req.tenant, req.key)
	if !ok {
		in.cfg.Owners.Refresh(req.service, 0)
		return link.Refused(call, "the key's range has no owner")
	}
	call.Epoch = epoch
	reply := in.prefetch(call, in.deliver(ctx, view, owner, req.class.Length, call))
	if reply.Misrouted {
		in.cfg.Owners.Refresh(req.service, epoch)
	}
	return reply
}

// deliver hands the call to the sidecar of node, which may be this node's own.
func (in *Ingress) deliver(ctx context.Context, view *View, node fleet.NodeID, length fleet.Length, call *link.Call) *link.Reply {
	if node == in.cfg.Self {
		reply := in.cfg.Local.Forward(ctx, call)
		reply.Sent = true
		return reply
	}
	peer, ok := view.Nodes[node]
	if !ok || peer.State == fleet.NodeDead {
		return link.Refused(call, "the node beside the target is out of use")
	}
	return in.cfg.Remote.Forward(ctx, peer, length, call)
}

// prefetch reads a small answer to its end. A truncated one becomes a reply
// with an unknown outcome, because nothing was sent to the caller yet.
func (in *Ingress) prefetch(call *link.Call, reply *link.Reply) *link.Reply {
	limit, unstated := int64(prefetchSize), false
	if in.cfg.Door != nil {
		limit, unstated = doorPrefetchSize, true
	}
	if reply.Outcome != fleet.Answered || reply.ContentLength > limit || reply.ContentLength < 0 && !unstated {
		return reply
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, limit))
	if err != nil {
		reply.Body.Close()
		doubt := link.Doubtful(call, "the answer was cut short: "+err.Error())
		doubt.Load = reply.Load
		return doubt
	}
	if int64(len(body)) == limit && reply.ContentLength < 0 {
		reply.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), reply.Body), Closer: reply.Body}
		return reply
	}
	reply.Body.Close()
	reply.Body, reply.ContentLength = &heldBody{*bytes.NewReader(body)}, int64(len(body))
	return reply
}

// heldBody is a whole answer in memory.
type heldBody struct{ bytes.Reader }

func (*heldBody) Close() error { return nil }

// prefixedBody is an answer whose beginning was read ahead.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// closeHook calls hook once when the body is closed.
type closeHook struct {
	io.ReadCloser
	once sync.Once
	hook func()
}

func (c *closeHook) Close() error {
	defer c.once.Do(c.hook)
	return c.ReadCloser.Close()
}

// sleep waits for d and reports whether ctx is still valid.
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
