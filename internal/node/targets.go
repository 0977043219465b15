package node

import (
	"context"
	"time"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// localTargets applies the announcements of the targets on this VM. It
// implements announce.LocalTargets.
type localTargets struct {
	control *control
}

func (l localTargets) Announce(_ context.Context, t fleet.Target, ttl time.Duration) error {
	return l.step(announce.LocalAnnounced{Target: t, TTL: ttl})
}

func (l localTargets) Drain(_ context.Context, id fleet.TargetID) error {
	return l.step(announce.LocalDraining{ID: id})
}

func (l localTargets) Remove(_ context.Context, id fleet.TargetID) error {
	return l.step(announce.LocalRemoved{ID: id})
}

// leavingCheckTimeout bounds the wait for a target's answer whether it is
// leaving. A busy target answers late and is taken into use.
const leavingCheckTimeout = 300 * time.Millisecond

func (l localTargets) AnnounceNumbered(ctx context.Context, ev announce.LocalAnnounced) error {
	if l.leftEarlierProcess(ctx, ev) {
		return l.step(announce.LocalLeft{ID: ev.Target.ID, Started: ev.Target.Started})
	}
	return l.step(ev)
}

// leftEarlierProcess reports whether a target that this process hears from for
// the first time has told an earlier process of this node that it leaves. Its
// announcement may have been sent before that and arrive late, so the target
// itself is asked.
func (l localTargets) leftEarlierProcess(ctx context.Context, ev announce.LocalAnnounced) bool {
	c := l.control
	if c.node.adapter == nil || ev.Sequence <= 1 || ev.Draining {
		return false
	}
	var healthPath string
	c.runAndWait(func() {
		if c.bundle == nil || c.targets.HeardFrom(ev.Target) {
			return
		}
		if s := c.bundle.Service(ev.Target.Service); s != nil {
			healthPath = s.HealthPath
		}
	})
	if healthPath == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leavingCheckTimeout)
	defer cancel()
	return c.node.adapter.SaysLeaving(ctx, ev.Target, healthPath)
}

func (l localTargets) Leave(_ context.Context, ev announce.LocalLeft) error { return l.step(ev) }

// targetSaysLeaving marks a local target as leaving because one of its answers
// says so, as its own report that it leaves does. The sidecar already refuses
// calls to it.
func (c *control) targetSaysLeaving(t fleet.Target) {
	go func() {
		// A rejected event means that the registry knows a later start of the
		// target or its removal.
		_ = localTargets{c}.Leave(context.Background(), announce.LocalLeft{ID: t.ID, Started: t.Started})
	}()
}

func (l localTargets) step(ev announce.Event) error {
	var err error
	l.control.runAndWait(func() { err = l.control.stepTargets(ev) })
	return err
}
