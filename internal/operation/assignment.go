package operation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Range names the nodes that are responsible for one range of keys.
type Range struct {
	// Owner is empty when the range was released and may be claimed.
	Owner fleet.NodeID `json:"owner,omitempty"`
	// OwnerIncarnation is the incarnation of the owner's process. After a
	// restart, the node's new process is not the owner that the object names.
	OwnerIncarnation uint64 `json:"ownerIncarnation,omitempty"`
	// Standby is empty when the service has a single member.
	Standby fleet.NodeID `json:"standby,omitempty"`
	// Epoch is the epoch of the assignment in which the range last changed.
	Epoch fleet.Epoch `json:"epoch"`
	// FencedAt is the wall time of the last change of owner without a handover.
	FencedAt time.Time `json:"fencedAt,omitzero"`
}

// Assignment is the content of the platform object operations/<service>.
type Assignment struct {
	Service string `json:"service"`
	// Epoch increases by one with each write of the object.
	Epoch fleet.Epoch `json:"epoch"`
	// WriteID identifies the write, so that a writer that got no answer
	// recognises its own write when it reads the object back.
	WriteID string  `json:"writeId"`
	Ranges  []Range `json:"ranges"`
}

// ObjectPrefix is the prefix of the platform keys of all assignments.
const ObjectPrefix = "operations/"

// ObjectKey returns the platform key of a service's assignment.
func ObjectKey(service string) string { return ObjectPrefix + service }

// Encode returns the JSON form of the assignment.
func (a Assignment) Encode() ([]byte, error) { return json.Marshal(a) }

// DecodeAssignment parses the JSON form. It returns an error if the service,
// the epoch or the ranges are missing.
func DecodeAssignment(value []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(value, &a); err != nil {
		return Assignment{}, fmt.Errorf("assignment: %w", err)
	}
	if a.Service == "" || len(a.Ranges) == 0 || a.Epoch == 0 {
		return Assignment{}, fmt.Errorf("assignment: service %q, epoch %d and %d ranges: all must be set", a.Service, a.Epoch, len(a.Ranges))
	}
	return a, nil
}

// VersionedAssignment is an assignment and the version of the platform object
// that held it. Version 0 means that no object is known.
type VersionedAssignment struct {
	Version    uint64
	Assignment Assignment
}

// next returns a copy of the assignment for the following epoch.
func (a Assignment) next(writeID string) Assignment {
	a.Ranges = slices.Clone(a.Ranges)
	a.Epoch++
	a.WriteID = writeID
	return a
}
