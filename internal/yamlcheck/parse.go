// Package yamlcheck decodes YAML documents into structs and reports every
// finding with its line and column. For an unknown field it suggests the most
// similar known name. Bundles and node settings use it.
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
	// maxFlowDepth bounds the nesting of [ and {. The formats need five levels.
	// The YAML parser recurses once per level, so unbounded nesting could
	// exhaust the stack.
	maxFlowDepth = 16
	// maxEntryColumn is the largest column of a list entry's "-". It bounds the
	// nesting of block lists for the same reason: "- - - " nests one level every
	// two columns.
	maxEntryColumn = 64
)

// Finding is one error in a document, with its location.
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

// FindingCount returns the number of findings so far, including duplicates.
func (d *Decoder) FindingCount() int { return len(d.findings) }

// Findings returns all findings without duplicates, ordered by line, column and
// message.
func (d *Decoder) Findings() []Finding {
	slices.SortStableFunc(d.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Message, b.Message))
	})
	d.findings = slices.Compact(d.findings)
	return d.findings
}

// Parse parses content and returns the root node of its only document. On an
// error it adds a finding and returns nil.
func (d *Decoder) Parse(content []byte) ast.Node {
	if len(content) > d.options.MaxSize {
		d.AddFinding(nil, "the %s is %d bytes long; at most %d are allowed", d.options.DocumentName, len(content), d.options.MaxSize)
		return nil
	}
	tokens := lexer.Tokenize(string(content))
	if !d.checkTokens(tokens) {
		return nil
	}
	// Decode reports duplicate keys together with all other findings.
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	var root ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			d.AddFinding(Position(doc.Body), "a %s is one YAML document; a second one starts here", d.options.DocumentName)
			return nil
		}
		root = doc.Body
	}
	if root == nil {
		d.AddFinding(nil, "the %s is empty", d.options.DocumentName)
	}
	return root
}

// checkTokens adds a finding and returns false for YAML features that the
// formats do not use. It runs before the parser, because anchors and aliases can
// multiply the size of a document, and deep nesting can exhaust the parser's
// stack.
func (d *Decoder) checkTokens(tokens token.Tokens) bool {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.DirectiveType, token.MappingKeyType:
			d.AddFinding(t.Position, "anchors, aliases, merge keys, tags, directives and complex keys are not supported")
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
			d.AddFinding(t.Position, "nested too deeply")
			return false
		}
	}
	return true
}

func (d *Decoder) addSyntaxError(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		d.AddFinding(syntax.Token.Position, "%s", syntax.Message)
		return
	}
	d.AddFinding(nil, "%s", err)
}

// AddFinding adds a finding at a position. A nil position stands for the whole
// file and is reported as line 1, column 1.
func (d *Decoder) AddFinding(p *token.Position, format string, args ...any) {
	line, column := 1, 1
	if p != nil {
		line, column = max(p.Line, 1), max(p.Column, 1)
	}
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Column: column, Message: fmt.Sprintf(format, args...),
	})
}
