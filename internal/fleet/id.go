package fleet

// NodeID names one node process of the fleet. It is unique among the VMs that
// are alive at the same time and comes from the node's settings.
type NodeID string

// TargetID names one target. It is unique within the fleet.
type TargetID string

// Epoch orders the ownership changes of one service. A higher epoch supersedes
// a lower one.
type Epoch uint64
