package bundle

import (
	"encoding"
	"reflect"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decoder fills structs from a YAML tree. Unlike the library's own strict
// decoder, it continues after a fault and remembers where each value came
// from, so that all findings are reported together with their location.
type decoder struct {
	file     string
	findings []Finding
	// positions maps the address of each correctly decoded value to its
	// location. The address is typed, so that a struct and its first field
	// differ.
	positions map[any]*token.Position
	fields    map[reflect.Type][]field
	strings   map[string]string
}

// field is one key of a mapping.
type field struct {
	name     string
	index    []int
	optional bool
}

func newDecoder(file string) *decoder {
	return &decoder{file: file, positions: make(map[any]*token.Position), fields: make(map[reflect.Type][]field), strings: make(map[string]string)}
}

// intern returns a copy of s that equal values share. A bundle repeats methods
// and class names thousands of times, and the original may be a part of the
// whole text.
func (d *decoder) intern(s string) string {
	known, ok := d.strings[s]
	if !ok {
		known = strings.Clone(s)
		d.strings[known] = known
	}
	return known
}

// decode fills the struct that target points to.
func (d *decoder) decode(root ast.Node, target any) {
	d.value(root, reflect.ValueOf(target).Elem(), "the bundle")
}

func (d *decoder) value(node ast.Node, v reflect.Value, name string) {
	address := v.Addr().Interface()
	if text, ok := address.(encoding.TextUnmarshaler); ok {
		d.text(node, text, name)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(node, v, name)
	case reflect.Slice:
		d.sequence(node, v, name)
	default:
		if want := d.scalar(node, v); want != "" {
			d.addAt(position(node), "%s: want %s, found %s", name, want, describe(node))
			return
		}
		d.positions[address] = position(node)
	}
}

func (d *decoder) text(node ast.Node, into encoding.TextUnmarshaler, name string) {
	text := node.String()
	if s, ok := node.(*ast.StringNode); ok {
		text = s.Value
	} else if _, ok := node.(ast.ScalarNode); !ok {
		d.addAt(position(node), "%s: want a single value, found %s", name, describe(node))
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.addAt(position(node), "%s: %s", name, err)
		return
	}
	d.positions[into] = position(node)
}

// scalar sets v and returns "", or returns what it wanted.
func (d *decoder) scalar(node ast.Node, v reflect.Value) string {
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
	var positive uint64
	switch x := value.(type) {
	case int64:
		if v.CanInt() {
			v.SetInt(x)
			return v.Int() == x
		}
		if x < 0 {
			return false
		}
		positive = uint64(x)
	case uint64:
		positive = x
	default:
		return false
	}
	if v.CanInt() {
		v.SetInt(int64(positive))
		return v.Int() >= 0 && uint64(v.Int()) == positive
	}
	v.SetUint(positive)
	return v.Uint() == positive
}

func (d *decoder) sequence(node ast.Node, v reflect.Value, name string) {
	n, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addAt(position(node), "%s: want a list, found %s", name, describe(node))
		return
	}
	d.positions[v.Addr().Interface()] = position(node)
	// The slice gets its final length first, so that the addresses of its
	// elements stay valid.
	v.Set(reflect.MakeSlice(v.Type(), len(n.Values), len(n.Values)))
	for i, element := range n.Values {
		if element == nil {
			d.addAt(position(node), "%s: entry %d is empty", name, i+1)
			continue
		}
		d.value(element, v.Index(i), "entry of "+name)
	}
}

func (d *decoder) mapping(node ast.Node, v reflect.Value, name string) {
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		d.addAt(position(node), "%s: want named fields, found %s", name, describe(node))
		return
	}
	d.positions[v.Addr().Interface()] = position(node)
	fields := d.fieldsOf(v.Type())
	seen := make([]bool, len(fields))
	for _, entry := range entries {
		d.entry(entry, v, fields, seen, name)
	}
	for i, f := range fields {
		if !seen[i] && !f.optional {
			d.addAt(position(node), "%s: missing field %s", name, f.name)
		}
	}
}

func (d *decoder) entry(entry *ast.MappingValueNode, v reflect.Value, fields []field, seen []bool, name string) {
	key := keyName(entry.Key)
	for i, f := range fields {
		if f.name != key {
			continue
		}
		if seen[i] {
			d.addAt(entry.Key.GetToken().Position, "%s: field %s is given twice", name, key)
			return
		}
		seen[i] = true
		if entry.Value == nil {
			d.addAt(entry.Key.GetToken().Position, "%s: field %s is empty", name, key)
			return
		}
		d.value(entry.Value, v.FieldByIndex(f.index), key)
		return
	}
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	d.addAt(entry.Key.GetToken().Position, "unknown field %s%s", key, suggestion(key, names))
}

// fieldsOf lists the keys of a struct type, with those of embedded structs.
func (d *decoder) fieldsOf(t reflect.Type) []field {
	if known, ok := d.fields[t]; ok {
		return known
	}
	var fields []field
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			for _, inner := range d.fieldsOf(f.Type) {
				inner.index = append([]int{i}, inner.index...)
				fields = append(fields, inner)
			}
			continue
		}
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
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

// position returns where a node starts. The token of a block mapping is its
// first colon, so the first key is used instead.
func position(node ast.Node) *token.Position {
	switch n := node.(type) {
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return position(n.Values[0])
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken().Position
	}
	if t := node.GetToken(); t != nil {
		return t.Position
	}
	return nil
}

func describe(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "named fields"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "nothing"
	}
	return node.String()
}

// suggestion returns "; did you mean X?" for the nearest candidate, or "" when
// none is near: at most a third of the characters, and at least one, may differ.
func suggestion(got string, candidates []string) string {
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
