package event

import (
	"fmt"
	"strings"
)

// groups holds the headings of the event groups. The key is the event number
// divided by 1000.
var groups = map[int]string{
	1: "Node",
	2: "Rollout and bundle",
	3: "Membership and targets",
	4: "Health and routing",
	5: "Requests and operations",
	6: "Platform",
}

const catalogueHeader = `# Events

Each log line of a node carries the fields ` + "`event`" + ` (number) and ` + "`name`" + `. Numbers are stable.
Events marked as an alarm need an operator; each links to the page that says what to do.

This page is generated from ` + "`internal/event`" + `; a test verifies that both match. To write it again, run
` + "`SISKINVALE_UPDATE=1 go test ./internal/event`" + `.
`

// Markdown returns the content of docs/events.md, which lists all events.
func Markdown() string {
	var b strings.Builder
	b.WriteString(catalogueHeader)
	group := 0
	for _, e := range All() {
		if g := e.Number / 1000; g != group {
			group = g
			fmt.Fprintf(&b, "\n## %dxxx: %s\n\n| number | name | level | alarm | message |\n| --- | --- | --- | --- | --- |\n", g, groups[g])
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, alarmLink(e), e.Message)
	}
	return b.String()
}

func alarmLink(e Event) string {
	if !e.Alarm {
		return ""
	}
	return fmt.Sprintf("[what to do](operations/%s)", e.AlarmPage())
}

// AlarmPage returns the name of the file under docs/operations that has the
// instructions for the alarm e.
func (e Event) AlarmPage() string { return fmt.Sprintf("alarm-%d.md", e.Number) }
