package node

import (
	"context"
	"time"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// leavingCheckTimeout bounds the wait for a target's answer whether it is
	// leaving, and leavingCheckBundleWait the wait for the bundle that holds the
	// path of the question. Together they stay below the second within which an
	// announcement is acknowledged.
	leavingCheckTimeout    = 300 * time.Millisecond
	leavingCheckBundleWait = 400 * time.Millisecond
	// lateAnnouncement is the age from which an announcement is not expected to
	// arrive any more.
	lateAnnouncement = 5 * time.Second
)

// leavingChecks decides whether the announcement of a target that this process
// has not heard from is to be believed. An earlier process of the node may have
// been told that the target leaves, and the announcement may have been sent
// before that, so the target itself is asked. The control goroutine owns it.
type leavingChecks struct {
	// unanswered holds the targets that have not answered yet.
	unanswered map[fleet.TargetID]unansweredCheck
}

type unansweredCheck struct {
	started  time.Time // Target.Started
	sequence uint64    // of the first announcement that was not believed
	since    time.Time
}

// needed reports whether the target must be asked before an announcement from
// it, the first one that this process accepts, is believed. A target that has
// just started cannot have left.
func (l *leavingChecks) needed(now time.Time, ev announce.LocalAnnounced) bool {
	if ev.Draining || ev.Sequence == 0 {
		return false
	}
	age := now.Sub(ev.Target.Started)
	return ev.Sequence > 1 || !ev.Target.Started.IsZero() && (age < 0 || age >= lateAnnouncement)
}

// unansweredBy records that the target could not be asked or did not answer, and
// reports whether its announcement is to be believed all the same. That is the
// case if the target still announces itself when all announcements that it sent
// before the first one have arrived.
func (l *leavingChecks) unansweredBy(now time.Time, ev announce.LocalAnnounced) (believe bool) {
	first, ok := l.unanswered[ev.Target.ID]
	if !ok || !first.started.Equal(ev.Target.Started) {
		if l.unanswered == nil || len(l.unanswered) >= announce.MaxLocal {
			l.unanswered = make(map[fleet.TargetID]unansweredCheck)
		}
		l.unanswered[ev.Target.ID] = unansweredCheck{started: ev.Target.Started, sequence: ev.Sequence, since: now}
		return false
	}
	return ev.Sequence > first.sequence && now.Sub(first.since) >= lateAnnouncement
}

// answeredBy forgets a target that has answered or is believed.
func (l *leavingChecks) answeredBy(id fleet.TargetID) { delete(l.unanswered, id) }

// announcementVerdict says what is to be done with an announcement.
type announcementVerdict uint8

const (
	announcementBelieved announcementVerdict = iota
	// announcementUnconfirmed: the target may have left, so it is not put into
	// use. Its next announcement is checked again.
	announcementUnconfirmed
	// announcementLeft: the target says that it leaves.
	announcementLeft
)

// checkAnnouncement asks a target that this process hears from for the first
// time whether it is leaving.
func (l localTargets) checkAnnouncement(ctx context.Context, ev announce.LocalAnnounced) announcementVerdict {
	c := l.control
	if c.node.adapter == nil {
		return announcementBelieved
	}
	var needed bool
	c.runAndWait(func() { needed = c.leavingChecks.needed(time.Now(), ev) && !c.targets.HeardFrom(ev.Target) })
	if !needed {
		return announcementBelieved
	}
	leaving, answered := l.askLeaving(ctx, ev.Target)
	verdict := announcementBelieved
	c.runAndWait(func() {
		switch {
		case answered:
			c.leavingChecks.answeredBy(ev.Target.ID)
			if leaving {
				verdict = announcementLeft
			}
		case c.leavingChecks.unansweredBy(time.Now(), ev):
			c.leavingChecks.answeredBy(ev.Target.ID)
		default:
			verdict = announcementUnconfirmed
		}
	})
	if verdict == announcementUnconfirmed {
		c.node.log.Log(event.AnnouncementUnconfirmed, event.Fields{"target": ev.Target.ID})
	}
	return verdict
}

// askLeaving asks a target by a health check whether it is leaving. answered is
// false if there is no bundle yet, which holds the path of health checks, or no
// answer in time. A target whose service has no health checks counts as not
// leaving.
func (l localTargets) askLeaving(ctx context.Context, t fleet.Target) (leaving, answered bool) {
	c := l.control
	waitCtx, cancel := context.WithTimeout(ctx, leavingCheckBundleWait)
	c.node.ingress.AwaitFirstBundle(waitCtx)
	cancel()
	known, healthPath := false, ""
	c.runAndWait(func() {
		if known = c.bundle != nil; !known {
			return
		}
		if s := c.bundle.Service(t.Service); s != nil {
			healthPath = s.HealthPath
		}
	})
	if !known || healthPath == "" {
		return false, known
	}
	ctx, cancel = context.WithTimeout(ctx, leavingCheckTimeout)
	defer cancel()
	return c.node.adapter.CheckLeaving(ctx, t, healthPath)
}
