package membership

import (
	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// update is a record that is still being disseminated. Exactly one of node and
// target is set.
type update struct {
	key       string
	node      *controlv1.Node
	target    *controlv1.Target
	size      int
	remaining int // transmissions left
	rank      rank
}

// rank orders updates. Changes of a node's state are sent first because routing
// depends on them. Records of new nodes and bundle versions are sent last
// because they also travel with the first packet between two nodes and with
// full-state exchanges.
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

// queue holds updates for piggybacking. Within a rank, updates are sent in
// rotation, so that all updates of a burst are disseminated evenly.
type queue struct {
	byKey map[string]*update
	lists [ranks][]*update
}

func newQueue() *queue { return &queue{byKey: make(map[string]*update)} }

// put adds u or replaces the older update with the same key. The newest update
// is sent first.
func (q *queue) put(u *update) {
	// The field tag and length that precede an embedded message add up to 3
	// bytes.
	u.size = proto.Size(u.message()) + 3
	if old, ok := q.byKey[u.key]; ok {
		q.lists[old.rank] = removeUpdate(q.lists[old.rank], old)
	}
	q.byKey[u.key] = u
	q.lists[u.rank] = append([]*update{u}, q.lists[u.rank]...)
}

func removeUpdate(list []*update, u *update) []*update {
	for i := range list {
		if list[i] == u {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// fill appends updates to d. State changes may use room bytes, other updates
// bulkRoom bytes. skip is the identifier of the receiver: the only updates that
// a node needs about itself are failure reports, and the caller adds those.
func (q *queue) fill(d *controlv1.Datagram, room, bulkRoom int, skip string) {
	used := 0
	for r := range q.lists {
		if rank(r) > stateRank {
			room = min(room, bulkRoom)
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
		if u.key == skip || hasRecordOf(d, u) {
			kept = append(kept, u)
			continue
		}
		used += u.size
		if u.node != nil {
			d.Nodes = append(d.Nodes, u.node)
		} else {
			d.Targets = append(d.Targets, u.target)
		}
		if u.remaining--; u.remaining > 0 {
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

// hasRecordOf reports whether d already holds a record of the same node.
func hasRecordOf(d *controlv1.Datagram, u *update) bool {
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
