// Package yamlcheck reads YAML documents into structs and reports every finding
// with its line and column, and with the nearest known name for a field that
// does not exist. Bundles and node settings share it.
package yamlcheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const (
	// maxFlowDepth bounds nested [ and {. The formats need five levels; the
	// YAML parser recurses once per level, so that unbounded input could
	// exhaust the stack.
	maxFlowDepth = 16
	// maxEntryColumn bounds the column of a "-" for the same reason: "- - - "
	// nests one level every two columns.
	maxEntryColumn = 64
)

// Finding is one fault of a document.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String returns FILE:LINE:COLUMN: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Len returns the number of findings so far, repeated ones included.
func (d *Decoder) Len() int { return len(d.findings) }

// Findings returns every finding once, ordered by place.
func (d *Decoder) Findings() []Finding {
	slices.SortStableFunc(d.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Message, b.Message))
	})
	d.findings = slices.Compact(d.findings)
	return d.findings
}

// Parse returns the root node of the only document, or nil and a finding.
func (d *Decoder) Parse(content []byte) ast.Node {
	if len(content) > d.options.MaxSize {
		d.AddAt(nil, "the %s is %d bytes long; at most %d are allowed", d.options.What, len(content), d.options.MaxSize)
		return nil
	}
	tokens := lexer.Tokenize(string(content))
	if !d.accept(tokens) {
		return nil
	}
	// Duplicate keys are reported by decode, with all other findings.
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxError(err)
		return nil
	}
	var root ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			d.AddAt(Position(doc.Body), "a %s is one YAML document; a second one starts here", d.options.What)
			return nil
		}
		root = doc.Body
	}
	if root == nil {
		d.AddAt(nil, "the %s is empty", d.options.What)
	}
	return root
}

// accept refuses YAML features that the format does not use before the parser
// sees them: anchors and aliases can multiply the size of a document, and deep
// nesting can exhaust the parser's stack.
func (d *Decoder) accept(tokens token.Tokens) bool {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.DirectiveType, token.MappingKeyType:
			d.AddAt(t.Position, "anchors, aliases, merge keys, tags, directives and complex keys are not supported")
			return false
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType:
			if t.Position.Column > maxEntryColumn {
				depth = maxFlowDepth + 1
			}
		}
		if depth > maxFlowDepth {
			d.AddAt(t.Position, "nested too deeply")
			return false
		}
	}
	return true
}

func (d *Decoder) syntaxError(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		d.AddAt(syntax.Token.Position, "%s", syntax.Message)
		return
	}
	d.AddAt(nil, "%s", err)
}

// AddAt records a finding. Without a position it concerns the whole file.
func (d *Decoder) AddAt(p *token.Position, format string, args ...any) {
	line, column := 1, 1
	if p != nil {
		line, column = max(p.Line, 1), max(p.Column, 1)
	}
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Column: column, Message: fmt.Sprintf(format, args...),
	})
}
