// Package event declares the numbered log events of the fleet and writes them
// through logrus. The number of an event never changes because operators alert
// on it. docs/events.md lists all events.
package event

import (
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Name    string
	Level   logrus.Level
	Message string
	// Alarm is set for events that need an operator. Each of them has a page
	// with instructions under docs/operations.
	Alarm bool
}

// catalogue holds the declared events by number.
var catalogue = map[int]Event{}

// declare registers an event that is not an alarm.
func declare(number int, name string, level logrus.Level, message string) Event {
	return register(Event{Number: number, Name: name, Level: level, Message: message})
}

// alarm registers an event that needs an operator, at error level.
func alarm(number int, name string, message string) Event {
	return register(Event{Number: number, Name: name, Level: logrus.ErrorLevel, Message: message, Alarm: true})
}

// register adds an event to the catalogue. It panics if the number is already
// in use, which is a programming error and shows when the process starts.
func register(e Event) Event {
	if old, ok := catalogue[e.Number]; ok {
		panic(fmt.Sprintf("event number %d is declared by both %s and %s", e.Number, old.Name, e.Name))
	}
	catalogue[e.Number] = e
	return e
}

// All returns all declared events, ordered by number.
func All() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Fields are the structured values of one log line.
type Fields = logrus.Fields

// Logger writes events. It must be created with NewLogger.
//
// The rate of lines is limited for each event, see LinesPerSecond. A line that
// follows suppressed lines of the same event has their number in the field
// leftOut.
type Logger struct {
	entry  *logrus.Entry
	limits *rateLimits
}

// NewLogger returns a logger that adds fields to every line.
func NewLogger(l *logrus.Logger, fields Fields) *Logger {
	return &Logger{entry: l.WithFields(fields), limits: newRateLimits()}
}

// With returns a logger that adds more fields to every line. It shares the rate
// limits with l.
func (l *Logger) With(fields Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(fields), limits: l.limits}
}

// Log writes one line for e unless its level is disabled or its rate limit is
// exceeded.
func (l *Logger) Log(e Event, fields Fields) {
	if !l.entry.Logger.IsLevelEnabled(e.Level) {
		return
	}
	ok, suppressed := l.limits.allow(e.Number)
	if !ok {
		return
	}
	entry := l.entry.WithFields(fields).WithField("event", e.Number).WithField("name", e.Name)
	if suppressed > 0 {
		entry = entry.WithField("leftOut", suppressed)
	}
	entry.Log(e.Level, e.Message)
}

// Dropped returns the number of lines that were suppressed by the rate limits.
func (l *Logger) Dropped() uint64 { return l.limits.dropped.Load() }

// Level returns the log level of the underlying logger.
func (l *Logger) Level() logrus.Level { return l.entry.Logger.GetLevel() }

// SetLevel changes the log level of the underlying logger.
func (l *Logger) SetLevel(level logrus.Level) { l.entry.Logger.SetLevel(level) }
