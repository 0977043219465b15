package fleet

// NodeState is the state of a node according to membership.
type NodeState uint8

const (
	// NodeAlive answers probes.
	NodeAlive NodeState = iota
	// NodeSuspect did not answer direct and indirect probes, and may still
	// refute the suspicion.
	NodeSuspect
	// NodeLeaving announced a graceful stop and accepts no new work.
	NodeLeaving
	// NodeDead is considered failed and is not used.
	NodeDead
)

func (s NodeState) String() string {
	switch s {
	case NodeAlive:
		return "alive"
	case NodeSuspect:
		return "suspect"
	case NodeLeaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Node is the membership record of one node process.
type Node struct {
	ID         NodeID
	Region     string
	DataCentre string
	// PeerAddr is ip:port of the listener for other nodes; TCP and UDP use the
	// same port number.
	PeerAddr string
	// CallerAddr is ip:port of the listener for callers.
	CallerAddr string
	// OperatorAddr is ip:port of the listener for operators.
	OperatorAddr string
	// Incarnation is the node's start time in Unix nanoseconds. The node raises
	// it to refute a suspicion.
	Incarnation uint64
	State       NodeState
	// BundleVersion is the version of the bundle in force on the node, 0 if there
	// is none.
	BundleVersion uint64
}

// Usable reports whether the node may be given new work.
func (n Node) Usable() bool { return n.State == NodeAlive || n.State == NodeSuspect }
