package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// asJSON reports whether the result is to be printed as JSON.
func (a *app) asJSON() bool { return a.options.Output == "json" }

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

func (a *app) printTable(header []string, rows [][]string) error {
	table := tablewriter.NewTable(a.Stdout,
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAutoWrap(tw.WrapNone),
		tablewriter.WithRendition(tw.Rendition{
			Borders: tw.BorderNone,
			Settings: tw.Settings{
				Separators: tw.Separators{BetweenColumns: tw.Off, BetweenRows: tw.Off},
			},
		}))
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if err := table.Render(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// note prints a message for the operator to standard error.
func (a *app) note(format string, args ...any) {
	fmt.Fprintf(a.Stderr, format+"\n", args...)
}
