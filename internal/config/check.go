package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Finding is one problem of a settings file.
type Finding struct {
	File         string
	Line, Column int
	Message      string
}

// String returns FILE:LINE:COLUMN: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

type checker struct {
	file     string
	content  []byte
	tree     *ast.File
	findings []Finding
}

func newChecker(file string, content []byte) *checker {
	return &checker{file: file, content: content}
}

// decode fills s and reports whether the file could be read as settings.
func (c *checker) decode(s *Settings) bool {
	tree, err := parser.ParseBytes(c.content, 0)
	if err != nil {
		c.addError(err)
		return false
	}
	c.tree = tree
	if err := yaml.UnmarshalWithOptions(c.content, s, yaml.DisallowUnknownField()); err != nil {
		c.addError(err)
		return false
	}
	return true
}

func (c *checker) addError(err error) {
	f := Finding{File: c.file, Line: 1, Column: 1, Message: err.Error()}
	var at yaml.Error
	if errors.As(err, &at) {
		f.Message = at.GetMessage()
		if t := at.GetToken(); t != nil {
			f.Line, f.Column = t.Position.Line, t.Position.Column
		}
	}
	c.findings = append(c.findings, f)
}

// add records a finding at the value that path names. Where the value is
// missing, the place is that of the nearest parent that exists.
func (c *checker) add(path, format string, args ...any) {
	f := Finding{File: c.file, Line: 1, Column: 1, Message: path[len("$."):] + ": " + fmt.Sprintf(format, args...)}
	if node := c.nearest(path); node != nil {
		f.Line, f.Column = node.GetToken().Position.Line, node.GetToken().Position.Column
	}
	c.findings = append(c.findings, f)
}

func (c *checker) nearest(path string) ast.Node {
	for len(path) > len("$") {
		if p, err := yaml.PathString(path); err == nil {
			if node, err := p.FilterFile(c.tree); err == nil && node != nil {
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
