package bundle

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// serviceBatch is how many services are parsed as one document. The tree that
// the YAML library builds is far larger than its text: parsing 1,200 services
// with 18,000 routes (1.6 MB) took 164 MB resident memory in one piece, above
// a node's share of 128 MB, and 57 MB in batches.
const serviceBatch = 32

// minimalHead completes a document that is parsed for its services alone.
const minimalHead = "name: x\nversion: 1\nsigners: {authors: [a], approvers: [b]}\ndataCentres: [{name: x, region: x}]\n" +
	"tenants: {default: {requestsPerSecond: 1, burst: 1, weight: 1}}\n"

// Reader parses successive versions of a bundle and parses only the services
// that changed since the last one. It gives the same result as Parse. A Reader
// must not be used by several goroutines at the same time; its bundles may.
type Reader struct {
	// services holds the services of the last bundle by the digest of their
	// text.
	services map[[sha256.Size]byte]*serviceIndex
}

// Parse reads a bundle like the function Parse.
//
// A document in block style is cut into its services, which are independent of
// each other except for their names. A document that cannot be cut safely, or
// that has findings, is parsed as a whole.
func (r *Reader) Parse(file string, content []byte) (*Bundle, []Finding) {
	if cut, ok := cutServices(content); ok && len(content) <= MaxSize {
		if b := r.parse(cut); b != nil {
			return b, nil
		}
	}
	return parseWhole(file, content)
}

// parse returns nil when the document has findings.
func (r *Reader) parse(c cutDocument) *Bundle {
	known := make(map[[sha256.Size]byte]*serviceIndex, len(c.services))
	order := make([][sha256.Size]byte, len(c.services))
	var missing []int
	for i, text := range c.services {
		order[i] = sha256.Sum256(text)
		if s := r.services[order[i]]; s != nil {
			known[order[i]] = s
		} else {
			missing = append(missing, i)
		}
	}
	// The rest of the document is parsed with one service, because a bundle
	// needs at least one.
	b := c.document([][]byte{c.services[0]})
	if b == nil {
		return nil
	}
	for batch := range slices.Chunk(missing, serviceBatch) {
		texts := make([][]byte, len(batch))
		for n, i := range batch {
			texts[n] = c.services[i]
		}
		parsed := cutDocument{head: []byte(minimalHead)}.document(texts)
		if parsed == nil {
			return nil
		}
		for n, i := range batch {
			// The service is copied, so that it does not keep its whole batch
			// in memory.
			s := parsed.Services[n]
			known[order[i]] = newServiceIndex(&s)
		}
	}
	b.Services = make([]Service, len(order))
	b.index = emptyIndex(b)
	for i, digest := range order {
		s := known[digest]
		b.Services[i] = *s.service
		b.index.services[s.service.Name] = s
	}
	if len(b.index.services) != len(b.Services) {
		return nil // Two services have the same name.
	}
	r.services = known
	return b
}

// cutDocument is a bundle whose services were cut apart.
type cutDocument struct {
	head, tail []byte
	services   [][]byte
}

// document parses the rest of the bundle with some services. It returns nil
// when there are findings or when the services are not one per text.
func (c cutDocument) document(services [][]byte) *Bundle {
	text := slices.Concat(c.head, []byte("services:\n"), bytes.Join(services, nil), c.tail)
	if !plainLines(text) {
		return nil
	}
	b, _ := parseWhole("", text)
	if b == nil || len(b.Services) != len(services) {
		return nil
	}
	return b
}

// cutServices cuts a document at the entries of its top-level list services.
// It reports false when the document has no such list in block style.
func cutServices(content []byte) (c cutDocument, ok bool) {
	start, indent := -1, -1
	offset, entry := 0, 0
	for line := range bytes.Lines(content) {
		begin := offset
		offset += len(line)
		text := bytes.TrimLeft(line, " ")
		if len(text) == 0 || text[0] == '#' || text[0] == '\n' {
			continue
		}
		column := len(line) - len(text)
		switch {
		case c.tail != nil || start < 0:
			if bytes.HasPrefix(line, []byte("services:")) || bytes.HasPrefix(line, []byte("---")) || bytes.HasPrefix(line, []byte("...")) {
				if start >= 0 || string(bytes.TrimSpace(withoutComment(line))) != "services:" {
					return c, false
				}
				c.head, start = content[:begin], offset
			}
		case bytes.HasPrefix(text, []byte("- ")) && (indent < 0 || column == indent):
			if indent >= 0 {
				c.services = append(c.services, content[entry:begin])
			}
			indent, entry = column, begin
		case indent < 0:
			return c, false
		case column == 0:
			c.services = append(c.services, content[entry:begin])
			c.tail = content[begin:]
			if bytes.HasPrefix(line, []byte("services:")) {
				return c, false
			}
		case column <= indent:
			return c, false
		}
	}
	if indent >= 0 && c.tail == nil {
		if entry < len(content) && content[len(content)-1] != '\n' {
			return c, false
		}
		c.services = append(c.services, content[entry:])
	}
	return c, len(c.services) > 0
}

// plainLines reports whether no value spans lines, apart from plain text and
// block collections, whose extent follows from the indentation. Only then does
// a part of the document mean the same as it does in the whole.
func plainLines(text []byte) bool {
	if bytes.ContainsAny(text, "\t\r\u0085\u2028\u2029\ufeff") {
		return false
	}
	for line := range bytes.Lines(text) {
		line = withoutComment(line)
		if bytes.ContainsAny(line, "\"'|>!&*%?@`") && !starOnly(line) {
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

// starOnly reports whether the only special characters of a line are the "*"
// at the end of path prefixes.
func starOnly(line []byte) bool {
	line = bytes.ReplaceAll(line, []byte("/*"), nil)
	return !bytes.ContainsAny(line, "\"'|>!&*%?@`")
}

// withoutComment cuts a line at its comment. Quoted text that contains " #" is
// cut as well, which leaves an opening quote behind.
func withoutComment(line []byte) []byte {
	if text := bytes.TrimLeft(line, " "); len(text) > 0 && text[0] == '#' {
		return nil
	}
	if i := bytes.Index(line, []byte(" #")); i >= 0 {
		return line[:i]
	}
	return line
}
