package node

import (
	"maps"
	"slices"
	"sort"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/operation"
)

// publish rebuilds stale services and gives the ingress and the assignments a
// new view if anything changed. Within publishInterval after the previous view
// it leaves changes that are not urgent to a later call; the next timer tick
// makes one.
func (c *control) publish() {
	if !c.viewChanged && len(c.staleServices) == 0 {
		return
	}
	now := time.Now()
	if !c.viewUrgent && now.Sub(c.publishedAt) < publishInterval {
		return
	}
	c.publishedAt, c.viewUrgent = now, false
	for service := range c.staleServices {
		c.rebuildService(service)
		c.viewChanged = true
	}
	clear(c.staleServices)
	if !c.viewChanged {
		return
	}
	c.viewChanged = false
	c.node.ingress.SetView(&ingress.View{
		Version: c.version.Load(),
		Bundle:  c.bundle,
		Pickers: maps.Clone(c.pickers),
		Nodes:   maps.Clone(c.nodes),
		Leaving: c.draining,
	})
	owners := maps.Clone(c.owners)
	c.node.assignments.owners.Store(&owners)
}

// rebuildService rebuilds the picker of a service and tells the operation
// manager which nodes can own its keys.
func (c *control) rebuildService(service string) {
	targets := c.byService[service]
	if len(targets) == 0 {
		delete(c.pickers, service)
	} else {
		c.pickers[service] = c.routing.Rebuild(service, targets, c.health.Verdict, time.Now())
	}
	if c.hasKeyedClass(service) {
		c.owners[service] = distinctNodes(targets)
		operations := c.bundle.Service(service).Operations
		c.node.operations.Configure(service, operations.Ranges, operations.RetryWindow.AsDuration())
		c.node.operations.SetMembers(service, c.operationMembers(targets))
	}
}

// distinctNodes returns the nodes of the targets, each once.
func distinctNodes(targets []fleet.Target) []fleet.NodeID {
	var ids []fleet.NodeID
	for _, t := range targets {
		if !slices.Contains(ids, t.Node) {
			ids = append(ids, t.Node)
		}
	}
	return ids
}

// hasKeyedClass reports whether a service has a class of keyed operations.
func (c *control) hasKeyedClass(service string) bool {
	if c.bundle == nil {
		return false
	}
	s := c.bundle.Service(service)
	return s != nil && slices.ContainsFunc(s.Classes, ingress.IsKeyedOperation)
}

// operationMembers returns the nodes with targets of a service. A node accepts
// key ranges only while at least one of its targets is serving and fit to own
// keys.
func (c *control) operationMembers(targets []fleet.Target) []operation.Member {
	byNode := make(map[fleet.NodeID]operation.Member)
	for _, t := range targets {
		n, ok := c.nodes[t.Node]
		if !ok || n.State == fleet.NodeDead {
			continue
		}
		m := byNode[n.ID]
		m.Node, m.DataCentre = n.ID, n.DataCentre
		m.AcceptsWork = m.AcceptsWork || n.Usable() && t.State == fleet.TargetServing && c.canOwnKeys(t.ID)
		byNode[n.ID] = m
	}
	members := slices.Collect(maps.Values(byNode))
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	return members
}

// canOwnKeys reports whether a target is healthy enough to own keys; one that
// only the floor keeps in traffic is not. A target that only this node avoids
// because of a bad network path counts as healthy.
func (c *control) canOwnKeys(id fleet.TargetID) bool {
	verdict := c.health.Verdict(id)
	return verdict.State == health.Healthy && !verdict.HeldByFloor || verdict.State == health.Avoided
}

// currentStatus returns the control state for an operator. It sorts all nodes
// and targets and is therefore called only on request.
func (c *control) currentStatus() *status {
	s := &status{
		self:              c.members.Self(),
		nodes:             c.members.Nodes(),
		verdicts:          make(map[fleet.TargetID]health.Verdict, len(c.targetsByID)),
		platformReachable: c.node.platform.reachable.Load(),
	}
	for id, t := range c.targetsByID {
		s.targets = append(s.targets, t)
		s.verdicts[id] = c.health.Verdict(id)
	}
	sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].ID < s.targets[j].ID })
	if c.bundle != nil {
		s.bundleName = c.bundle.Name
		_, s.bundleDigest = c.rollout.InForce()
	}
	return s
}

// readStatus runs currentStatus on the control goroutine.
func (c *control) readStatus() *status {
	var s *status
	c.runAndWait(func() { s = c.currentStatus() })
	return s
}
