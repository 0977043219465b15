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
	// leaving.
	leavingCheckTimeout = 300 * time.Millisecond
	// leavingCheckInterval is the pause before a target that did not answer is
	// asked again, and bundlePollInterval the same while there is no bundle, which
	// holds the path of the question.
	leavingCheckInterval = 500 * time.Millisecond
	bundlePollInterval   = 50 * time.Millisecond
	// lateAnnouncement is the age from which an announcement is not expected to
	// arrive any more.
	lateAnnouncement = 5 * time.Second
)

// leavingChecks holds the announcements of targets that this process has not
// heard from before, until the targets have been asked whether they leave. An
// earlier process of the node may have been told so after the announcement was
// sent. The control goroutine owns it.
type leavingChecks struct {
	running map[fleet.TargetID]*leavingCheck
}

// leavingCheck is the check of one start of a target.
type leavingCheck struct {
	first, latest     announce.LocalAnnounced
	firstAt, latestAt time.Time
}

// needsLeavingCheck reports whether the target must be asked before an
// announcement, the first one that this process accepts from it, takes effect. The
// first announcement of a target after its start does not need it.
func needsLeavingCheck(ev announce.LocalAnnounced) bool {
	return !ev.Draining && ev.Sequence > 1
}

// add adds an announcement. It reports whether a check of the target has to be
// started.
func (l *leavingChecks) add(now time.Time, ev announce.LocalAnnounced) (start bool) {
	if l.running == nil {
		l.running = make(map[fleet.TargetID]*leavingCheck)
	}
	check := l.running[ev.Target.ID]
	switch {
	case check == nil && len(l.running) >= announce.MaxLocal:
		return false
	case check == nil || ev.Target.Started.After(check.first.Target.Started):
		l.running[ev.Target.ID] = &leavingCheck{ev, ev, now, now}
		return true
	case ev.Target.Started.Equal(check.first.Target.Started) && ev.Sequence > check.latest.Sequence:
		check.latest, check.latestAt = ev, now
	}
	return false
}

// finish ends the check of a target if its result is known. The announcement
// takes effect if the target answered that it does not leave, or if it did not
// answer but still announces itself when all announcements that it sent before the
// first one have arrived.
func (l *leavingChecks) finish(now time.Time, t fleet.Target, leaving, answered bool) (result announce.Event, done bool) {
	check := l.running[t.ID]
	if check == nil || !check.first.Target.Started.Equal(t.Started) {
		return nil, true // another start of the target is checked
	}
	switch {
	case leaving:
		result = announce.LocalLeft{ID: t.ID, Started: t.Started}
	case answered, check.latestAt.Sub(check.firstAt) >= lateAnnouncement:
		result = check.latest
	case now.Sub(check.latestAt) < check.latest.TTL:
		return nil, false
	}
	delete(l.running, t.ID)
	return result, true
}

// AnnounceNumbered implements announce.LocalTargets. An announcement that needs
// a check is acknowledged at once and takes effect after the check.
func (l localTargets) AnnounceNumbered(_ context.Context, ev announce.LocalAnnounced) error {
	c := l.control
	var err error
	var check bool
	c.runAndWait(func() {
		if c.node.adapter == nil || !needsLeavingCheck(ev) || c.targets.HeardFrom(ev.Target) {
			err = c.stepTargets(ev)
			return
		}
		check = c.leavingChecks.add(time.Now(), ev)
	})
	if check {
		go l.check(ev.Target)
	}
	return err
}

// check asks a target whether it leaves until it answers or its announcement has
// expired.
func (l localTargets) check(t fleet.Target) {
	c := l.control
	for logged := false; ; logged = true {
		leaving, answered, hasBundle := l.askLeaving(t)
		var done bool
		if running := c.tryRunAndWait(func() {
			var result announce.Event
			if result, done = c.leavingChecks.finish(time.Now(), t, leaving, answered); result != nil {
				// A rejected event means that the registry knows something newer.
				_ = c.stepTargets(result)
			}
		}); !running || done {
			return
		}
		if !logged {
			c.node.log.Log(event.AnnouncementUnconfirmed, event.Fields{"target": t.ID})
		}
		if hasBundle {
			time.Sleep(leavingCheckInterval)
		} else {
			time.Sleep(bundlePollInterval)
		}
	}
}

// askLeaving asks a target by a health check whether it leaves. answered is false
// if it did not answer in time or could not be asked because there is no bundle.
// A target whose service has no health checks counts as not leaving.
func (l localTargets) askLeaving(t fleet.Target) (leaving, answered, hasBundle bool) {
	c := l.control
	healthPath := ""
	running := c.tryRunAndWait(func() {
		if hasBundle = c.bundle != nil; hasBundle {
			if s := c.bundle.Service(t.Service); s != nil {
				healthPath = s.HealthPath
			}
		}
	})
	if !running || healthPath == "" {
		return false, hasBundle, hasBundle
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavingCheckTimeout)
	defer cancel()
	leaving, answered = c.node.adapter.CheckLeaving(ctx, t, healthPath)
	return leaving, answered, true
}
