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

// publish gives the traffic goroutines a new view if something changed.
func (c *control) publish() {
	for service := range c.stale {
		c.rebuild(service)
		c.newView = true
	}
	clear(c.stale)
	if !c.newView {
		return
	}
	c.newView = false
	c.node.ingress.SetView(&ingress.View{
		Bundle:  c.bundle,
		Pickers: maps.Clone(c.pickers),
		Nodes:   maps.Clone(c.nodes),
		Leaving: c.draining,
	})
	owners := maps.Clone(c.owners)
	c.node.assignments.owners.Store(&owners)
}

// rebuild makes the picker of a service and tells the record of operations
// which nodes can own its keys.
func (c *control) rebuild(service string) {
	targets := c.targetsOf(service)
	if len(targets) == 0 {
		delete(c.pickers, service)
	} else {
		c.pickers[service] = c.routing.Rebuild(service, targets, c.health.Verdict, time.Now())
	}
	if c.keyed(service) {
		c.owners[service] = nodesOf(targets)
		operations := c.bundle.Service(service).Operations
		c.node.operations.Configure(service, operations.Ranges, operations.RetryWindow.Std())
		c.node.operations.SetMembers(service, c.operationMembers(targets))
	}
}

func (c *control) targetsOf(service string) []fleet.Target {
	targets := slices.Collect(maps.Values(c.byService[service]))
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}

// nodesOf returns the nodes beside targets, each once.
func nodesOf(targets []fleet.Target) []fleet.NodeID {
	var ids []fleet.NodeID
	for _, t := range targets {
		if !slices.Contains(ids, t.Node) {
			ids = append(ids, t.Node)
		}
	}
	return ids
}

// keyed reports whether a service has a class of keyed operations.
func (c *control) keyed(service string) bool {
	if c.bundle == nil {
		return false
	}
	s := c.bundle.Service(service)
	return s != nil && slices.ContainsFunc(s.Classes, ingress.Keyed)
}

// operationMembers returns the nodes beside targets of a service. A node whose
// targets are all draining or ejected keeps no key ranges.
func (c *control) operationMembers(targets []fleet.Target) []operation.Member {
	byNode := make(map[fleet.NodeID]operation.Member)
	for _, t := range targets {
		n, ok := c.nodes[t.Node]
		if !ok || n.State == fleet.NodeDead {
			continue
		}
		m := byNode[n.ID]
		m.Node, m.DataCentre = n.ID, n.DataCentre
		m.Accepts = m.Accepts || n.Usable() && t.State == fleet.TargetServing && c.fitForOperations(t.ID)
		byNode[n.ID] = m
	}
	members := slices.Collect(maps.Values(byNode))
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	return members
}

// fitForOperations tells whether a target is healthy enough to own keys. A
// path that only this node avoids says nothing about the target.
func (c *control) fitForOperations(id fleet.TargetID) bool {
	verdict := c.health.Verdict(id)
	return verdict.State == health.Healthy && !verdict.Held || verdict.State == health.Avoided
}

// currentStatus describes the control state for an operator. It sorts all
// nodes and targets, so it is made on demand.
func (c *control) currentStatus() *status {
	s := &status{
		self:     c.members.Self(),
		nodes:    c.members.Nodes(),
		verdicts: make(map[fleet.TargetID]health.Verdict, len(c.known)),
		platform: c.node.platform.reachable.Load(),
	}
	for id, t := range c.known {
		s.targets = append(s.targets, t)
		s.verdicts[id] = c.health.Verdict(id)
	}
	sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].ID < s.targets[j].ID })
	if c.bundle != nil {
		s.name = c.bundle.Name
		_, s.digest = c.rollout.InForce()
	}
	return s
}

// readStatus returns the status from the control goroutine.
func (c *control) readStatus() *status {
	var s *status
	c.do(func() { s = c.currentStatus() })
	return s
}
