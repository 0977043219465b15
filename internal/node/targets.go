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
