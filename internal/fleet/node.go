package fleet

// NodeState is the state of a node as membership sees it.
type NodeState uint8

const (
	// NodeAlive answers probes.
	NodeAlive NodeState = iota
	// NodeSuspect missed direct and indirect probes and may still refute.
	NodeSuspect
	// NodeLeaving announced a graceful stop and accepts no new work.
	NodeLeaving
	// NodeDead is out of use.
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

// Node is one node process as membership describes it.
type Node struct {
	ID         NodeID
	Region     string
	DataCentre string
	// PeerAddr is ip:port; TCP and UDP use the same port number.
	PeerAddr string
	// CallerAddr is ip:port of the callers' listener.
	CallerAddr string
	// OperatorAddr is ip:port of the operators' listener.
	OperatorAddr string
	// Incarnation is the node's start time in Unix nanoseconds, raised by the
	// node itself to refute a suspicion.
	Incarnation uint64
	State       NodeState
	// BundleVersion is the version in force on the node, 0 for none.
	BundleVersion uint64
}

// Usable reports whether the node may be given new work.
func (n Node) Usable() bool { return n.State == NodeAlive || n.State == NodeSuspect }
