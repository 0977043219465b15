package quota

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Description is the state of an organisation's quota as one node sees it.
type Description struct {
	// Order holds the first nodes in order, beginning with the owner.
	Order []fleet.NodeID
	// Scale is the part of the quota that this part of the fleet may grant.
	Scale float64
	// Owner is set if this node grants the requests, and Tokens is then the
	// number that it could grant at once.
	Owner  bool
	Tokens float64
}

// Describe returns the state of an organisation's quota.
func (m *Machine) Describe(now time.Duration, organisation string) Description {
	m.owner.rescale(now)
	hash := orgHash(organisation)
	var order [maxAsked]*member
	n := m.members.order(hash, &order)
	d := Description{Scale: m.owner.scale, Owner: m.members.standing(now, hash).owner && m.members.grants(now)}
	for _, k := range order[:n] {
		if k == nil {
			d.Order = append(d.Order, m.members.self)
		} else {
			d.Order = append(d.Order, k.id)
		}
	}
	if q, ok := m.quota(organisation); ok && q.RequestsPerSecond > 0 && d.Owner {
		d.Tokens = m.owner.bucket(now, organisation, m.owner.cfg.share(q)).tokens
	}
	return d
}
