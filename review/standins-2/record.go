package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// quiet leaves out the lines about single requests.
	quiet bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// event writes one line: the time since the start, the kind of event and pairs
// of names and values.
func (r *record) event(kind string, pairs ...any) {
	if r.quiet && (kind == "run" || kind == "sent" || kind == "answered") {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.start).Seconds(), kind)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, b.String())
}

func copyTo(w io.Writer, r io.Reader) (int64, error) { return io.Copy(w, r) }
