package ctl

import (
	"errors"
	"fmt"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/lint"
)

// formatBundle is the format of siskinvale's own bundles.
const formatBundle = "bundle"

type bundleReview struct {
	*app       `no-flag:"true"`
	Against    string `long:"against" value-name:"FILE" description:"version in force; shows what the new one changes for callers"`
	Format     string `long:"format" choice:"bundle" choice:"configuration" default:"bundle" description:"bundle: siskinvale's own format; configuration: the document in the platform's store"`
	NodeMemory int64  `long:"node-memory" value-name:"MIB" description:"memory of the smallest node; reports limits that it cannot hold"`
	Args       struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// reviewResult is the JSON form of the result.
type reviewResult struct {
	Errors   []string       `json:"errors"`
	Findings []lint.Finding `json:"findings"`
	Effects  []lint.Effect  `json:"effects"`
}

// Execute prints errors of the file, entries without effect or in contradiction
// to others, and what changes for callers. It fails if there are errors or
// findings.
func (c *bundleReview) Execute([]string) error {
	result := reviewResult{Errors: []string{}, Findings: []lint.Finding{}, Effects: []lint.Effect{}}
	b, faults, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	result.Errors = append(result.Errors, faults...)
	if b != nil {
		result.Findings = append(result.Findings, lint.Check(b, lint.Options{NodeMemory: c.NodeMemory << 20})...)
	}
	if c.Against != "" && b != nil {
		before, faults, err := c.read(c.Against)
		if err != nil {
			return err
		}
		if before == nil {
			return refusedErrorf("the version in force cannot be read: %s: %s", c.Against, faults[0])
		}
		if b.Version <= before.Version {
			result.Errors = append(result.Errors, fmt.Sprintf("%s: version %d is not above version %d in force", c.Args.File, b.Version, before.Version))
		}
		result.Effects = append(result.Effects, lint.Effects(before, b)...)
	}
	if err := c.print(&result); err != nil {
		return err
	}
	if n := len(result.Errors) + len(result.Findings); n > 0 {
		return refusedErrorf("%d errors and %d findings", len(result.Errors), len(result.Findings))
	}
	return nil
}

// read returns the bundle in a file, or nil and all faults of the file.
func (c *bundleReview) read(file string) (b *bundle.Bundle, faults []string, err error) {
	content, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	if c.Format == formatBundle {
		b, findings := bundle.Parse(file, content)
		for _, f := range findings {
			faults = append(faults, f.String())
		}
		return b, faults, nil
	}
	if c.ParseConfiguration == nil {
		return nil, nil, usageErrorf("this program reads no configuration documents")
	}
	b, err = c.ParseConfiguration(content)
	if err != nil {
		return nil, joinedErrors(file, err), nil
	}
	return b, nil, nil
}

// joinedErrors returns the texts of the errors that errors.Join combined.
func joinedErrors(file string, err error) []string {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []string{fmt.Sprintf("%s: %s", file, err)}
	}
	var texts []string
	for _, e := range joined.Unwrap() {
		texts = append(texts, joinedErrors(file, e)...)
	}
	return texts
}

func (c *bundleReview) print(result *reviewResult) error {
	if c.asJSON() {
		return c.printJSON(result)
	}
	for _, text := range result.Errors {
		fmt.Fprintln(c.Stdout, "error:", text)
	}
	for _, f := range result.Findings {
		fmt.Fprintln(c.Stdout, "finding:", f)
	}
	for _, e := range result.Effects {
		fmt.Fprintln(c.Stdout, "change:", e)
	}
	return nil
}
