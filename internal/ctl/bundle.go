package ctl

import (
	"fmt"
	"reflect"

	"siskinvale.dev/siskinvale/internal/bundle"
)

type bundleCheck struct {
	*app `no-flag:"true"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the findings of all files and fails if there are any.
func (c *bundleCheck) Execute([]string) error {
	allFindings := []bundle.Finding{}
	for _, file := range c.Args.Files {
		content, err := readFile(file)
		if err != nil {
			return err
		}
		b, findings := bundle.Parse(file, content)
		allFindings = append(allFindings, findings...)
		if b != nil && !c.asJSON() {
			fmt.Fprintf(c.Stdout, "%s: no findings: %s\n", file, bundleSummary(b))
		}
	}
	if c.asJSON() {
		if err := c.printJSON(map[string]any{"findings": allFindings}); err != nil {
			return err
		}
	} else {
		for _, f := range allFindings {
			fmt.Fprintln(c.Stdout, f)
		}
	}
	if len(allFindings) > 0 {
		return refusedErrorf("%d findings", len(allFindings))
	}
	return nil
}

func bundleSummary(b *bundle.Bundle) string {
	routes := 0
	for i := range b.Services {
		routes += len(b.Services[i].Routes)
	}
	return fmt.Sprintf("%s version %d, %d data centres, %d services, %d routes", b.Name, b.Version, len(b.DataCentres), len(b.Services), routes)
}

// readBundle reads a bundle file. If the file has findings, it prints them and
// returns an error.
func (a *app) readBundle(file string) (*bundle.Bundle, []byte, error) {
	content, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	b, findings := bundle.Parse(file, content)
	for _, f := range findings {
		a.note("%s", f)
	}
	if b == nil {
		return nil, nil, refusedErrorf("%s has %d findings", file, len(findings))
	}
	return b, content, nil
}

func readEnvelope(file string) (*bundle.Envelope, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	e, err := bundle.DecodeEnvelope(data)
	if err != nil {
		return nil, refusedErrorf("%s: %w", file, err)
	}
	return e, nil
}

func writeEnvelope(file string, e *bundle.Envelope) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	return writeFile(file, data)
}

type bundleSign struct {
	*app `no-flag:"true"`
	Key  string `long:"key" required:"yes" value-name:"FILE" description:"private key of the author"`
	Out  string `long:"out" required:"yes" value-name:"ENVELOPE" description:"file for the signed manifest"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes an envelope with the manifest of a bundle file and the
// author's signature.
func (c *bundleSign) Execute([]string) error {
	b, content, err := c.readBundle(c.Args.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key, bundle.RoleAuthor)
	if err != nil {
		return err
	}
	manifest, _ := bundle.NewManifest(b.Version, content)
	e := &bundle.Envelope{Manifest: manifest}
	if err := e.Sign(key.Role, key.ID, key.Private); err != nil {
		return refusedErrorf("%w", err)
	}
	if err := e.VerifySigners(b); err != nil {
		return refusedErrorf("%w", err)
	}
	if err := writeEnvelope(c.Out, e); err != nil {
		return err
	}
	return c.printSignatures(e)
}

type bundleApprove struct {
	*app `no-flag:"true"`
	Key  string `long:"key" required:"yes" value-name:"FILE" description:"private key of the approver"`
	File string `long:"file" value-name:"FILE" description:"bundle file that the envelope must belong to"`
	Args struct {
		Envelope string `positional-arg-name:"ENVELOPE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute adds the approver's signature to an envelope.
func (c *bundleApprove) Execute([]string) error {
	e, err := readEnvelope(c.Args.Envelope)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key, bundle.RoleApprover)
	if err != nil {
		return err
	}
	if e.Signer(bundle.RoleAuthor) == "" {
		return refusedErrorf("the envelope has no author's signature")
	}
	if e.SignedBy(bundle.RoleAuthor, key.Public()) {
		return refusedErrorf("key %s has already signed this bundle as author; the approver needs a different key", key.ID)
	}
	if err := e.Sign(key.Role, key.ID, key.Private); err != nil {
		return refusedErrorf("%w", err)
	}
	if c.File != "" {
		if _, _, err := c.readMatchingBundle(c.File, e); err != nil {
			return err
		}
	}
	if err := writeEnvelope(c.Args.Envelope, e); err != nil {
		return err
	}
	return c.printSignatures(e)
}

// readMatchingBundle reads a bundle file and returns the bundle and its pieces.
// It fails if the envelope belongs to another bundle or if the bundle does not
// list the envelope's signers.
func (a *app) readMatchingBundle(file string, e *bundle.Envelope) (*bundle.Bundle, map[string][]byte, error) {
	b, content, err := a.readBundle(file)
	if err != nil {
		return nil, nil, err
	}
	manifest, pieces := bundle.NewManifest(b.Version, content)
	if !reflect.DeepEqual(manifest, e.Manifest) {
		return nil, nil, refusedErrorf("%s (version %d, digest %s) is not the bundle that was signed (version %d, digest %s)",
			file, manifest.Version, manifest.Digest, e.Manifest.Version, e.Manifest.Digest)
	}
	if err := e.VerifySigners(b); err != nil {
		return nil, nil, refusedErrorf("%w", err)
	}
	return b, pieces, nil
}

func (a *app) printSignatures(e *bundle.Envelope) error {
	if a.asJSON() {
		return a.printJSON(e)
	}
	rows := [][]string{}
	for _, s := range e.Signatures {
		rows = append(rows, []string{fmt.Sprint(e.Manifest.Version), e.Manifest.Digest, s.Role, s.KeyID})
	}
	return a.printTable([]string{"VERSION", "DIGEST", "ROLE", "KEY"}, rows)
}

type bundleDiff struct {
	*app `no-flag:"true"`
	Args struct {
		Old string `positional-arg-name:"OLD"`
		New string `positional-arg-name:"NEW"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the differences between two bundle files.
func (c *bundleDiff) Execute([]string) error {
	before, _, err := c.readBundle(c.Args.Old)
	if err != nil {
		return err
	}
	after, _, err := c.readBundle(c.Args.New)
	if err != nil {
		return err
	}
	changes := bundle.Diff(before, after)
	if c.asJSON() {
		return c.printJSON(map[string]any{"changes": append([]bundle.Change{}, changes...)})
	}
	for _, change := range changes {
		fmt.Fprintln(c.Stdout, change)
	}
	return nil
}
