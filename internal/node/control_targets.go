package node

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/membership"
)

func (c *control) markServicesStale(id fleet.NodeID) {
	for _, t := range c.targets.OfNode(id) {
		c.staleServices[t.Service] = true
	}
}

// stepTargets applies an event to the target registry and carries out the
// resulting actions. It returns the error with which the registry rejected the
// event, if it did.
func (c *control) stepTargets(ev announce.Event) error {
	var refused error
	for _, action := range slices.Clone(c.targets.Step(time.Now(), ev)) {
		switch a := action.(type) {
		case announce.TargetChanged:
			c.targetChanged(a.Target)
		case announce.Broadcast:
			c.stepMembers(membership.DisseminateTarget{Target: a.Target})
			if a.Target.Node == c.node.self.ID {
				c.loadsDue = true
			}
		case announce.Rejected:
			refused = a.Err
			c.logRejected(a)
		}
	}
	return refused
}

func (c *control) logRejected(a announce.Rejected) {
	e := event.TargetRejected
	if errors.Is(a.Err, announce.ErrDuplicate) {
		e = event.DuplicateTargetID
	}
	c.node.log.Log(e, event.Fields{"target": a.ID, "error": a.Err.Error()})
}

// targetStateEvents maps the state of a target to the event that reports it.
var targetStateEvents = map[fleet.TargetState]event.Event{
	fleet.TargetServing: event.TargetAnnounced, fleet.TargetDraining: event.TargetDraining, fleet.TargetGone: event.TargetGone,
}

func (c *control) targetChanged(t fleet.Target) {
	old, ok := c.targetsByID[t.ID]
	if ok && old.Service != t.Service {
		c.staleServices[old.Service] = true
	}
	if !ok || old.State != t.State {
		c.node.log.Log(targetStateEvents[t.State], event.Fields{"target": t.ID, "service": t.Service, "peer": t.Node})
	}
	c.staleServices[t.Service] = true
	if t.Node == c.node.self.ID {
		c.node.sidecar.SetTarget(t)
	}
	if t.State == fleet.TargetGone {
		c.forgetTarget(old)
		c.stepHealth(health.TargetRemoved{ID: t.ID})
		return
	}
	if ok && old.Service != t.Service {
		c.forgetTarget(old)
	}
	c.targetsByID[t.ID] = t
	list := c.byService[t.Service]
	if i, listed := findTarget(list, t.ID); listed {
		list[i] = t
	} else {
		c.byService[t.Service] = slices.Insert(list, i, t)
	}
	c.addHealthTarget(t)
}

func (c *control) forgetTarget(t fleet.Target) {
	delete(c.targetsByID, t.ID)
	list := c.byService[t.Service]
	if i, listed := findTarget(list, t.ID); listed {
		c.byService[t.Service] = slices.Delete(list, i, i+1)
	}
	if len(c.byService[t.Service]) == 0 {
		delete(c.byService, t.Service)
	}
}

// findTarget returns the position of a target in a list ordered by ID, and
// whether the list has it.
func findTarget(list []fleet.Target, id fleet.TargetID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(t fleet.Target, id fleet.TargetID) int { return cmp.Compare(t.ID, id) })
}

func (c *control) addHealthTarget(t fleet.Target) {
	added := health.TargetAdded{Target: t}
	if c.bundle != nil {
		if s := c.bundle.Service(t.Service); s != nil {
			added.Floor, added.Expected = s.Floor, s.ExpectedTargets
		}
	}
	if d := c.node.settings.Load().Deployment; d != nil {
		added.Expected = len(c.byService[t.Service])
		added.Floor = int(math.Ceil(d.FloorShare * float64(added.Expected)))
	}
	c.stepHealth(added)
}
