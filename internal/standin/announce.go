package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// announceTimeout bounds one HTTP call to the node.
const announceTimeout = 2 * time.Second

// Announcement is the body of PUT /v1/targets/{id}, by which a target announces
// itself to its node.
type Announcement struct {
	Service string   `json:"service"`
	Address string   `json:"address"`
	Slots   int      `json:"slots"`
	TTL     Duration `json:"ttl"`
}

// Announcer announces a target to its node and renews the announcement. Its
// methods must be called in the order Start, Drain, Stop.
type Announcer struct {
	// Node is the base URL of the node's listener for targets, for example
	// http://127.0.0.1:9000.
	Node         string
	ID           string
	Announcement Announcement
	Log          logrus.FieldLogger

	client   *http.Client
	cancel   context.CancelFunc
	done     sync.WaitGroup
	mu       sync.Mutex
	draining bool
}

// Start announces the target and renews the announcement every third of its
// time to live.
func (a *Announcer) Start() {
	a.client = &http.Client{Timeout: announceTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.done.Add(1)
	go func() {
		defer a.done.Done()
		ticker := time.NewTicker(time.Duration(a.Announcement.TTL) / 3)
		defer ticker.Stop()
		for announced := false; ; {
			announced = a.renew(announced)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

// renew sends the announcement again, or the drain call once the target drains,
// because an announcement could end the drain at the node. It returns whether
// the node accepted the call; announced is the result of the last renewal.
func (a *Announcer) renew(announced bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var err error
	if a.draining {
		err = a.call(http.MethodPost, "/drain", nil)
	} else {
		err = a.call(http.MethodPut, "", a.Announcement)
	}
	switch {
	case err != nil:
		a.Log.WithError(err).Warn("call to the node failed; retrying at the next renewal")
		return false
	case !announced:
		a.Log.WithField("node", a.Node).Info("target announced to the node")
	}
	return true
}

// Drain notifies the node that the target accepts no new requests. If the call
// fails, the next renewal retries it.
func (a *Announcer) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	if err := a.call(http.MethodPost, "/drain", nil); err != nil {
		a.Log.WithError(err).Warn("drain call to the node failed; retrying at the next renewal")
	}
}

// Stop ends the renewal and deletes the target's announcement at the node.
func (a *Announcer) Stop() {
	a.cancel()
	a.done.Wait()
	if err := a.call(http.MethodDelete, "", nil); err != nil {
		a.Log.WithError(err).Warn("deleting the announcement at the node failed; it stays until its time to live is over")
	}
}

func (a *Announcer) call(method, suffix string, body any) error {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode announcement: %w", err)
		}
		content = bytes.NewReader(raw)
	}
	address := a.Node + "/v1/targets/" + url.PathEscape(a.ID) + suffix
	request, err := http.NewRequest(method, address, content)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<10))
	if answer.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s: %s", method, address, answer.Status, bytes.TrimSpace(text))
	}
	return nil
}
