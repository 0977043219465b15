package platform

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// Guards against one object that cannot be decoded and makes all others of a
// list or watch unreadable.
func TestDecodeChangesSkipsOddObjects(t *testing.T) {
	for _, odd := range []string{
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), `null`, `5`, `{"key":"k","version":12345678901234567890123}`,
		`{"key":7}`, "{\"key\":\"\xff\"}", `"]},{"`,
	} {
		page, err := defaultProtocol{}.DecodeChanges("", []byte(`{"revision":9,"objects":[{"key":"a","version":1},`+odd+`,{"key":"b","version":2}]}`))
		if err != nil || len(page.Objects) != 2 || page.Malformed != 1 || page.Revision != 9 {
			t.Errorf("%.40s: %+v, %v", odd, page, err)
		}
	}
}

// FuzzJSONParts compares the parts of a valid JSON array or object with those
// that encoding/json finds.
func FuzzJSONParts(f *testing.F) {
	for _, seed := range []string{`[]`, ` [1, "a\"]", {"b":[2,3]} ,null]`, `{}`, `{"a" : {"b":"}"}, "a":2, "\u0061b":[ ]}`, `[1,`, `{"a"}`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		elements, err := JSONElements(json.RawMessage(s))
		var wantElements []json.RawMessage
		if json.Unmarshal([]byte(s), &wantElements) == nil && !strings.HasPrefix(strings.TrimSpace(s), "null") {
			if err != nil || len(elements) != len(wantElements) {
				t.Fatalf("elements %q, %v, want %q", elements, err, wantElements)
			}
			for i := range elements {
				if got := strings.TrimSpace(string(elements[i])); got != string(wantElements[i]) {
					t.Fatalf("element %q, want %q", got, wantElements[i])
				}
			}
		}
		members, err := JSONMembers(json.RawMessage(s))
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal([]byte(s), &wantMembers) == nil && wantMembers != nil {
			for name, raw := range members {
				members[name] = json.RawMessage(strings.TrimSpace(string(raw)))
			}
			if err != nil || !reflect.DeepEqual(members, wantMembers) {
				t.Fatalf("members %q, %v, want %q", members, err, wantMembers)
			}
		}
	})
}
