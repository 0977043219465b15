package config

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"siskinvale.dev/siskinvale/internal/yamlcheck"
)

// maxSize is the size limit of a settings file in bytes. A file with hundreds
// of peers and keys has about 100 KB.
const maxSize = 1 << 20

// Finding is one problem in a settings file, with its position.
type Finding = yamlcheck.Finding

// checker decodes and checks settings. The decoder's findings contain no
// values, because a secret may have been written into the wrong field.
type checker struct {
	*yamlcheck.Decoder
	root ast.Node
}

func newChecker(file string) *checker {
	return &checker{Decoder: yamlcheck.NewDecoder(file, yamlcheck.Options{
		DocumentName: "settings file", MaxSize: maxSize, AllowMissing: true, HideValues: true,
	})}
}

// decode fills s and reports whether content is valid YAML. Fields that cannot
// be decoded are recorded as findings.
func (c *checker) decode(content []byte, s *Settings) bool {
	if c.root = c.Parse(content); c.root == nil {
		return false
	}
	c.Decode(c.root, s)
	return true
}

// addFinding records a finding at the position of the value at path, or of its
// nearest existing parent if the value is missing. It records nothing for a
// value that could not be decoded, because the decoder has already reported it.
func (c *checker) addFinding(path, format string, args ...any) {
	message := path[len("$."):] + ": " + fmt.Sprintf(format, args...)
	node := c.nearestNode(path)
	if node == nil {
		c.AddFinding(nil, "%s", message)
		return
	}
	if at := yamlcheck.Position(node); !c.Undecoded(at) {
		c.AddFinding(at, "%s", message)
	}
}

// nearestNode returns the node at path or its nearest existing parent, nil if
// there is neither.
func (c *checker) nearestNode(path string) ast.Node {
	for len(path) > len("$") {
		if p, err := yaml.PathString(path); err == nil {
			if node, err := p.FilterNode(c.root); err == nil && node != nil {
				return node
			}
		}
		path = parentPath(path)
	}
	return nil
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return "$"
}

func (c *checker) checkRequired(path, value string) {
	if value == "" {
		c.addFinding(path, "a value is needed")
	}
}

func (c *checker) checkAddress(path, addr string) {
	if addr == "" {
		c.checkRequired(path, "")
		return
	}
	if err := validateAddress(addr); err != nil {
		c.addFinding(path, "%v", err)
	}
}

func (c *checker) checkPositive(path string, value any) {
	ok := true
	switch v := value.(type) {
	case time.Duration:
		ok = v > 0
	case int:
		ok = v > 0
	case int64:
		ok = v > 0
	}
	if !ok {
		c.addFinding(path, "%v must be above zero", value)
	}
}
