package platform

import (
	"encoding/json"
	"errors"
	"unicode/utf8"
)

// errJSONParts means that the parts of a JSON array or object cannot be told
// apart.
var errJSONParts = errors.New("unbalanced JSON")

// DecodeElement decodes one part of an answer into v. Unlike json.Unmarshal it
// refuses text that is not UTF-8, which json.Unmarshal would change.
func DecodeElement(raw json.RawMessage, v any) error {
	if !utf8.Valid(raw) {
		return errors.New("not UTF-8")
	}
	return json.Unmarshal(raw, v)
}

// JSONElements returns the elements of a JSON array without decoding them, so
// that an element from another writer that cannot be decoded, for example
// because it is nested too deeply, does not make the others unreadable. It has
// no limit of depth and does not recurse.
func JSONElements(array json.RawMessage) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := splitJSON(array, '[', ']', func(part json.RawMessage) error {
		elements = append(elements, part)
		return nil
	})
	return elements, err
}

// JSONMembers returns the members of a JSON object by name without decoding
// their values, see JSONElements. Of several members with one name, the last
// one counts.
func JSONMembers(object json.RawMessage) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	err := splitJSON(object, '{', '}', func(part json.RawMessage) error {
		end := skipValue(part, 0)
		var name string
		if err := json.Unmarshal(part[:end], &name); err != nil {
			return err
		}
		at := skipSpace(part, end)
		if at == len(part) || part[at] != ':' {
			return errJSONParts
		}
		members[name] = part[skipSpace(part, at+1):]
		return nil
	})
	return members, err
}

// splitJSON calls f with each of the parts between the brackets that commas
// separate.
func splitJSON(raw json.RawMessage, open, closing byte, f func(part json.RawMessage) error) error {
	at := skipSpace(raw, 0)
	if at == len(raw) || raw[at] != open {
		return errJSONParts
	}
	start := skipSpace(raw, at+1)
	for at = start; at < len(raw); {
		switch raw[at] {
		case ',', closing:
			if at > start {
				if err := f(raw[start:at]); err != nil {
					return err
				}
			}
			if raw[at] == closing {
				return nil
			}
			at = skipSpace(raw, at+1)
			start = at
		default:
			at = skipSpace(raw, skipValue(raw, at))
		}
	}
	return errJSONParts
}

// skipValue returns the index after the string, the bracketed value or the
// single other byte at the index at.
func skipValue(raw json.RawMessage, at int) int {
	depth := 0
	for at < len(raw) {
		switch raw[at] {
		case '"':
			at = skipString(raw, at)
		case '[', '{':
			depth++
			at++
		case ']', '}':
			depth--
			at++
		default:
			at++
		}
		if depth <= 0 {
			return at
		}
	}
	return at
}

// skipString returns the index after the string that starts at the index at.
func skipString(raw json.RawMessage, at int) int {
	for at++; at < len(raw); at++ {
		switch raw[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return len(raw)
}

func skipSpace(raw json.RawMessage, at int) int {
	for at < len(raw) && (raw[at] == ' ' || raw[at] == '\t' || raw[at] == '\n' || raw[at] == '\r') {
		at++
	}
	return at
}
