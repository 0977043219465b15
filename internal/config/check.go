package config

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"siskinvale.dev/siskinvale/internal/yamlcheck"
)

// maxSize bounds a settings file in bytes; one with hundreds of peers and keys
// takes about 100 KB.
const maxSize = 1 << 20

// Finding is one problem of a settings file.
type Finding = yamlcheck.Finding

// checker checks decoded settings. Values do not appear in the findings of the
// decoder, because a secret may stand in a wrong place.
type checker struct {
	*yamlcheck.Decoder
	root ast.Node
}

func newChecker(file string) *checker {
	return &checker{Decoder: yamlcheck.NewDecoder(file, yamlcheck.Options{
		What: "settings file", MaxSize: maxSize, Optional: true, HideValues: true,
	})}
}

// decode fills s and reports whether the file could be read as YAML.
func (c *checker) decode(content []byte, s *Settings) bool {
	if c.root = c.Parse(content); c.root == nil {
		return false
	}
	c.Decode(c.root, s)
	return true
}

// add records a finding at the value that path names. Where the value is
// missing, the place is that of the nearest parent that exists. A value that
// could not be decoded has its finding already.
func (c *checker) add(path, format string, args ...any) {
	message := path[len("$."):] + ": " + fmt.Sprintf(format, args...)
	node := c.nearest(path)
	if node == nil {
		c.AddAt(nil, "%s", message)
		return
	}
	if at := yamlcheck.Position(node); !c.Undecoded(at) {
		c.AddAt(at, "%s", message)
	}
}

func (c *checker) nearest(path string) ast.Node {
	for len(path) > len("$") {
		if p, err := yaml.PathString(path); err == nil {
			if node, err := p.FilterNode(c.root); err == nil && node != nil {
				return node
			}
		}
		path = parent(path)
	}
	return nil
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return "$"
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(path, "a value is needed")
	}
}

func (c *checker) address(path, addr string) {
	if addr == "" {
		c.required(path, "")
		return
	}
	if err := validAddress(addr); err != nil {
		c.add(path, "%v", err)
	}
}

func (c *checker) positive(path string, value any) {
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
		c.add(path, "%v must be above zero", value)
	}
}
