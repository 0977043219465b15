package ingress

import (
	"context"
	"fmt"
	"time"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/hedge"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/routing"
)

// How a second copy ended.
const (
	copyWon     = "won"     // its answer was returned
	copyLost    = "lost"    // the first attempt succeeded before
	copyFailed  = "failed"  // it failed at its target
	copyRefused = "refused" // it was not run
)

// mayBeCopied reports whether second copies of the request may be sent. A copy
// of a long request or of one with a large answer costs as much as many usual
// requests, which the limit does not count.
func (r *request) mayBeCopied() bool {
	return r.class.Idempotent && r.key == "" && r.stream == nil && r.class.Length == fleet.Short && !r.class.LargeAnswer && r.class.Attempts > 1
}

// succeeded reports whether the reply is returned to the caller without a
// further attempt. An idempotent request may be sent again after an answer with
// a failure status.
func (r *request) succeeded(reply *link.Reply) bool {
	return reply.Outcome == fleet.Answered && !(r.class.Idempotent && fleet.FailedStatus(reply.Status))
}

// countForHedging counts the request for the limit of second copies.
func (in *Ingress) countForHedging(req *request) {
	if in.cfg.Hedger != nil {
		in.cfg.Hedger.Request(req.service, req.mayBeCopied(), in.cfg.Clock())
	}
}

// observeRunTime records how long an attempt ran. A wait in a sidecar's queue
// is not part of it where no-wait calls tell the two apart. An attempt that was
// given up counts with its time so far, because without the slowest attempts
// the quantiles would be too small.
func (in *Ingress) observeRunTime(req *request, a *attempt, reply *link.Reply) {
	if in.cfg.Hedger == nil || !req.mayBeCopied() || in.cfg.UncountedRefusals && !a.call.NoWait {
		return
	}
	run := a.endedAt.Sub(a.startsAt)
	if req.succeeded(reply) || reply.Outcome == fleet.Unknown && run >= a.timeout {
		in.cfg.Hedger.Observe(req.service, req.class.Name, run, a.endedAt)
	}
}

// copyTiming returns when a second copy of the request may follow the attempt.
// It returns false if there can be none.
func (in *Ingress) copyTiming(s *attemptSeries, a *attempt) (hedge.Timing, bool) {
	if in.cfg.Hedger == nil || !s.req.mayBeCopied() || in.attemptsLeft(s) < 1 {
		return hedge.Timing{}, false
	}
	return in.cfg.Hedger.Timing(hedge.Attempt{
		Service: s.req.service, Class: s.req.class.Name, Expected: s.req.class.Expected.AsDuration(), ToObjective: a.call.Objective,
	}, a.startsAt)
}

// attemptsLeft returns how many attempts are left if the one that was started
// last reaches a target.
func (in *Ingress) attemptsLeft(s *attemptSeries) int {
	if in.cfg.UncountedRefusals {
		return s.req.class.Attempts - s.dispatched - 1
	}
	return s.req.class.Attempts - (s.sidecarAttempts - s.withdrawals)
}

// maxTargetsPerVM bounds the search for a target on another VM.
const maxTargetsPerVM = 8

// pickTarget chooses the target of an attempt. A copy of first prefers a target
// on another VM, and gets none that is only a fallback.
func pickTarget(picker *routing.Picker, r routing.Request, first *attempt, now time.Time) (routing.Choice, bool) {
	choice, ok := picker.Pick(r, random(), now)
	if first == nil || !ok {
		return choice, ok
	}
	other := choice
	for range maxTargetsPerVM {
		target := other.Target.Target()
		if target.Node != first.target.Node {
			choice = other
			break
		}
		r.Exclude = append(r.Exclude[:len(r.Exclude):len(r.Exclude)], target.ID)
		if other, ok = picker.Pick(r, random(), now); !ok || other.Reason == routing.ReasonFallback {
			break
		}
	}
	return choice, choice.Reason != routing.ReasonFallback
}

// hedgedAttempt is an attempt that runs beside another one of its request.
type hedgedAttempt struct {
	*attempt
	reply *link.Reply
	// detach makes the attempt go on after the request has been answered.
	detach func() (release func())
}

// startHedged runs the attempt in its own goroutine, which sends it to results
// when its reply is there. The attempt ends with ctx unless it is detached.
func (in *Ingress) startHedged(ctx context.Context, req *request, a *attempt, results chan<- *hedgedAttempt) *hedgedAttempt {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	stop := context.AfterFunc(ctx, cancel)
	h := &hedgedAttempt{attempt: a, detach: func() func() {
		stop()
		stopCutOff := context.AfterFunc(in.ending.cutOff, cancel)
		return func() {
			stopCutOff()
			cancel()
		}
	}}
	go func() {
		h.reply = in.run(runCtx, req, a)
		results <- h
	}()
	return h
}

// sendHedged sends an attempt and, if its answer is late, a second copy to
// another target. It returns the first success; a failure waits for the other
// attempt. A copy that is withheld or refused may be sent later.
func (in *Ingress) sendHedged(ctx context.Context, s *attemptSeries, a *attempt, timing hedge.Timing) *link.Reply {
	results := make(chan *hedgedAttempt, 2)
	first := in.startHedged(ctx, s.req, a, results)
	var second *hedgedAttempt                 // while it runs
	var firstFailure, copyFailure *link.Reply // of attempts that have ended
	delay := timing.Delay
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			second = in.startCopy(ctx, s, a, timing, results)
			if delay *= 2; second == nil {
				timer.Reset(delay)
			}
			continue
		case ended := <-results:
			if ended == first {
				in.recordReply(s, a, ended.reply)
			} else if ended.reply.Busy {
				s.busy = append(s.busy, ended.target.ID)
			}
			switch success := s.req.succeeded(ended.reply); {
			case ended == first && success:
				if second != nil {
					in.abandon(s.req, s.budget, second, true, results)
				}
				closeBody(copyFailure)
				return ended.reply
			case ended == first:
				firstFailure = ended.reply
			case success:
				in.endCopy(s.req, s.budget, ended, true)
				if firstFailure == nil {
					in.abandon(s.req, s.budget, first, false, results)
				}
				closeBody(firstFailure)
				return ended.reply
			default:
				in.endCopy(s.req, s.budget, ended, false)
				second = nil
				if reachedTarget(ended.reply) {
					s.sidecarAttempts++
					copyFailure = ended.reply
				} else {
					timer.Reset(delay)
				}
			}
		}
		if firstFailure != nil && second == nil {
			return s.moreTelling(copyFailure, firstFailure)
		}
	}
}

func closeBody(reply *link.Reply) {
	if reply != nil {
		reply.Body.Close()
	}
}

// startCopy starts a second copy of the attempt. It returns nil if the copy is
// withheld.
func (in *Ingress) startCopy(ctx context.Context, s *attemptSeries, first *attempt, timing hedge.Timing, results chan<- *hedgedAttempt) *hedgedAttempt {
	now, req := in.cfg.Clock(), s.req
	send, reason := in.cfg.Hedger.Decide(hedge.Copy{
		Service: req.service, Timing: timing, AttemptsLeft: in.attemptsLeft(s), Remaining: req.deadline.Sub(now),
		Budget: s.budget,
	}, now)
	var second *attempt
	if send {
		var refused *link.Reply
		if second, refused = in.newAttempt(s, true, first); refused != nil {
			in.cfg.Hedger.Refund(req.service, now)
			s.budget.Refund(now)
			second, reason = nil, hedge.ReasonTarget
		}
	}
	fields := event.Fields{
		"request": req.id, "service": req.service, "class": req.class.Name, "first": first.target.ID, "reason": reason,
		"after_ms": now.Sub(first.startsAt).Milliseconds(),
	}
	if second == nil {
		in.cfg.Metrics.Counter(fmt.Sprintf("siskinvale_hedges_withheld_total{reason=%q}", reason)).Inc()
		in.cfg.Log.Log(event.HedgeWithheld, fields)
		return nil
	}
	fields["target"] = second.target.ID
	in.cfg.Log.Log(event.HedgeSent, fields)
	return in.startHedged(ctx, req, second, results)
}

// endCopy accounts for a second copy whose reply is known.
func (in *Ingress) endCopy(req *request, budget budget, second *hedgedAttempt, won bool) {
	now, result := in.cfg.Clock(), copyLost
	reply := second.reply
	switch {
	case won:
		result = copyWon
	case !reachedTarget(reply):
		result = copyRefused
		in.cfg.Hedger.Refund(req.service, now)
		budget.Refund(now)
	case !req.succeeded(reply):
		result = copyFailed
	}
	if reply.Outcome == fleet.NotRun && (reply.Busy || reply.Dispatched) {
		in.cfg.Hedger.FoundFull(req.service, now)
	}
	if result != copyRefused {
		in.cfg.Metrics.Counter("siskinvale_retries_total").Inc()
	}
	in.cfg.Metrics.Counter(fmt.Sprintf("siskinvale_hedges_total{result=%q}", result)).Inc()
	in.cfg.Log.Log(event.HedgeEnded, event.Fields{
		"request": req.id, "service": req.service, "class": req.class.Name, "target": second.target.ID, "result": result,
		"outcome": reply.Outcome.String(), "reason": reply.Reason, "after_ms": second.endedAt.Sub(second.startsAt).Milliseconds(),
	})
}

// reachedTarget reports whether the call of the reply may have reached a target.
func reachedTarget(reply *link.Reply) bool {
	return reply.Outcome != fleet.NotRun || reply.Dispatched
}

// abandon leaves an attempt whose answer is no longer needed. It is withdrawn if
// it waits in a queue. One that runs is not cancelled: that would close the
// connection to the target and lose the work already done, and the run ends soon
// by itself unless the target hangs, where a cancellation may have no effect.
func (in *Ingress) abandon(req *request, budget budget, a *hedgedAttempt, isCopy bool, results <-chan *hedgedAttempt) {
	release := a.detach()
	go func() {
		defer release()
		if !a.call.NoWait {
			in.withdraw(req, a.attempt)
		}
		<-results
		a.reply.Body.Close()
		if isCopy {
			in.endCopy(req, budget, a, false)
		}
	}()
}

// withdraw withdraws a call that may wait in the queue of a sidecar.
func (in *Ingress) withdraw(req *request, a *attempt) {
	if a.target.Node == in.cfg.Self {
		if local, ok := in.cfg.Local.(interface{ Withdraw(attemptID string) }); ok {
			local.Withdraw(a.call.AttemptID)
		}
		return
	}
	if peer, ok := a.view.Nodes[a.target.Node]; ok {
		in.cfg.Remote.Withdraw(context.Background(), peer, req.class.Length, a.call.AttemptID)
	}
}

// moreTelling returns the one of two failures that tells the caller more, and
// counts the other one. early may be nil.
func (s *attemptSeries) moreTelling(early, late *link.Reply) *link.Reply {
	rank := func(r *link.Reply) int {
		switch r.Outcome {
		case fleet.Answered:
			return 2
		case fleet.Unknown:
			return 1
		default:
			return 0
		}
	}
	if early == nil {
		return late
	}
	if rank(early) > rank(late) {
		early, late = late, early
	}
	s.countFailure(early)
	early.Body.Close()
	return late
}
