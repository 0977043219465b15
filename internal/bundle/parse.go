package bundle

import "siskinvale.dev/siskinvale/internal/yamlcheck"

// Parse reads a bundle and returns every finding; the bundle is nil when there
// is one. Only a syntax error hides later findings. The file name is used in
// findings alone.
func Parse(file string, content []byte) (*Bundle, []Finding) {
	return new(Reader).Parse(file, content)
}

// parseWhole parses the whole document as one.
func parseWhole(file string, content []byte) (*Bundle, []Finding) {
	d := newDecoder(file)
	root := d.Parse(content)
	if root == nil {
		return nil, d.Findings()
	}
	b := &Bundle{}
	d.Decode(root, b)
	v := validator{Decoder: d}
	v.bundle(b)
	if findings := d.Findings(); len(findings) > 0 {
		return nil, findings
	}
	b.index = newIndex(b)
	return b, nil
}

func newDecoder(file string) *yamlcheck.Decoder {
	return yamlcheck.NewDecoder(file, yamlcheck.Options{What: "bundle", MaxSize: MaxSize})
}
