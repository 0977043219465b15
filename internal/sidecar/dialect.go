package sidecar

import (
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// Dialect adapts requests and answers to the protocol that the targets speak on
// top of plain HTTP.
type Dialect interface {
	// Prepare sets the headers that the target expects. left is the time until
	// the caller's deadline.
	Prepare(h http.Header, t fleet.Target, call *link.Call, left time.Duration)
	// Classify determines from the header of an answer whether the target ran
	// the request, and whether the answer belongs to it. reusedConn tells that
	// the connection has carried an earlier request, so that the answer may be a
	// late copy of the answer to that one.
	Classify(resp *http.Response, t fleet.Target, call *link.Call, reusedConn bool) AnswerKind
	// Notice reads from the header of an answer what the target states about
	// itself. A malformed rate limit is an error; the rest of the notice is valid
	// then, too.
	Notice(h http.Header) (Notice, error)
}

// AnswerKind is the classification of a target's answer by its header.
type AnswerKind uint8

const (
	// Executed: the target ran the request, and the answer belongs to it.
	Executed AnswerKind = iota
	// TimedOut: the answer belongs to the request and says that the target
	// aborted the request because its timeout expired.
	TimedOut
	// Shed: the target states that it did not run the request.
	Shed
	// OtherTarget: the address now belongs to another target, which did not run
	// the request.
	OtherTarget
	// OtherRequest: the answer belongs to another request, or nothing shows that
	// it belongs to this one. The outcome of this request is unknown.
	OtherRequest
	// Unproven: the answer has a status that tells callers that the request did
	// not run, but the target does not state so. The outcome is unknown.
	Unproven
)
