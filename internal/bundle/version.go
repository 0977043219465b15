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

// WithVersion returns content with its version replaced. Everything else,
// including comments, stays unchanged.
func WithVersion(content []byte, version uint64) ([]byte, error) {
	old, findings := Parse("bundle", content)
	if old == nil {
		return nil, fmt.Errorf("%w: %s", ErrContent, findings[0])
	}
	match := versionLine.FindSubmatchIndex(content)
	if match == nil {
		return nil, errors.New("the bundle has no top-level version line in block style")
	}
	changed := append([]byte(nil), content[:match[3]]...)
	changed = strconv.AppendUint(changed, version, 10)
	changed = append(changed, content[match[1]:]...)
	b, findings := Parse("bundle", changed)
	if b == nil {
		return nil, fmt.Errorf("set version: %s", findings[0])
	}
	if b.Version != version {
		return nil, errors.New("replacing the version line did not change the version of the bundle")
	}
	return changed, nil
}
