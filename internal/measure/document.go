package main

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"
)

// section is a generated part of the output file. It stands between two marker
// comments that contain its name.
type section struct {
	name, text string
}

const header = `# Measurements

Written by ` + "`make measure`" + `. Text between the marker comments is replaced by each run; text outside them is
kept. The bounds are those of section 1 of the [design](design.md).
`

const machineSection = "machine"

// tables returns one section for each benchmark, ordered by name.
func tables(results []result, now time.Time) []section {
	byName := map[string][]result{}
	for _, r := range results {
		byName[r.benchmark] = append(byName[r.benchmark], r)
	}
	var sections []section
	for name, group := range byName {
		sections = append(sections, section{name: name, text: table(name, group, now)})
	}
	sort.Slice(sections, func(i, j int) bool { return sections[i].name < sections[j].name })
	return sections
}

func table(name string, group []result, now time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n", name)
	benchtime := ""
	if group[0].benchtime != "" {
		benchtime = " -benchtime " + group[0].benchtime
	}
	fmt.Fprintf(&b, "%s, `go test -run ^$ -bench ^%s$%s %s`\n\n", now.UTC().Format(time.DateOnly), name, benchtime, group[0].pkg)
	b.WriteString("| case | metric | figure | bound | result |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range group {
		title := r.name
		if title == "" {
			title = "-"
		}
		if r.failed {
			fmt.Fprintf(&b, "| %s | - | - | - | run failed |\n", title)
			continue
		}
		for _, m := range r.metrics {
			// For a scenario that runs once, ns/op is only the length of the
			// scenario.
			if m.unit == "ns/op" && r.benchtime == "1x" && len(r.metrics) > 1 {
				continue
			}
			limit, verdict := compareWithBound(r, m)
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", title, m.unit, formatNumber(m.value), limit, verdict)
		}
	}
	return b.String()
}

// merge returns the document old with the machine section and the given
// sections replaced. Sections that old does not contain are appended; an empty
// old starts with the header.
func merge(old, machine string, sections []section) string {
	if old == "" {
		old = header
	}
	for _, s := range append([]section{{name: machineSection, text: machine}}, sections...) {
		begin, end := fmt.Sprintf("<!-- begin %s -->", s.name), fmt.Sprintf("<!-- end %s -->", s.name)
		text := begin + "\n" + s.text + end
		existing := regexp.MustCompile("(?s)" + regexp.QuoteMeta(begin) + ".*?" + regexp.QuoteMeta(end))
		if existing.MatchString(old) {
			old = existing.ReplaceAllLiteralString(old, text)
			continue
		}
		old = strings.TrimRight(old, "\n") + "\n\n" + text + "\n"
	}
	return old
}
