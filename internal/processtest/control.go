package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/standin"
)

// controlClient opens a new connection for each call, because an injected
// fault may silence the open connections of a stand-in.
var controlClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callControl calls the control API of a stand-in. It sends body as JSON unless
// body is nil, and decodes the JSON answer into result unless result is nil. A
// status other than 200 is an error.
func callControl(method, url string, body, result any) error {
	var bodyReader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		bodyReader = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, url, bodyReader)
	if err != nil {
		return err
	}
	answer, err := controlClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s: %s", method, url, answer.Status, raw)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(raw, result)
}

// Platform is a running platform stand-in.
type Platform struct {
	*Process
	URL string
}

// SetFaults replaces the fault switches of the platform stand-in.
func (p *Platform) SetFaults(f standin.PlatformFaults) error {
	return callControl(http.MethodPut, p.URL+"/control/faults", f, nil)
}

// Calls returns the call counters of the platform stand-in.
func (p *Platform) Calls() (c standin.PlatformCalls, err error) {
	return c, callControl(http.MethodGet, p.URL+"/control/calls", nil, &c)
}

// Target is a running target stand-in.
type Target struct {
	*Process
	ID, Service, URL string
	Node             *Node
	// Link is the link stand-in between the node and the target; nil unless
	// Config.TargetLinks is set.
	Link *Link
	// savedOperations is the operation log that SaveOperations read; nil before
	// SaveOperations is called.
	savedOperations []standin.Operation
}

// SetFaults replaces the fault switches of the target stand-in.
func (t *Target) SetFaults(f standin.TargetFaults) error {
	return callControl(http.MethodPut, t.URL+"/control/faults", f, nil)
}

// Calls returns the call counters of the target stand-in.
func (t *Target) Calls() (c standin.TargetCalls, err error) {
	return c, callControl(http.MethodGet, t.URL+"/control/calls", nil, &c)
}

// Operations returns the operation log, which lists all requests that the
// target started to run. After SaveOperations it returns the log that
// SaveOperations read.
func (t *Target) Operations() (ops []standin.Operation, err error) {
	if t.savedOperations != nil {
		return t.savedOperations, nil
	}
	return ops, callControl(http.MethodGet, t.URL+"/control/operations", nil, &ops)
}

// SaveOperations reads and keeps the operation log, so that Operations still
// returns the log after the target is killed.
func (t *Target) SaveOperations() error {
	ops, err := t.Operations()
	t.savedOperations = append([]standin.Operation{}, ops...)
	return err
}

// Link is a running link stand-in, a proxy that injects faults.
type Link struct {
	*Process
	controlURL string
}

// SetFaults replaces the fault switches of the link stand-in.
func (l *Link) SetFaults(f standin.LinkFaults) error {
	return callControl(http.MethodPut, l.controlURL+"/control/faults", f, nil)
}

// Calls returns the call counters of the link stand-in.
func (l *Link) Calls() (c standin.LinkCalls, err error) {
	return c, callControl(http.MethodGet, l.controlURL+"/control/calls", nil, &c)
}
