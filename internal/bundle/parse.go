package bundle

import "siskinvale.dev/siskinvale/internal/yamlcheck"

// Parse parses and validates a bundle and returns all findings; the bundle is
// nil when there are any. Content that cannot be parsed as YAML gives a single
// finding. The file name is used only in findings.
func Parse(file string, content []byte) (*Bundle, []Finding) {
	return new(IncrementalParser).Parse(file, content)
}

// parseDocument parses content as one YAML document.
func parseDocument(file string, content []byte) (*Bundle, []Finding) {
	d := newDecoder(file)
	root := d.Parse(content)
	if root == nil {
		return nil, d.Findings()
	}
	b := &Bundle{}
	d.Decode(root, b)
	v := validator{Decoder: d}
	v.checkBundle(b)
	if findings := d.Findings(); len(findings) > 0 {
		return nil, findings
	}
	b.index = newIndex(b)
	return b, nil
}

func newDecoder(file string) *yamlcheck.Decoder {
	return yamlcheck.NewDecoder(file, yamlcheck.Options{DocumentName: "bundle", MaxSize: MaxSize})
}
