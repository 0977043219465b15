package fleet

import (
	"fmt"
	"net/http"
)

// Outcome says what is known about a request after an attempt ended.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Answered means that the target's whole answer was received.
	Answered
	// NotRun means that the request was provably never dispatched to a target.
	NotRun
)

var outcomeNames = [...]string{Unknown: "unknown", Answered: "answered", NotRun: "not-run"}

// String returns the form used in the Siskinvale-Outcome header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// ParseOutcome parses the header form. An unrecognised value is Unknown,
// because nothing can be concluded from it.
func ParseOutcome(s string) Outcome {
	for o, name := range outcomeNames {
		if s == name {
			return Outcome(o)
		}
	}
	return Unknown
}

// FailedStatus reports whether the HTTP status of a target's answer means that
// the target failed. 501 (Not Implemented) does not: it rejects the request as
// such.
func FailedStatus(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusNotImplemented
}
