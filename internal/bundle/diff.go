package bundle

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two bundles.
type Change struct {
	// Path names the value, such as services[indices].floor.
	Path string `json:"path"`
	// Old is empty for an added value, New for a removed one.
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns the change as one line of readable text.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff lists the differences between two bundles: removed and changed values
// in the order of old, then added values in the order of new. List entries are
// compared by name, routes by method and path; the order of entries counts
// only for routes, where the first match applies.
func Diff(old, new *Bundle) []Change {
	before, after := flatten(old), flatten(new)
	var changes []Change
	for _, path := range before.order {
		if value, ok := after.values[path]; !ok || value != before.values[path] {
			changes = append(changes, Change{Path: path, Old: before.values[path], New: value})
		}
	}
	for _, path := range after.order {
		if _, ok := before.values[path]; !ok {
			changes = append(changes, Change{Path: path, New: after.values[path]})
		}
	}
	return append(changes, routeOrder(old, new)...)
}

// routeOrder returns one change for each service whose common routes are in a
// different order in the two bundles.
func routeOrder(old, new *Bundle) []Change {
	var changes []Change
	for i := range old.Services {
		after := new.Service(old.Services[i].Name)
		if after == nil {
			continue
		}
		oldOrder, newOrder := commonRoutes(&old.Services[i], after), commonRoutes(after, &old.Services[i])
		if oldOrder != newOrder {
			changes = append(changes, Change{Path: "services[" + after.Name + "].routes order", Old: oldOrder, New: newOrder})
		}
	}
	return changes
}

// commonRoutes lists the routes of s that other also has, in the order of s.
func commonRoutes(s, other *Service) string {
	known := make(map[string]bool, len(other.Routes))
	for _, r := range other.Routes {
		known[r.Method+" "+r.Path] = true
	}
	var list []string
	for _, r := range s.Routes {
		if known[r.Method+" "+r.Path] {
			list = append(list, r.Method+" "+r.Path)
		}
	}
	return strings.Join(list, ", ")
}

// flatBundle holds the paths of a bundle's values in document order, and the
// printed value at each path.
type flatBundle struct {
	order  []string
	values map[string]string
}

func flatten(b *Bundle) *flatBundle {
	f := &flatBundle{values: make(map[string]string)}
	f.add("", reflect.ValueOf(b).Elem())
	return f
}

func (f *flatBundle) add(path string, v reflect.Value) {
	if v.Kind() == reflect.Pointer {
		if !v.IsNil() {
			f.add(path, v.Elem())
		}
		return
	}
	if _, ok := v.Interface().(encoding.TextMarshaler); ok || v.Kind() != reflect.Struct && v.Kind() != reflect.Slice {
		f.set(path, fmt.Sprint(v.Interface()))
		return
	}
	if v.Kind() == reflect.Slice {
		for i := range v.Len() {
			f.add(path+"["+entryName(v.Index(i))+"]", v.Index(i))
		}
		return
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		switch {
		case field.Anonymous:
			f.add(path, v.Field(i))
		case name == "" || v.Field(i).Kind() == reflect.Struct && v.Field(i).IsZero():
		case path == "":
			f.add(name, v.Field(i))
		default:
			f.add(path+"."+name, v.Field(i))
		}
	}
}

func (f *flatBundle) set(path, value string) {
	if value == "" {
		value = `""`
	}
	if _, ok := f.values[path]; !ok {
		f.order = append(f.order, path)
	}
	f.values[path] = value
}

// entryName returns the text that identifies a list entry in a path.
func entryName(v reflect.Value) string {
	switch entry := v.Interface().(type) {
	case Route:
		return entry.Method + " " + entry.Path
	case string:
		return entry
	case KeyHash:
		return entry.String()
	default:
		return v.FieldByName("Name").String()
	}
}
