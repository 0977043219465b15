package sidecar

import (
	"context"
	"sync"
)

// waits holds the calls that wait for a slot, by attempt ID.
type waits struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
}

// begin records a wait, which ends early when the call is withdrawn. The caller
// calls end when the wait is over.
func (w *waits) begin(ctx context.Context, attemptID string) (waitCtx context.Context, end func()) {
	waitCtx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		w.cancel = make(map[string]context.CancelFunc)
	}
	w.cancel[attemptID] = cancel
	return waitCtx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cancel, attemptID)
		cancel()
	}
}

// Withdraw refuses a call that waits for a slot, because its ingress no longer
// waits. The reply to the call proves that it did not run. Withdraw has no
// effect on a call that has started, and on one that is not here.
func (s *Sidecar) Withdraw(attemptID string) {
	s.waits.mu.Lock()
	defer s.waits.mu.Unlock()
	if cancel, ok := s.waits.cancel[attemptID]; ok {
		cancel()
	}
}
