package node

import (
	"context"
	"time"

	"siskinvale.dev/siskinvale/internal/event"
)

const (
	// handoverWait bounds the handover of key ranges after the last request in
	// flight has ended. The handover needs the platform; if it does not succeed
	// in time, the standby takes the ranges over later.
	handoverWait = 10 * time.Second
	// leavePropagationWait gives the leaving state time to reach the peers
	// before the node's listeners close.
	leavePropagationWait = 300 * time.Millisecond
	pollInterval         = 10 * time.Millisecond
)

// drain refuses new work, hands over key ranges and waits for the requests in
// flight, at most for the drain timeout in the settings.
func (n *Node) drain() {
	if n.adapter != nil {
		n.drainWithAdapter()
		return
	}
	n.leaving.Store(true)
	n.log.Log(event.NodeLeaving, event.Fields{"inFlight": n.ingress.InFlight() + n.sidecar.InFlight()})
	n.control.runAndWait(n.control.leave)
	n.sidecar.Drain()

	ctx, cancel := n.announceEnd(n.settings.Load().Drain.Timeout)
	defer cancel()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		if err := n.operations.Drain(ctx); err != nil {
			n.log.Log(event.HandoverIncomplete, event.Fields{"error": err.Error()})
		}
	}()
	n.waitIdle(ctx)
	if left := n.ingress.InFlight() + n.sidecar.InFlight(); left > 0 {
		n.log.Log(event.DrainTimedOut, event.Fields{"inFlight": left})
	}
	timer := time.AfterFunc(handoverWait, cancel)
	defer timer.Stop()
	<-handedOver
	time.Sleep(leavePropagationWait)
}

// stopMargin is the part of the drain timeout that is reserved for closing
// listeners and ending the process, which can take long on a slow VM.
const stopMargin = 900 * time.Millisecond

// drainWithAdapter stops on a platform whose callers learn from the readiness
// probe that the node is leaving. During the notice period new requests are
// still accepted and forwarded to targets of other nodes.
func (n *Node) drainWithAdapter() {
	n.leaving.Store(true)
	n.log.Log(event.NodeLeaving, event.Fields{"inFlight": n.ingress.InFlight() + n.sidecar.InFlight()})
	drain := n.settings.Load().Drain
	ctx, cancel := n.announceEnd(max(drain.Timeout-stopMargin, stopMargin))
	defer cancel()
	n.control.runAndWait(n.control.leave)
	n.sidecar.Drain()
	select {
	case <-ctx.Done():
	case <-time.After(drain.NoticePeriod):
	}
	// A request accepted after the notice period might not end in time.
	n.ingress.Close()
	n.waitIdle(ctx)
	if left := n.ingress.InFlight() + n.sidecar.InFlight(); left > 0 {
		n.log.Log(event.DrainTimedOut, event.Fields{"inFlight": left})
	}
}

// announceEnd tells the ingress that requests in flight must end within the
// timeout, and returns a context that ends then.
func (n *Node) announceEnd(timeout time.Duration) (context.Context, context.CancelFunc) {
	end := time.Now().Add(timeout)
	n.ingress.EndBy(end)
	return context.WithDeadline(context.Background(), end)
}

// waitIdle returns when no request is in flight or ctx has ended.
func (n *Node) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n.ingress.InFlight() > 0 || n.sidecar.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
