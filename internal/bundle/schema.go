package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/invopop/jsonschema"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Schema returns the JSON Schema of the format. The output is committed as
// schemas/bundle.schema.json. The schema does not express rules between
// several fields; only Parse checks those.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{FieldNameTag: "yaml", Mapper: scalarSchema}
	schema := r.Reflect(&Bundle{})
	schema.ID = "https://siskinvale.dev/schemas/bundle.schema.json"
	schema.Title = "Siskinvale bundle"
	encoded, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode schema: %w", err)
	}
	return append(encoded, '\n'), nil
}

// scalarSchema returns the schema of a type that is encoded as text, or nil for
// other types.
func scalarSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`}
	case reflect.TypeFor[KeyHash]():
		return &jsonschema.Schema{Type: "string", Pattern: `^[0-9a-fA-F]{64}$`}
	case reflect.TypeFor[KeyRule]():
		return &jsonschema.Schema{Type: "string", Enum: []any{"none", "optional", "required"}}
	case reflect.TypeFor[fleet.Priority]():
		return &jsonschema.Schema{Type: "string", Enum: []any{"background", "interactive"}}
	case reflect.TypeFor[fleet.Length]():
		return &jsonschema.Schema{Type: "string", Enum: []any{"short", "long"}}
	}
	return nil
}
