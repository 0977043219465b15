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

// controlClient opens a connection for each call, because faults may silence
// open connections.
var controlClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func control(method, url string, body, into any) error {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, url, content)
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
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}

// Platform is a running platform stand-in.
type Platform struct {
	*Process
	URL string
}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f standin.PlatformFaults) error {
	return control(http.MethodPut, p.URL+"/control/faults", f, nil)
}

// Calls returns the counters.
func (p *Platform) Calls() (c standin.PlatformCalls, err error) {
	return c, control(http.MethodGet, p.URL+"/control/calls", nil, &c)
}

// Target is a running target stand-in.
type Target struct {
	*Process
	ID, Service, URL string
	Node             *Node
	// Link is between the node and the target; nil unless configured.
	Link *Link
	// saved holds the log once the target was stopped by this package.
	saved []standin.Operation
}

// SetFaults replaces the fault switches.
func (t *Target) SetFaults(f standin.TargetFaults) error {
	return control(http.MethodPut, t.URL+"/control/faults", f, nil)
}

// Calls returns the counters.
func (t *Target) Calls() (c standin.TargetCalls, err error) {
	return c, control(http.MethodGet, t.URL+"/control/calls", nil, &c)
}

// Operations returns the log of the work that the target started.
func (t *Target) Operations() (ops []standin.Operation, err error) {
	if t.saved != nil {
		return t.saved, nil
	}
	return ops, control(http.MethodGet, t.URL+"/control/operations", nil, &ops)
}

// Save reads the operation log a last time, before the target is killed.
func (t *Target) Save() error {
	ops, err := t.Operations()
	t.saved = append([]standin.Operation{}, ops...)
	return err
}

// Link is a running link stand-in.
type Link struct {
	*Process
	controlURL string
}

// SetFaults replaces the fault switches.
func (l *Link) SetFaults(f standin.LinkFaults) error {
	return control(http.MethodPut, l.controlURL+"/control/faults", f, nil)
}

// Calls returns the counters.
func (l *Link) Calls() (c standin.LinkCalls, err error) {
	return c, control(http.MethodGet, l.controlURL+"/control/calls", nil, &c)
}
