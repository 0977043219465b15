package sidecar

import (
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// Dialect is the protocol of the targets as far as it differs from plain HTTP.
type Dialect interface {
	// Prepare sets the headers that the target expects. left is the time until
	// the caller's deadline.
	Prepare(h http.Header, t fleet.Target, call *link.Call, left time.Duration)
	// Judge tells what the header of an answer says about the request.
	Judge(resp *http.Response, t fleet.Target, call *link.Call) Judgement
}

// Judgement is what the header of a target's answer says.
type Judgement uint8

const (
	// Executed: the answer is the one to the request.
	Executed Judgement = iota
	// OutOfTime: the answer is the one to the request, and says that the target
	// ended the work because the time it was given was over.
	OutOfTime
	// Shed: the target states that it did not run the request.
	Shed
	// OtherTarget: another target has the address; it did not run the request.
	OtherTarget
	// Foreign: the answer does not belong to the request, whose outcome is
	// unknown.
	Foreign
)
