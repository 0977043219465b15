package standin

import (
	"sync"
	"time"
)

// maxOperations bounds the operation log of one target. A full log drops its
// oldest tenth.
const maxOperations = 500_000

// Operation describes one request that a target started to run.
type Operation struct {
	Key       string    `json:"key"`
	RequestID string    `json:"requestId"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	StartedAt time.Time `json:"startedAt"`
	// FinishedAt is the zero time until the run has ended.
	FinishedAt time.Time `json:"finishedAt"`
	// Completed is false for a request that is still running, stalled or was
	// cancelled.
	Completed bool `json:"completed"`
}

// operationLog records the operations that a target started. It is safe for
// concurrent use.
type operationLog struct {
	mu      sync.Mutex
	entries []*Operation
}

func (l *operationLog) start(op Operation) *Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= maxOperations {
		l.entries = append(l.entries[:0:0], l.entries[maxOperations/10:]...)
	}
	l.entries = append(l.entries, &op)
	return &op
}

func (l *operationLog) finish(op *Operation, now time.Time, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	op.FinishedAt, op.Completed = now, completed
}

func (l *operationLog) list() []Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Operation, 0, len(l.entries))
	for _, op := range l.entries {
		list = append(list, *op)
	}
	return list
}
