package bundle

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// serviceBatch is how many services are parsed as one document. The tree that
// the YAML library builds is far larger than the text: parsing 1,200 services
// with 18,000 routes (1.6 MB) took 164 MB of resident memory as one document,
// above a node's limit of 128 MB, and 57 MB in batches.
const serviceBatch = 32

// placeholderHead holds the other required fields of a document that is parsed
// only for its services.
const placeholderHead = "name: x\nversion: 1\nsigners: {authors: [a], approvers: [b]}\ndataCentres: [{name: x, region: x}]\n" +
	"tenants: {default: {requestsPerSecond: 1, burst: 1, weight: 1}}\n"

// IncrementalParser parses successive versions of a bundle. It parses only the
// services whose text changed since the previous version and gives the same
// result as the function Parse. An IncrementalParser must not be used by
// several goroutines at the same time; the bundles that it returns may be used
// by several goroutines.
type IncrementalParser struct {
	// services holds the services of the previous bundle by the SHA-256 of
	// their text.
	services map[[sha256.Size]byte]*serviceIndex
}

// Parse does the same as the function Parse.
//
// A document in block style is split into its services, which are independent
// of each other except for their names. A document that cannot be split safely,
// or that has findings, is parsed as a whole.
func (p *IncrementalParser) Parse(file string, content []byte) (*Bundle, []Finding) {
	if parts, ok := splitServices(content); ok && len(content) <= MaxSize {
		if b := p.parseParts(parts); b != nil {
			return b, nil
		}
	}
	return parseDocument(file, content)
}

// parseParts parses the changed services and reuses the others. It returns nil
// when the document has findings or must be parsed as a whole.
func (p *IncrementalParser) parseParts(parts documentParts) *Bundle {
	current := make(map[[sha256.Size]byte]*serviceIndex, len(parts.services))
	digests := make([][sha256.Size]byte, len(parts.services))
	var changed []int
	for i, text := range parts.services {
		digests[i] = sha256.Sum256(text)
		if s := p.services[digests[i]]; s != nil {
			current[digests[i]] = s
		} else {
			changed = append(changed, i)
		}
	}
	// The text around the services is parsed with one service, because a bundle
	// needs at least one.
	b := parts.parseWith([][]byte{parts.services[0]})
	if b == nil {
		return nil
	}
	for batch := range slices.Chunk(changed, serviceBatch) {
		texts := make([][]byte, len(batch))
		for n, i := range batch {
			texts[n] = parts.services[i]
		}
		parsed := documentParts{head: []byte(placeholderHead)}.parseWith(texts)
		if parsed == nil {
			return nil
		}
		for n, i := range batch {
			// A pointer into parsed.Services would keep the whole batch in
			// memory.
			s := parsed.Services[n]
			current[digests[i]] = newServiceIndex(&s)
		}
	}
	b.Services = make([]Service, len(digests))
	b.index = emptyIndex(b)
	for i, digest := range digests {
		s := current[digest]
		b.Services[i] = *s.service
		b.index.services[s.service.Name] = s
	}
	if len(b.index.services) != len(b.Services) {
		return nil // Two services have the same name.
	}
	p.services = current
	return b
}

// documentParts is a bundle document split into the text of each service and
// the text before and after the list of services.
type documentParts struct {
	head, tail []byte
	services   [][]byte
}

// parseWith parses head and tail together with some services. It returns nil
// when there are findings, when a value may span lines, or when the number of
// parsed services differs from the number of texts.
func (d documentParts) parseWith(services [][]byte) *Bundle {
	text := slices.Concat(d.head, []byte("services:\n"), bytes.Join(services, nil), d.tail)
	if !valuesOnOneLine(text) {
		return nil
	}
	b, _ := parseDocument("", text)
	if b == nil || len(b.Services) != len(services) {
		return nil
	}
	return b
}

// splitServices splits a document at the entries of its top-level list
// services. It reports false when the document does not have exactly one such
// list in block style with consistent indentation.
func splitServices(content []byte) (parts documentParts, ok bool) {
	listStart, indent := -1, -1
	offset, entryStart := 0, 0
	for line := range bytes.Lines(content) {
		lineStart := offset
		offset += len(line)
		text := bytes.TrimLeft(line, " ")
		if len(text) == 0 || text[0] == '#' || text[0] == '\n' {
			continue
		}
		column := len(line) - len(text)
		switch {
		case parts.tail != nil || listStart < 0:
			if bytes.HasPrefix(line, []byte("services:")) || bytes.HasPrefix(line, []byte("---")) || bytes.HasPrefix(line, []byte("...")) {
				if listStart >= 0 || string(bytes.TrimSpace(stripComment(line))) != "services:" {
					return parts, false
				}
				parts.head, listStart = content[:lineStart], offset
			}
		case bytes.HasPrefix(text, []byte("- ")) && (indent < 0 || column == indent):
			if indent >= 0 {
				parts.services = append(parts.services, content[entryStart:lineStart])
			}
			indent, entryStart = column, lineStart
		case indent < 0:
			return parts, false
		case column == 0:
			parts.services = append(parts.services, content[entryStart:lineStart])
			parts.tail = content[lineStart:]
			if bytes.HasPrefix(line, []byte("services:")) {
				return parts, false
			}
		case column <= indent:
			return parts, false
		}
	}
	if indent >= 0 && parts.tail == nil {
		if entryStart < len(content) && content[len(content)-1] != '\n' {
			return parts, false
		}
		parts.services = append(parts.services, content[entryStart:])
	}
	return parts, len(parts.services) > 0
}

// valuesOnOneLine reports whether no value spans lines, apart from plain
// scalars and block collections, whose extent follows from the indentation.
// Only in such a document does the text of one service have the same meaning on
// its own as within the document.
func valuesOnOneLine(text []byte) bool {
	if bytes.ContainsAny(text, "\t\r\u0085\u2028\u2029\ufeff") {
		return false
	}
	for line := range bytes.Lines(text) {
		line = stripComment(line)
		if bytes.ContainsAny(line, "\"'|>!&*%?@`") && !onlyPrefixStars(line) {
			return false
		}
		if bytes.Count(line, []byte("{")) != bytes.Count(line, []byte("}")) ||
			bytes.Count(line, []byte("[")) != bytes.Count(line, []byte("]")) {
			return false
		}
		if bytes.HasPrefix(line, []byte("---")) || bytes.HasPrefix(line, []byte("...")) {
			return false
		}
	}
	return true
}

// onlyPrefixStars reports whether the only special characters of a line are the
// "*" at the end of path prefixes.
func onlyPrefixStars(line []byte) bool {
	line = bytes.ReplaceAll(line, []byte("/*"), nil)
	return !bytes.ContainsAny(line, "\"'|>!&*%?@`")
}

// stripComment returns a line without its comment. Quoted text that contains
// " #" is cut as well; its opening quote remains, so valuesOnOneLine refuses
// the line.
func stripComment(line []byte) []byte {
	if text := bytes.TrimLeft(line, " "); len(text) > 0 && text[0] == '#' {
		return nil
	}
	if i := bytes.Index(line, []byte(" #")); i >= 0 {
		return line[:i]
	}
	return line
}
