package node

import (
	"context"
	"errors"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/freshness"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/platform"
	"siskinvale.dev/siskinvale/internal/rollout"
)

const (
	// peerFetchTimeout bounds the fetch of an envelope and the exchange of full
	// state with a peer.
	peerFetchTimeout = time.Second
	// platformReadTimeout bounds a read of the platform and a fetch of pieces.
	// The platform normally answers in milliseconds.
	platformReadTimeout = 3 * time.Second
	// watchTimeout bounds a watch; it exceeds the longest time that the
	// platform holds a watch open.
	watchTimeout = platform.DefaultWatchWait + 5*time.Second
)

func (c *control) applyRolloutAction(action rollout.Action) {
	switch a := action.(type) {
	case rollout.Activate:
		c.activate(a)
	case rollout.ReadPlatform:
		c.callPlatform(platformReadTimeout, c.node.bundles.Read)
	case rollout.WatchPlatform:
		c.callPlatform(watchTimeout, func(ctx context.Context) rollout.PlatformRead {
			return c.node.bundles.Watch(ctx, a)
		})
	case rollout.FetchEnvelope:
		c.runAsync(peerFetchTimeout, func(ctx context.Context) rollout.Event { return c.fetchEnvelope(ctx, a) })
	case rollout.FetchPieces:
		c.runAsync(platformReadTimeout, func(ctx context.Context) rollout.Event { return c.fetchPieces(ctx, a) })
	case rollout.Reject:
		c.node.log.Log(rejectionEvent(a.Err), event.Fields{"from": a.From, "version": a.Version, "error": a.Err.Error()})
	case rollout.Conflict:
		c.node.log.Log(event.BundleConflict, event.Fields{
			"from": a.From, "version": a.Version, "inForce": a.InForce, "different": a.Conflicting,
		})
	case rollout.OlderOnPlatform:
		c.node.log.Log(event.BundleOlderOnPlatform, event.Fields{"version": a.Version, "inForce": a.InForce, "era": a.Era})
	case rollout.Unconfirmed:
		c.node.log.Log(event.BundleUnconfirmed, event.Fields{"ageMs": a.Age.Milliseconds(), "version": c.statedVersion.Load()})
	case rollout.Confirmed:
		c.stepKeyLease(freshness.PlatformConfirmed{SentAt: a.SentAt})
	case rollout.Ready:
		c.ready.Store(true)
		c.node.log.Log(event.NodeReady, event.Fields{"version": c.statedVersion.Load()})
	}
}

// rejectionEvent returns the event for rejected content. A damaged piece has
// its own event, because it is fetched again from another source and needs no
// action by an operator.
func rejectionEvent(err error) event.Event {
	if errors.Is(err, rollout.ErrPiece) {
		return event.PieceRefused
	}
	return event.BundleRefused
}

// logMissing logs the number of pieces that a source did not deliver.
func (c *control) logMissing(result rollout.Event) {
	if failed, ok := result.(rollout.FetchFailed); ok && len(failed.Names) > 0 {
		c.node.log.Log(event.PieceMissing, event.Fields{"from": failed.From, "pieces": len(failed.Names), "error": failed.Err.Error()})
	}
}

// runAsync runs f in its own goroutine and passes the resulting event to the
// rollout machine.
func (c *control) runAsync(timeout time.Duration, f func(ctx context.Context) rollout.Event) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		result := f(ctx)
		c.logMissing(result)
		c.post(func() { c.stepRollout(result) })
	}()
}

// callPlatform runs a read or a watch of the platform in its own goroutine. It
// notes when the call was sent if there is a lease on API keys.
func (c *control) callPlatform(timeout time.Duration, call func(ctx context.Context) rollout.PlatformRead) {
	c.runAsync(timeout, func(ctx context.Context) rollout.Event {
		if c.keyLease.machine == nil {
			return call(ctx)
		}
		sentAt := c.node.bootTime()
		read := call(ctx)
		read.SentAt = sentAt
		return read
	})
}

func (c *control) fetchEnvelope(ctx context.Context, a rollout.FetchEnvelope) rollout.Event {
	client, err := c.node.peers.clientByID(a.From)
	if err != nil {
		return rollout.FetchFailed{From: a.From, Err: err}
	}
	resp, err := client.FetchEnvelope(ctx, &controlv1.FetchEnvelopeRequest{})
	if err != nil {
		return rollout.FetchFailed{From: a.From, Err: err}
	}
	return rollout.EnvelopeReceived{From: a.From, Envelope: resp.GetEnvelope()}
}

func (c *control) fetchPieces(ctx context.Context, a rollout.FetchPieces) rollout.Event {
	if a.From == rollout.Platform {
		return rollout.ReadPieces(ctx, c.node.platform, a)
	}
	client, err := c.node.peers.clientByID(a.From)
	if err != nil {
		return rollout.FetchFailed{From: a.From, Names: a.Names, Err: err}
	}
	resp, err := client.FetchPieces(ctx, &controlv1.FetchPiecesRequest{Names: a.Names})
	if err != nil {
		return rollout.FetchFailed{From: a.From, Names: a.Names, Err: err}
	}
	return rollout.PiecesReceived{From: a.From, Pieces: resp.GetPieces()}
}

// activate puts a bundle into force on this node.
func (c *control) activate(a rollout.Activate) {
	b, ok := a.Bundle.(*bundle.Bundle)
	if !ok {
		return
	}
	c.bundle = b
	content := c.rollout.Content()
	c.content.Store(&content)
	c.version.Store(a.Version)
	c.statedVersion.Store(b.Version)
	if c.node.adapter != nil && c.node.lineage.activated(a.Version, b.Version, a.Digest) {
		c.node.log.Log(event.BundleOrderChanged, event.Fields{"version": b.Version, "ordered": a.Version})
	}
	c.node.sidecar.SetBundle(b)
	c.node.quotas.setBundle(b)
	for _, t := range c.targetsByID {
		c.addHealthTarget(t)
		c.staleServices[t.Service] = true
	}
	c.viewChanged, c.viewUrgent = true, true
	c.stepMembers(membership.BundleActivated{Version: a.Version})
	c.stepKeyLease(freshness.Activated{Version: a.Version, RequiresKeys: b.Tenants.RequireKeys})
	c.node.log.Log(event.BundleActivated, event.Fields{"version": b.Version, "digest": a.Digest, "bundle": b.Name})
}

// startSync exchanges membership and target records with the node at addr in
// the background.
func (c *control) startSync(addr string) {
	req := &controlv1.SyncRequest{Nodes: c.members.Records(), Targets: c.targetRecords(), FormerBundles: c.node.lineage.former()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerFetchTimeout)
		defer cancel()
		resp, err := c.node.peers.clientForNode(fleet.Node{PeerAddr: addr}).Sync(ctx, req)
		if err != nil {
			c.node.log.Log(event.SyncFailed, event.Fields{"peer": addr, "error": err.Error()})
			return // membership requests the exchange again
		}
		c.node.lineage.learn(resp.GetFormerBundles())
		c.post(func() { c.merge(resp.GetNodes(), resp.GetTargets()) })
	}()
}

func (c *control) targetRecords() []*controlv1.Target {
	records := c.targets.Records()
	out := make([]*controlv1.Target, 0, len(records))
	for _, t := range records {
		out = append(out, membership.TargetToProto(t))
	}
	return out
}

func (c *control) merge(nodes []*controlv1.Node, targets []*controlv1.Target) {
	c.stepMembers(membership.Merge{Nodes: nodes})
	for _, t := range targets {
		// A rejected record is older than the known one.
		_ = c.stepTargets(remoteTargetUpdate(t))
	}
}
