package bundle

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
)

// versionLine matches the version of a bundle in block style. A line of a
// nested mapping is indented and does not match.
var versionLine = regexp.MustCompile(`(?m)^("?version"?[ \t]*:[ \t]*)[0-9]+`)

// WithVersion returns content with another version and everything else,
// comments included, unchanged.
func WithVersion(content []byte, version uint64) ([]byte, error) {
	old, findings := Parse("bundle", content)
	if old == nil {
		return nil, fmt.Errorf("%w: %s", ErrContent, findings[0])
	}
	match := versionLine.FindSubmatchIndex(content)
	if match == nil {
		return nil, errors.New("the bundle has no version line of its own")
	}
	changed := append([]byte(nil), content[:match[3]]...)
	changed = strconv.AppendUint(changed, version, 10)
	changed = append(changed, content[match[1]:]...)
	b, findings := Parse("bundle", changed)
	if b == nil {
		return nil, fmt.Errorf("set version: %s", findings[0])
	}
	if b.Version != version {
		return nil, errors.New("the bundle's version could not be replaced")
	}
	return changed, nil
}
