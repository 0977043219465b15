package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

const (
	// refusalTime is how long before the end of the node the last request that
	// has not run is refused, so that its caller gets the refusal also from a
	// slow VM.
	refusalTime = 500 * time.Millisecond
	// expectedRunMargin is the multiple of the expected run time that must be
	// left before the end when a request starts. A request that runs longer
	// would be cut off.
	expectedRunMargin = 1.5
	// withdrawInterval is the time between two withdrawals of one call. A call
	// may reach its sidecar after its withdrawal.
	withdrawInterval = 100 * time.Millisecond
)

// ending is the planned end of the node.
type ending struct {
	// at is on the monotonic clock, so that a step of the wall clock during the
	// stop does not move it. It is set once announced is done.
	at atomic.Pointer[time.Time]
	// announced is cancelled by EndBy, and cutOff by CutOff.
	announced, cutOff             context.Context
	cancelAnnounced, cancelCutOff context.CancelFunc
}

func (e *ending) init() {
	e.announced, e.cancelAnnounced = context.WithCancel(context.Background())
	e.cutOff, e.cancelCutOff = context.WithCancel(context.Background())
}

// EndBy announces that the node ends at a given time. A request that can no
// longer start in time to be answered by then is refused as not run: calls that
// wait beside other nodes are withdrawn there. Only the first call has an
// effect.
func (in *Ingress) EndBy(at time.Time) {
	if in.ending.at.CompareAndSwap(nil, &at) {
		in.ending.cancelAnnounced()
	}
}

// CutOff ends the waits of all requests in flight, so that their callers are
// told that the outcome is unknown before their connections close.
func (in *Ingress) CutOff() { in.ending.cancelCutOff() }

// lastStart returns the latest time at which a request of the class may start.
// ok is false if no end was announced.
func (in *Ingress) lastStart(class *bundle.Class) (at time.Time, ok bool) {
	if in.ending.announced.Err() == nil {
		return time.Time{}, false
	}
	run := time.Duration(expectedRunMargin * float64(class.Expected.AsDuration()))
	return in.ending.at.Load().Add(-refusalTime - run), true
}

// tooLateToStart reports whether a request of the class would be cut off by the
// end of the node if it started now.
func (in *Ingress) tooLateToStart(class *bundle.Class) bool {
	last, ok := in.lastStart(class)
	return ok && time.Now().After(last)
}

// atLastStart calls f in its own goroutine at the latest time at which a
// request of the class may start, unless stop is called before. The context of
// f ends with stop.
func (in *Ingress) atLastStart(class *bundle.Class, f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	unregister := context.AfterFunc(in.ending.announced, func() {
		if last, _ := in.lastStart(class); sleep(ctx, time.Until(last)) {
			f(ctx)
		}
	})
	return func() {
		unregister()
		cancel()
	}
}

// withdrawAtEnd withdraws a call that waits beside another node when it is too
// late to start, until stop is called. The reply to the call tells whether it
// had started before.
func (in *Ingress) withdrawAtEnd(peer fleet.Node, class *bundle.Class, call *link.Call) (stop func()) {
	return in.atLastStart(class, func(ctx context.Context) {
		for {
			in.cfg.Remote.Withdraw(ctx, peer, class.Length, call.AttemptID)
			if !sleep(ctx, withdrawInterval) {
				return
			}
		}
	})
}

// stopReadingAtEnd ends the read of a request's body when it is too late to
// start the request, until stop is called.
func (in *Ingress) stopReadingAtEnd(w http.ResponseWriter, class *bundle.Class) (stop func()) {
	return in.atLastStart(class, func(context.Context) {
		// A writer that does not support deadlines has no connection to wait for.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}
