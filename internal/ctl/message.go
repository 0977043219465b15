package ctl

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printMessage writes a node's answer in the JSON form of protobuf, with all
// fields.
func (a *app) printMessage(m proto.Message) error {
	options := protojson.MarshalOptions{EmitUnpopulated: true}
	encoded, err := options.Marshal(m)
	if err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	_, err = fmt.Fprintln(a.Stdout, string(encoded))
	return err
}
