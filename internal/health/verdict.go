package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// updateState returns a target that is out of traffic step by step through a
// probation, ejects it again if it fails on probation, and ends the hold and the
// back-off of a recovered target. ownPath is the evidence from this node's own
// attempts, nil if there is none. The floor need not be checked here, because
// targets on probation do not count towards it.
func (t *target) updateState(now time.Time, ownPath *sourceEvidence) []Action {
	switch t.verdict.State {
	case Healthy:
		if t.verdict.HeldByFloor && t.severity < clearSeverity {
			t.verdict = Verdict{State: Healthy, Share: 1}
		}
		if t.severity == 0 && now.Sub(t.stateSince) >= backoffResetTime {
			t.ejections = 0
		}
	case Ejected, Avoided:
		if now.Before(t.backoffUntil) || t.hasAdverseEvidence(now) {
			return nil
		}
		t.resetEvidence()
		t.probationStep = 0
		return []Action{t.startProbationStep(now, fmt.Sprintf("share %.0f%% after %s out of traffic", probationShares[0]*100, now.Sub(t.stateSince).Round(tickTime)))}
	case Probation:
		if t.severity >= probationSeverity {
			return []Action{t.removeFromTraffic(now, t.reason+"; on probation")}
		}
		stepTime := now.Sub(t.stateSince)
		enough := t.stepCompletions >= minProbationCompletions
		if t.avoided { // only answers to this node show that its path works
			enough = ownPath != nil && ownPath.answered(now, t.stateSince)
		}
		if stepTime < minProbationStepTime || !enough && stepTime < maxProbationStepTime {
			return nil
		}
		if t.probationStep++; t.probationStep < len(probationShares) {
			return []Action{t.startProbationStep(now, fmt.Sprintf("share %.0f%% after %.0f answers in %s", probationShares[t.probationStep]*100, t.stepCompletions, stepTime.Round(tickTime)))}
		}
		t.verdict, t.stateSince, t.avoided = Verdict{State: Healthy, Share: 1}, now, false
		return []Action{Readmit{t.record.ID, 1, fmt.Sprintf("probation passed with %.0f answers in %s", t.stepCompletions, stepTime.Round(tickTime))}}
	}
	return nil
}

// hasAdverseEvidence reports whether a class with requests in flight still has a
// high score, for example because requests that stalled before the ejection are
// still running.
func (t *target) hasAdverseEvidence(now time.Time) bool {
	for _, e := range t.classes {
		if e.recent(now) && e.OldestInFlight > 0 && slices.Max(e.scores) >= probationSeverity {
			return true
		}
	}
	return false
}

// resetEvidence discards the evidence that led to an ejection.
func (t *target) resetEvidence() {
	for _, e := range t.classes {
		clear(e.scores)
		e.fast, e.slow, e.Total = answerCounts{}, answerCounts{}, 0
	}
	clear(t.sources)
	t.severity, t.lostFraction = 0, 0
}

// startProbationStep sends the target the share of the current probation step.
func (t *target) startProbationStep(now time.Time, reason string) Action {
	t.verdict = Verdict{State: Probation, Share: probationShares[t.probationStep], Reason: reason}
	t.stateSince, t.stepCompletions = now, 0
	return Readmit{t.record.ID, t.verdict.Share, reason}
}

// removeFromTraffic avoids the target if only the path from this node fails, and
// ejects it otherwise.
func (t *target) removeFromTraffic(now time.Time, reason string) Action {
	t.ejections++
	t.backoffUntil = now.Add(min(backoffBase<<min(t.ejections-1, 10), backoffCap))
	t.stateSince, t.avoided = now, t.pathFault
	if t.pathFault {
		t.verdict = Verdict{State: Avoided, LostFraction: t.lostFraction, Reason: reason}
		return Avoid{t.record.ID, reason}
	}
	t.verdict = Verdict{State: Ejected, LostFraction: t.lostFraction, Reason: reason}
	return Eject{t.record.ID, reason}
}

// holdInTraffic keeps an unhealthy target in traffic because of the floor.
func (t *target) holdInTraffic(floor int) {
	t.verdict = Verdict{State: Healthy, Share: 1, HeldByFloor: true, LostFraction: t.lostFraction, Reason: fmt.Sprintf("floor %d: %s", floor, t.reason)}
}

// enforceFloor ejects unhealthy targets, worst first, as far as the floor
// allows, and readmits ejected ones if the floor requires it. After it returns,
// the number of Healthy targets is at least the floor, or all serving targets
// are Healthy. Targets on probation do not count, because they receive little
// traffic.
func (s *service) enforceFloor(now time.Time) []Action {
	var toEject, outOfTraffic []*target
	serving, healthy := 0, 0
	for _, t := range s.targets {
		if t.record.State != fleet.TargetServing {
			continue
		}
		serving++
		switch {
		case t.verdict.State != Healthy:
			outOfTraffic = append(outOfTraffic, t)
		case t.severity >= 1:
			toEject = append(toEject, t)
			healthy++
		default:
			healthy++
		}
	}
	floor := min(s.effectiveFloor(serving), serving)
	// The targets to eject are ordered from the largest loss to the smallest,
	// those out of traffic from the smallest to the largest.
	slices.SortStableFunc(toEject, func(a, b *target) int {
		return cmp.Or(cmp.Compare(b.lostFraction, a.lostFraction), cmp.Compare(b.severity, a.severity))
	})
	slices.SortStableFunc(outOfTraffic, func(a, b *target) int { return cmp.Compare(a.effectiveLoss(), b.effectiveLoss()) })

	var actions []Action
	readmitted := 0
	for ; healthy < floor; healthy++ {
		actions = append(actions, outOfTraffic[readmitted].readmitForFloor(now, floor))
		readmitted++
	}
	outOfTraffic = outOfTraffic[readmitted:]
	for len(toEject) > 0 && healthy > floor {
		actions = append(actions, toEject[0].removeFromTraffic(now, toEject[0].reason))
		toEject = toEject[1:]
		healthy--
	}
	// Targets on probation are not swapped in: either they pass the probation
	// and return to full traffic, or they are ejected again.
	outOfTraffic = slices.DeleteFunc(outOfTraffic, func(t *target) bool { return t.verdict.State == Probation })
	if len(toEject) > 0 && len(outOfTraffic) > 0 && toEject[0].lostFraction > outOfTraffic[0].effectiveLoss()+swapMargin {
		actions = append(actions, outOfTraffic[0].readmitForFloor(now, floor), toEject[0].removeFromTraffic(now, toEject[0].reason))
		toEject = toEject[1:]
	}
	for _, t := range toEject {
		t.holdInTraffic(floor)
	}
	return append(actions, s.reportFloor(floor, serving)...)
}

// effectiveFloor returns the floor of a service with n serving targets. For a
// service without a configured floor, it is half of the expected or of the
// serving targets, whichever is more, rounded up.
func (s *service) effectiveFloor(n int) int {
	if s.floor > 0 {
		return s.floor
	}
	return (max(s.expected, n) + 1) / 2
}

// effectiveLoss orders targets that are out of traffic for readmission: first
// targets on probation, then ejected ones by the part of their work that they
// lose, then avoided ones, because this node cannot reach them.
func (t *target) effectiveLoss() float64 {
	switch t.verdict.State {
	case Probation:
		return t.lostFraction - 1
	case Avoided:
		return avoidedLoss
	default:
		return t.verdict.LostFraction
	}
}

// readmitForFloor returns a target to full traffic because of the floor. Scores
// above the ejection threshold are lowered to it, so that successful answers
// clear them soon, but without them the target is among the first to be ejected
// when the floor allows ejections again.
func (t *target) readmitForFloor(now time.Time, floor int) Action {
	for _, e := range t.classes {
		for i := range e.scores {
			e.scores[i] = min(e.scores[i], 1)
		}
	}
	if t.verdict.State != Probation || t.severity > 0 {
		if t.reason == "" {
			t.reason = t.verdict.Reason
		}
		t.holdInTraffic(floor)
	} else {
		t.verdict = Verdict{State: Healthy, Share: 1}
	}
	t.stateSince = now
	return Readmit{t.record.ID, 1, fmt.Sprintf("floor %d: needed in traffic", floor)}
}

// reportFloor returns FloorReached when the floor begins to keep unhealthy
// targets in traffic.
func (s *service) reportFloor(floor, serving int) []Action {
	held := 0
	for _, t := range s.targets {
		if t.verdict.HeldByFloor && t.record.State == fleet.TargetServing {
			held++
		}
	}
	wasHolding := s.holding
	s.holding = held > 0
	if !s.holding || wasHolding {
		return nil
	}
	return []Action{FloorReached{s.name, fmt.Sprintf("floor %d of %d serving targets: %d unhealthy ones go on serving", floor, serving, held)}}
}
