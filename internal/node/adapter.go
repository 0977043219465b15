package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/platform"
	"siskinvale.dev/siskinvale/internal/rollout"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

// Adapter connects a node to a platform that has its own interfaces for
// callers, targets and configuration. It translates between these interfaces
// and those of the node; all decisions stay with the node.
type Adapter interface {
	// PlatformClient returns the client for the platform's object store.
	PlatformClient() platform.Client
	// FrontEnd returns the front end, which decodes the callers' requests.
	FrontEnd() ingress.FrontEnd
	// Dialect returns the protocol that the sidecar uses towards targets.
	Dialect() sidecar.Dialect
	// TargetRoutes registers the routes on which targets announce themselves.
	TargetRoutes(e *echo.Echo, local announce.LocalTargets, log *event.Logger)
	// CheckLeaving asks a target by a health check whether it is about to stop.
	// answered is false if the target itself did not answer before ctx ended.
	CheckLeaving(ctx context.Context, t fleet.Target, healthPath string) (leaving, answered bool)
	// ReadinessHandler answers the platform's readiness probes.
	ReadinessHandler(ready func() bool) http.Handler
	// ReadConfiguration and WatchConfiguration return the configuration and the
	// position from which the next watch continues. The content is empty when
	// the store holds no configuration or when a watch ends without a change.
	ReadConfiguration(ctx context.Context, c platform.Client) (content []byte, at platform.Position, err error)
	WatchConfiguration(ctx context.Context, c platform.Client, since platform.Position) (content []byte, at platform.Position, err error)
	ConfigurationVersion(content []byte) (uint64, error)
	ParseConfiguration(content []byte) (*bundle.Bundle, error)
}

const (
	// adapterReadersPerDataCentre is how many nodes of each data centre watch
	// the configuration, and adapterMinReaders is the smallest number of
	// watching nodes in the fleet. Each waiting watch is a call that the
	// platform charges for; the other nodes learn of a change from the watching
	// nodes within a few hundred milliseconds.
	adapterReadersPerDataCentre = 1
	adapterMinReaders           = 6
	// adapterReadDelay gives a restarted node time to learn about its peers
	// before it decides whether to read the configuration itself.
	adapterReadDelay = 20 * time.Millisecond
	// adapterFirstReadDelay is the same when the whole fleet starts for the first
	// time, and no caller waits yet. By then most nodes have peers and know
	// whether they are readers.
	adapterFirstReadDelay = 2500 * time.Millisecond
	// adapterBehindReadDelay leaves a node whose peers cannot deliver a version,
	// because its paths to them fail, more than a second of the two in which a
	// version must be in force everywhere.
	adapterBehindReadDelay = 600 * time.Millisecond
	// adapterStartWait is how long a new process lets requests wait for its
	// configuration, which it reads within some tens of milliseconds while the
	// store answers.
	adapterStartWait = 500 * time.Millisecond
	// adapterRetryMax limits the back-off between reads, so that a changed
	// configuration is in force within two seconds after an outage of the
	// store.
	adapterRetryMax = 1200 * time.Millisecond
	// adapterConfirmWithin is three times the duration of a watch. Together with
	// adapterMaxUnconfirmedInterval it bounds the time after which a node that
	// the store serves has read a configuration, whichever nodes it turns away.
	adapterConfirmWithin          = 3 * time.Second
	adapterMaxUnconfirmedInterval = 3 * time.Second
	// adapterBytesPerSecond is the budget for membership packets. It is sized
	// for the restart of all nodes, after which the records of targets must
	// spread within a second; average use is far lower.
	adapterBytesPerSecond = 20_000
)

func (n *Node) rolloutConfig() rollout.Config {
	cfg := rollout.Config{DataCentre: n.self.DataCentre, Seed: n.self.Incarnation}
	if n.adapter != nil {
		cfg.Readers, cfg.MinReaders = adapterReadersPerDataCentre, adapterMinReaders
		cfg.ReadDelay, cfg.MaxBackoff = adapterReadDelay, adapterRetryMax
		cfg.BehindReadDelay = adapterBehindReadDelay
		cfg.ConfirmWithin, cfg.MaxUnconfirmedInterval = adapterConfirmWithin, adapterMaxUnconfirmedInterval
		if n.settings.Load().Deployment.FirstStart {
			cfg.ReadDelay = adapterFirstReadDelay
		} else {
			// Callers wait.
			cfg.ReadWithoutBundle = true
		}
	}
	return cfg
}

func (n *Node) membershipConfig() membership.Config {
	cfg := membership.DefaultConfig()
	if n.adapter != nil {
		cfg.BytesPerSecond = adapterBytesPerSecond
		// Traffic between data centres is paid for.
		cfg.ProbeAll = false
	}
	return cfg
}

// bundleSource reads bundles from the platform and watches for new ones.
type bundleSource interface {
	Read(ctx context.Context) rollout.PlatformRead
	Watch(ctx context.Context, w rollout.WatchPlatform) rollout.PlatformRead
}

// signedSource reads signed bundles, which is the format used without an
// adapter.
type signedSource struct{ client platform.Client }

func (s signedSource) Read(ctx context.Context) rollout.PlatformRead {
	return rollout.Read(ctx, s.client)
}

func (s signedSource) Watch(ctx context.Context, w rollout.WatchPlatform) rollout.PlatformRead {
	return rollout.Watch(ctx, s.client, w)
}

// adapterSource reads the configuration through an adapter. The platform's
// store is the authority for its content, so no signatures are needed.
type adapterSource struct {
	adapter Adapter
	client  platform.Client
	lineage *lineage
}

func (s adapterSource) Read(ctx context.Context) rollout.PlatformRead {
	return s.platformRead(s.adapter.ReadConfiguration(ctx, s.client))
}

func (s adapterSource) Watch(ctx context.Context, w rollout.WatchPlatform) rollout.PlatformRead {
	content, at, err := s.adapter.WatchConfiguration(ctx, s.client, w.Since)
	if err == nil && s.lineage.due(time.Now()) {
		// Watches may miss changes; only a read shows what the store holds.
		content, at, err = s.adapter.ReadConfiguration(ctx, s.client)
	}
	read := s.platformRead(content, at, err)
	read.FromWatch, read.Since = true, w.Since
	return read
}

// platformRead wraps a configuration in an envelope without signatures. The
// version of the envelope is the ordered version.
func (s adapterSource) platformRead(content []byte, at platform.Position, err error) rollout.PlatformRead {
	read := rollout.PlatformRead{At: at, Err: err}
	if err != nil || len(content) == 0 {
		return read
	}
	stated, err := s.adapter.ConfigurationVersion(content)
	if err != nil {
		read.Err = err
		return read
	}
	manifest, pieces := bundle.NewManifest(stated, content)
	ordered, ok := s.lineage.order(stated, manifest.Digest, at.Era, time.Now())
	read.Undecided = !ok || !s.lineage.decided(ordered, manifest.Digest)
	if !ok {
		return read
	}
	manifest.Version = ordered
	read.Pieces = pieces
	read.Envelope, read.Err = (&bundle.Envelope{Manifest: manifest, Signatures: []bundle.Signature{}}).Encode()
	return read
}

// unsignedVerifier accepts envelopes without signatures. It implements
// rollout.Verifier.
type unsignedVerifier struct{ adapter Adapter }

// Verify decodes the envelope and returns the contents of its manifest. It
// checks no signatures.
func (unsignedVerifier) Verify(encoded []byte) (version uint64, digest string, pieces []string, err error) {
	e, err := bundle.DecodeEnvelope(encoded)
	if err != nil {
		return 0, "", nil, err
	}
	return e.Manifest.Version, e.Manifest.Digest, e.Manifest.Pieces, nil
}

// Assemble joins the pieces and parses the configuration through the adapter.
// The result is a *bundle.Bundle. The error wraps bundle.ErrContent when the
// version of the content is higher than that of the manifest, which is the
// ordered version, see lineage.
func (v unsignedVerifier) Assemble(encoded []byte, pieces map[string][]byte) (any, error) {
	e, err := bundle.DecodeEnvelope(encoded)
	if err != nil {
		return nil, err
	}
	content, err := e.Manifest.Join(pieces)
	if err != nil {
		return nil, err
	}
	b, err := v.adapter.ParseConfiguration(content)
	if err != nil {
		return nil, err
	}
	if b.Version > e.Manifest.Version {
		return nil, fmt.Errorf("%w: content has version %d, manifest has version %d", bundle.ErrContent, b.Version, e.Manifest.Version)
	}
	return b, nil
}
