package ctl

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printMessage writes a node's answer in the JSON form of protobuf, with all
// fields.
func (a *app) printMessage(m proto.Message) error {
	encoded, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	// protojson varies its white space on purpose, so that it is set here.
	return a.printJSON(json.RawMessage(encoded))
}
