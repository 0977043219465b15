package membership

import (
	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// update is one record that is still being disseminated. Exactly one of node
// and target is set.
type update struct {
	key    string
	node   *controlv1.Node
	target *controlv1.Target
	size   int
	left   int // transmissions left
	rank   rank
}

// rank orders updates. Changes of a node's state go first because traffic
// depends on them; descriptions of nodes go last because they also travel with
// the first packet between two nodes and with full-state exchanges.
type rank uint8

const (
	stateRank rank = iota
	targetRank
	recordRank
	ranks = 3
)

func (u *update) message() proto.Message {
	if u.node != nil {
		return u.node
	}
	return u.target
}

// queue holds updates for piggybacking. Within a rank, updates take turns, so
// that a burst of news is spread evenly.
type queue struct {
	byKey map[string]*update
	lists [ranks][]*update
}

func newQueue() *queue { return &queue{byKey: make(map[string]*update)} }

// put adds u or replaces the older update with the same key. The newest update
// is sent first.
func (q *queue) put(u *update) {
	// A field of a length-delimited message costs its tag and length besides.
	u.size = proto.Size(u.message()) + 3
	if old, ok := q.byKey[u.key]; ok {
		q.lists[old.rank] = without(q.lists[old.rank], old)
	}
	q.byKey[u.key] = u
	q.lists[u.rank] = append([]*update{u}, q.lists[u.rank]...)
}

func without(list []*update, u *update) []*update {
	for i := range list {
		if list[i] == u {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// fill appends updates to d. State changes may use room bytes, the others bulk
// bytes. skip names the receiver, which needs no news about itself unless it is
// a rumour; the caller adds those.
func (q *queue) fill(d *controlv1.Datagram, room, bulk int, skip string) {
	used := 0
	for r := range q.lists {
		if rank(r) > stateRank {
			room = min(room, bulk)
		}
		used += q.fillFrom(&q.lists[r], d, room-used, skip)
	}
}

func (q *queue) fillFrom(list *[]*update, d *controlv1.Datagram, room int, skip string) int {
	used := 0
	var sent, kept []*update
	for i, u := range *list {
		if used+u.size > room {
			kept = append(kept, (*list)[i:]...)
			break
		}
		if u.key == skip || carries(d, u) {
			kept = append(kept, u)
			continue
		}
		used += u.size
		if u.node != nil {
			d.Nodes = append(d.Nodes, u.node)
		} else {
			d.Targets = append(d.Targets, u.target)
		}
		if u.left--; u.left > 0 {
			sent = append(sent, u)
		} else {
			delete(q.byKey, u.key)
		}
	}
	if used > 0 {
		*list = append(kept, sent...)
	}
	return used
}

// carries reports whether d already holds a record of the same node.
func carries(d *controlv1.Datagram, u *update) bool {
	if u.node == nil {
		return false
	}
	for _, n := range d.Nodes {
		if n.Id == u.node.Id {
			return true
		}
	}
	return false
}

func (q *queue) len() int { return len(q.byKey) }
