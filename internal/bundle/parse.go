package bundle

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
	// maxFlowDepth bounds nested [ and {. The format needs five levels; the
	// YAML parser recurses once per level, so that unbounded input could
	// exhaust the stack.
	maxFlowDepth = 16
	// maxEntryColumn bounds the column of a "-" for the same reason: "- - - "
	// nests one level every two columns.
	maxEntryColumn = 64
)

// Parse reads a bundle and returns every finding; the bundle is nil when there
// is one. Only a syntax error hides later findings. The file name is used in
// findings alone.
func Parse(file string, content []byte) (*Bundle, []Finding) {
	return new(Reader).Parse(file, content)
}

// parseWhole parses the whole document as one.
func parseWhole(file string, content []byte) (*Bundle, []Finding) {
	d := newDecoder(file)
	root := d.parse(content)
	if root == nil {
		return nil, d.findings
	}
	b := &Bundle{}
	d.decode(root, b)
	v := validator{decoder: d}
	v.bundle(b)
	if len(d.findings) > 0 {
		slices.SortStableFunc(d.findings, func(a, b Finding) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Message, b.Message))
		})
		return nil, slices.Compact(d.findings)
	}
	b.index = newIndex(b)
	return b, nil
}

// parse returns the root node of the only document, or nil and a finding.
func (d *decoder) parse(content []byte) ast.Node {
	if len(content) > MaxSize {
		d.addAt(nil, "the bundle is %d bytes long; at most %d are allowed", len(content), MaxSize)
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
			d.addAt(position(doc.Body), "a bundle is one YAML document; a second one starts here")
			return nil
		}
		root = doc.Body
	}
	if root == nil {
		d.addAt(nil, "the bundle is empty")
	}
	return root
}

// accept refuses YAML features that the format does not use before the parser
// sees them: anchors and aliases can multiply the size of a document, and deep
// nesting can exhaust the parser's stack.
func (d *decoder) accept(tokens token.Tokens) bool {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.DirectiveType, token.MappingKeyType:
			d.addAt(t.Position, "anchors, aliases, merge keys, tags, directives and complex keys are not supported")
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
			d.addAt(t.Position, "nested too deeply")
			return false
		}
	}
	return true
}

func (d *decoder) syntaxError(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		d.addAt(syntax.Token.Position, "%s", syntax.Message)
		return
	}
	d.addAt(nil, "%s", err)
}

// addAt records a finding. Without a position it concerns the whole file.
func (d *decoder) addAt(p *token.Position, format string, args ...any) {
	line, column := 1, 1
	if p != nil {
		line, column = max(p.Line, 1), max(p.Column, 1)
	}
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Column: column, Message: fmt.Sprintf(format, args...),
	})
}
