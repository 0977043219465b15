package fleet

// NodeID identifies one node process of the fleet. It comes from the node's
// settings and is unique among the VMs that are alive at the same time.
type NodeID string

// TargetID identifies one target. It is unique within the fleet.
type TargetID string

// Epoch orders the ownership changes of one service. A higher epoch supersedes
// a lower one.
type Epoch uint64
