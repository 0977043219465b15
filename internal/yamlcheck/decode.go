package yamlcheck

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Options describe a format.
type Options struct {
	// DocumentName is the name of a document of the format in findings, without
	// an article, such as "bundle".
	DocumentName string
	// MaxSize is the largest accepted document in bytes.
	MaxSize int
	// AllowMissing allows fields to be missing or empty.
	AllowMissing bool
	// HideValues omits values from findings, for formats that contain secrets.
	HideValues bool
}

// Decoder fills structs from a YAML tree. Unlike the library's own strict
// decoder, it continues after an error and records the position of each value,
// so that one run reports all findings with their locations.
type Decoder struct {
	// Positions maps a pointer to each decoded value to the position of the
	// value in the document. The pointers are typed, so that a struct and its
	// first field, which have the same address, are different keys.
	Positions map[any]*token.Position

	file     string
	options  Options
	findings []Finding
	// undecoded holds the locations of values that could not be decoded.
	undecoded map[location]bool
	fields    map[reflect.Type][]field
	interned  map[string]string
}

// location is a line and a column.
type location struct{ line, column int }

// field describes the struct field for one key of a mapping.
type field struct {
	name     string
	index    []int
	optional bool
}

// NewDecoder returns a decoder for one document. file is the file name that
// findings contain.
func NewDecoder(file string, options Options) *Decoder {
	return &Decoder{
		Positions: make(map[any]*token.Position), file: file, options: options, undecoded: make(map[location]bool),
		fields: make(map[reflect.Type][]field), interned: make(map[string]string),
	}
}

// intern returns a copy of s that equal values share. A document may repeat
// names thousands of times, and s may be a substring that keeps the whole text
// in memory.
func (d *Decoder) intern(s string) string {
	shared, ok := d.interned[s]
	if !ok {
		shared = strings.Clone(s)
		d.interned[shared] = shared
	}
	return shared
}

// Decode decodes the tree into the struct that target points to and adds a
// finding for each error.
func (d *Decoder) Decode(root ast.Node, target any) {
	d.decodeValue(root, reflect.ValueOf(target).Elem(), "the "+d.options.DocumentName)
}

func (d *Decoder) decodeValue(node ast.Node, v reflect.Value, name string) {
	if _, empty := node.(*ast.NullNode); empty && d.options.AllowMissing {
		return
	}
	address := v.Addr().Interface()
	if duration, ok := address.(*time.Duration); ok {
		d.decodeText(node, (*textDuration)(duration), name)
		return
	}
	if text, ok := address.(encoding.TextUnmarshaler); ok {
		d.decodeText(node, text, name)
		return
	}
	switch v.Kind() {
	case reflect.Pointer: // an optional part of the document
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(node, v.Elem(), name)
	case reflect.Struct:
		d.decodeMapping(node, v, name)
	case reflect.Slice:
		d.decodeSequence(node, v, name)
	default:
		if expected := d.decodeScalar(node, v); expected != "" {
			d.reportUndecoded(node, "%s: want %s, found %s", name, expected, d.describeNode(node))
			return
		}
		d.Positions[address] = Position(node)
	}
}

func (d *Decoder) decodeText(node ast.Node, dst encoding.TextUnmarshaler, name string) {
	text := node.String()
	if s, ok := node.(*ast.StringNode); ok {
		text = s.Value
	} else if _, ok := node.(ast.ScalarNode); !ok {
		d.reportUndecoded(node, "%s: want a single value, found %s", name, d.describeNode(node))
		return
	}
	if err := dst.UnmarshalText([]byte(text)); err != nil {
		d.reportUndecoded(node, "%s: %s", name, err)
		return
	}
	d.Positions[dst] = Position(node)
}

// decodeScalar sets v and returns "". If the node has another type than v, or a
// number that v cannot hold, it returns a description of the expected value.
func (d *Decoder) decodeScalar(node ast.Node, v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		if n, ok := node.(*ast.StringNode); ok {
			v.SetString(d.intern(n.Value))
			return ""
		}
		return "a string (quote it if it looks like a number)"
	case reflect.Bool:
		if n, ok := node.(*ast.BoolNode); ok {
			v.SetBool(n.Value)
			return ""
		}
		return "true or false"
	case reflect.Float64:
		switch n := node.(type) {
		case *ast.FloatNode:
			v.SetFloat(n.Value)
			return ""
		case *ast.IntegerNode:
			v.SetFloat(reflect.ValueOf(n.Value).Convert(v.Type()).Float())
			return ""
		}
		return "a number"
	default:
		if n, ok := node.(*ast.IntegerNode); ok && setInteger(n.Value, v) {
			return ""
		}
		return "a whole number in range"
	}
}

func setInteger(value any, v reflect.Value) bool {
	var unsigned uint64
	switch x := value.(type) {
	case int64:
		if v.CanInt() {
			v.SetInt(x)
			return v.Int() == x
		}
		if x < 0 {
			return false
		}
		unsigned = uint64(x)
	case uint64:
		unsigned = x
	default:
		return false
	}
	if v.CanInt() {
		v.SetInt(int64(unsigned))
		return v.Int() >= 0 && uint64(v.Int()) == unsigned
	}
	v.SetUint(unsigned)
	return v.Uint() == unsigned
}

func (d *Decoder) decodeSequence(node ast.Node, v reflect.Value, name string) {
	n, ok := node.(*ast.SequenceNode)
	if !ok {
		d.reportUndecoded(node, "%s: want a list, found %s", name, d.describeNode(node))
		return
	}
	d.Positions[v.Addr().Interface()] = Position(node)
	// The slice is allocated with its final length, because Positions holds
	// pointers to its elements.
	v.Set(reflect.MakeSlice(v.Type(), len(n.Values), len(n.Values)))
	for i, element := range n.Values {
		if element == nil {
			d.AddFinding(Position(node), "%s: entry %d is empty", name, i+1)
			continue
		}
		d.decodeValue(element, v.Index(i), "entry of "+name)
	}
}

func (d *Decoder) decodeMapping(node ast.Node, v reflect.Value, name string) {
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		d.reportUndecoded(node, "%s: want named fields, found %s", name, d.describeNode(node))
		return
	}
	d.Positions[v.Addr().Interface()] = Position(node)
	fields := d.fieldsOf(v.Type())
	seen := make([]bool, len(fields))
	for _, entry := range entries {
		d.decodeEntry(entry, v, fields, seen, name)
	}
	for i, f := range fields {
		if !seen[i] && !f.optional && !d.options.AllowMissing {
			d.AddFinding(Position(node), "%s: missing field %s", name, f.name)
		}
	}
}

func (d *Decoder) decodeEntry(entry *ast.MappingValueNode, v reflect.Value, fields []field, seen []bool, name string) {
	key := keyName(entry.Key)
	for i, f := range fields {
		if f.name != key {
			continue
		}
		if seen[i] {
			d.AddFinding(entry.Key.GetToken().Position, "%s: field %s is given twice", name, key)
			return
		}
		seen[i] = true
		if entry.Value == nil {
			if d.options.AllowMissing {
				return
			}
			d.AddFinding(entry.Key.GetToken().Position, "%s: field %s is empty", name, key)
			return
		}
		d.decodeValue(entry.Value, v.FieldByIndex(f.index), key)
		return
	}
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	d.AddFinding(entry.Key.GetToken().Position, "unknown field %s%s", key, Suggestion(key, names))
}

// fieldsOf returns the fields of a struct type, including those of embedded
// structs.
func (d *Decoder) fieldsOf(t reflect.Type) []field {
	if known, ok := d.fields[t]; ok {
		return known
	}
	var fields []field
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			for _, embedded := range d.fieldsOf(f.Type) {
				embedded.index = append([]int{i}, embedded.index...)
				fields = append(fields, embedded)
			}
			continue
		}
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "-" { // not part of the document
			continue
		}
		if name != "" {
			fields = append(fields, field{name: name, index: []int{i}, optional: options == "omitempty"})
		}
	}
	d.fields[t] = fields
	return fields
}

func keyName(key ast.MapKeyNode) string {
	if s, ok := key.(*ast.StringNode); ok {
		return s.Value
	}
	return key.String()
}

// Position returns the position at which a node starts, or nil if it is not
// known. The token of a block mapping is its first colon, so the position of
// the first key is returned instead.
func Position(node ast.Node) *token.Position {
	switch n := node.(type) {
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return Position(n.Values[0])
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken().Position
	}
	if t := node.GetToken(); t != nil {
		return t.Position
	}
	return nil
}

// reportUndecoded adds a finding for a value that could not be decoded and
// records its location for Undecoded.
func (d *Decoder) reportUndecoded(node ast.Node, format string, args ...any) {
	if p := Position(node); p != nil {
		d.undecoded[location{p.Line, p.Column}] = true
	}
	d.AddFinding(Position(node), format, args...)
}

// Undecoded reports whether the value at p has a finding because it could not
// be decoded. Callers then omit checks of the value, whose findings would only
// repeat that error.
func (d *Decoder) Undecoded(p *token.Position) bool {
	return p != nil && d.undecoded[location{p.Line, p.Column}]
}

func (d *Decoder) describeNode(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "named fields"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "nothing"
	}
	if d.options.HideValues {
		return "something else"
	}
	return node.String()
}

// Suggestion returns "; did you mean X?" for the candidate that is most similar
// to got, or "" if none is similar enough. The edit distance, which ignores
// case, may be at most a third of the length of got; 1 is always allowed.
func Suggestion(got string, candidates []string) string {
	best, distance := "", max(1, len(got)/3)+1
	for _, c := range candidates {
		if n := levenshtein.ComputeDistance(strings.ToLower(got), strings.ToLower(c)); n < distance {
			best, distance = c, n
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// textDuration is a time.Duration that is encoded as text such as "1.5s". A
// number without a unit is refused, because it would mean nanoseconds.
type textDuration time.Duration

func (d *textDuration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q: want a number with a unit, such as 1.5s or 200ms", text)
	}
	*d = textDuration(parsed)
	return nil
}
