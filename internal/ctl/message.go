package ctl

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printMessage writes a node's answer as protobuf JSON, including fields with
// default values.
func (a *app) printMessage(m proto.Message) error {
	encoded, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	// protojson varies its white space on purpose; printJSON indents the text
	// again to make the output stable.
	return a.printJSON(json.RawMessage(encoded))
}
