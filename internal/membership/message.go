package membership

import (
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

// Start begins probing; Seeds are peer addresses (ip:port) of nodes that may
// be alive.
type Start struct{ Seeds []string }

// AddSeed adds the peer address (ip:port) of a node that may be alive to the
// seeds.
type AddSeed struct{ Addr string }

// Packet is one authenticated datagram. From is the sender's address (ip:port).
type Packet struct {
	From    string
	Message *controlv1.Datagram
}

// Tick reports the passage of time. It is due every Config.TickInterval.
type Tick struct{}

// Leave announces a graceful stop of the local node.
type Leave struct{}

// BundleActivated announces the bundle version in force on the local node.
type BundleActivated struct{ Version uint64 }

// DisseminateTarget disseminates a target record. The caller disseminates a
// record received from another node only if it was newer than the known one.
type DisseminateTarget struct{ Target fleet.Target }

// Merge delivers the node records that the other node sent in a full-state
// exchange (Sync).
type Merge struct{ Nodes []*controlv1.Node }

// SyncDone reports a finished full-state exchange and the size of its messages
// in bytes, which determines when the next exchange is due.
type SyncDone struct{ Bytes int }

func (SyncDone) event()          {}
func (Start) event()             {}
func (AddSeed) event()           {}
func (Packet) event()            {}
func (Tick) event()              {}
func (Leave) event()             {}
func (BundleActivated) event()   {}
func (DisseminateTarget) event() {}
func (Merge) event()             {}

// Action is an output of Machine.Step.
type Action interface{ action() }

// Send requests that a datagram be sent to an address (ip:port). The message
// must not be modified, because later messages share parts of it.
type Send struct {
	To      string
	Message *controlv1.Datagram
}

// NodeChanged reports a new or changed node record, including the local node's.
type NodeChanged struct{ Node fleet.Node }

// TargetReceived reports a target record that arrived in a datagram. The caller
// decides whether the record is newer than the known one.
type TargetReceived struct{ Target fleet.Target }

// SyncWith requests a full-state exchange with the node at an address
// (ip:port).
type SyncWith struct{ Addr string }

// DuplicateID reports that another process uses the local node's identifier.
type DuplicateID struct{ Other fleet.Node }

func (Send) action()           {}
func (NodeChanged) action()    {}
func (TargetReceived) action() {}
func (SyncWith) action()       {}
func (DuplicateID) action()    {}

// NodeToProto converts a node record to its protocol message.
func NodeToProto(n fleet.Node) *controlv1.Node {
	return &controlv1.Node{
		Id: string(n.ID), Region: n.Region, DataCentre: n.DataCentre,
		PeerAddr: n.PeerAddr, CallerAddr: n.CallerAddr, OperatorAddr: n.OperatorAddr,
		Incarnation: n.Incarnation, State: stateToProto(n.State), BundleVersion: n.BundleVersion,
	}
}

// NodeFromProto converts a node record from its protocol message. An
// unspecified or unknown state counts as alive.
func NodeFromProto(n *controlv1.Node) fleet.Node {
	return fleet.Node{
		ID: fleet.NodeID(n.GetId()), Region: n.GetRegion(), DataCentre: n.GetDataCentre(),
		PeerAddr: n.GetPeerAddr(), CallerAddr: n.GetCallerAddr(), OperatorAddr: n.GetOperatorAddr(),
		Incarnation: n.GetIncarnation(), State: stateFromProto(n.GetState()), BundleVersion: n.GetBundleVersion(),
	}
}

func stateToProto(s fleet.NodeState) controlv1.NodeState {
	return controlv1.NodeState(s) + controlv1.NodeState_NODE_STATE_ALIVE
}

func stateFromProto(s controlv1.NodeState) fleet.NodeState {
	if s <= controlv1.NodeState_NODE_STATE_ALIVE || s > controlv1.NodeState_NODE_STATE_DEAD {
		return fleet.NodeAlive
	}
	return fleet.NodeState(s - controlv1.NodeState_NODE_STATE_ALIVE)
}

// TargetToProto converts a target record to its protocol message.
func TargetToProto(t fleet.Target) *controlv1.Target {
	return &controlv1.Target{
		Id: string(t.ID), Service: t.Service, Node: string(t.Node), DataCentre: t.DataCentre, Addr: t.Addr,
		Slots: uint32(t.Slots), State: controlv1.TargetState(t.State) + controlv1.TargetState_TARGET_STATE_SERVING,
		StartedUnixMs: t.Started.UnixMilli(), Incarnation: t.Incarnation, Version: t.Version,
	}
}

// TargetFromProto converts a target record from its protocol message. An
// unspecified or unknown state counts as gone, because nothing may be sent to
// such a target.
func TargetFromProto(t *controlv1.Target) fleet.Target {
	state := fleet.TargetGone
	switch t.GetState() {
	case controlv1.TargetState_TARGET_STATE_SERVING:
		state = fleet.TargetServing
	case controlv1.TargetState_TARGET_STATE_DRAINING:
		state = fleet.TargetDraining
	}
	return fleet.Target{
		ID: fleet.TargetID(t.GetId()), Service: t.GetService(), Node: fleet.NodeID(t.GetNode()),
		DataCentre: t.GetDataCentre(), Addr: t.GetAddr(), Slots: int(t.GetSlots()), State: state,
		Started: time.UnixMilli(t.GetStartedUnixMs()), Incarnation: t.GetIncarnation(), Version: t.GetVersion(),
	}
}
