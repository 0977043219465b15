package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// LinesPerSecond and LinesBurst limit the log lines of each event. A node
	// logs at most a few dozen different events under load, so its log stays
	// below 1 MB/s whatever callers do.
	LinesPerSecond = 50
	LinesBurst     = 100
)

// rateLimits holds the token bucket of each event, by event number.
type rateLimits struct {
	now     func() time.Time
	dropped atomic.Uint64

	mu      sync.Mutex
	buckets map[int]*bucket
}

type bucket struct {
	tokens  float64
	updated time.Time
	// suppressed counts the lines not written since the last written one.
	suppressed uint64
}

func newRateLimits() *rateLimits { return &rateLimits{now: time.Now, buckets: make(map[int]*bucket)} }

// allow reports whether a line of the event may be written. If so, it also
// returns how many lines of the event were suppressed since the last written
// one.
func (l *rateLimits) allow(number int) (ok bool, suppressed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.buckets[number]
	if b == nil {
		b = &bucket{tokens: LinesBurst, updated: now}
		l.buckets[number] = b
	}
	b.tokens = min(LinesBurst, b.tokens+max(now.Sub(b.updated).Seconds(), 0)*LinesPerSecond)
	b.updated = now
	if b.tokens < 1 {
		b.suppressed++
		l.dropped.Add(1)
		return false, 0
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return true, suppressed
}

// writerBuffer is the number of lines that a Writer buffers.
const writerBuffer = 4096

// Writer writes log lines in the background, so that a slow or blocked reader
// of the log does not delay requests. Lines are dropped and counted while the
// buffer is full.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewWriter returns a Writer that writes to out and starts its goroutine. Close
// ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, writerBuffer), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// An error of the log itself cannot be reported anywhere else.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write queues a copy of line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the buffer was
// full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits at most the given time until the buffered lines are written.
// Write must not be called during or after Close.
func (w *Writer) Close(wait time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}
