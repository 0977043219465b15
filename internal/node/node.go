// Package node assembles the components of a node process and runs its
// lifecycle: start, reload and graceful stop.
package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/config"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/freshness"
	"siskinvale.dev/siskinvale/internal/hedge"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/metric"
	"siskinvale.dev/siskinvale/internal/operation"
	"siskinvale.dev/siskinvale/internal/platform"
	"siskinvale.dev/siskinvale/internal/rollout"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

// Node is a node process: ingress, sidecar and control plane.
type Node struct {
	self     fleet.Node
	settings atomic.Pointer[config.Settings]
	log      *event.Logger
	metrics  *metric.Set

	peerKeys     *auth.Keys
	operatorKeys *auth.Keys
	verifier     *verifier
	platform     *observedPlatform
	adapter      Adapter // nil without a platform adapter
	bundles      bundleSource
	lineage      lineage // used with an adapter
	pool         *link.Pool
	remote       *link.Remote
	peers        *peerCalls
	sidecar      *sidecar.Sidecar
	ingress      *ingress.Ingress
	operations   *operation.Manager
	assignments  *assignments
	control      *control
	quotas       *quotas // nil if quotas are not enforced
	leaving      atomic.Bool
	// bootTime reads the boot clock.
	bootTime func() time.Duration
}

// heldMemoryShare is the part of a node's memory, as a divisor, that bodies held
// for callers may take. The rest is for connections, buffers and control state.
const heldMemoryShare = 4

// New assembles a node from checked settings. It starts no goroutines and opens
// no listeners.
//
// The adapter replaces the node's default interfaces to callers, targets and
// the platform; nil selects the defaults. The error reports an invalid log
// level, key or trust entry.
func New(s *config.Settings, logger *logrus.Logger, adapter Adapter) (*Node, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, err
	}
	logger.SetLevel(level)
	n := &Node{
		self: fleet.Node{
			ID: s.Node.ID, Region: s.Node.Region, DataCentre: s.Node.DataCentre,
			PeerAddr: s.Listen.Peers, CallerAddr: s.Listen.Callers, OperatorAddr: s.Listen.Operators,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		log:     event.NewLogger(logger, event.Fields{"node": s.Node.ID, "dataCentre": s.Node.DataCentre}),
		metrics: metric.NewSet(),
		pool:    link.NewPool(linkConfig(s)),

		bootTime: freshness.BootTime,
	}
	n.settings.Store(s)
	n.adapter = adapter
	if n.peerKeys, err = keysOf(auth.AudiencePeer, s.Keys.Fleet, adapter); err != nil {
		return nil, fmt.Errorf("fleet keys: %w", err)
	}
	if n.operatorKeys, err = keysOf(auth.AudienceOperator, s.Keys.Operators, adapter); err != nil {
		return nil, fmt.Errorf("operator keys: %w", err)
	}
	if n.verifier, err = newVerifier(s.Trust); err != nil {
		return nil, err
	}
	n.platform = &observedPlatform{log: n.log, eraRisen: make(chan struct{}, 1)}
	if adapter != nil {
		n.platform.Client = adapter.PlatformClient()
		n.bundles = adapterSource{adapter, n.platform, &n.lineage}
	} else {
		n.platform.Client = platform.NewHTTP(s.Platform.Address, string(s.Platform.Token), platform.DefaultBudget())
		n.bundles = signedSource{n.platform}
	}
	n.remote = &link.Remote{Self: n.self.ID, Pool: n.pool, Keys: n.peerKeys}
	n.peers = &peerCalls{node: n}
	n.operations = operation.NewManager(n.self.ID, n.self.Incarnation, operation.DefaultConfig(),
		platformObjects{n.platform}, n.peers, operation.NewClock(), n.log)
	n.assignments = newAssignments(n)
	n.sidecar = sidecar.New(n.self.ID, keyedOperations{n.operations}, time.Now)
	ingressConfig := ingress.Config{
		Self: n.self.ID, Local: n.sidecar, Remote: n.remote, Owners: n.assignments,
		Log: n.log, Metrics: n.metrics, Clock: time.Now, InFlight: s.Limits.MaxInFlight,
		HeldBytes: s.Limits.MemoryMiB << 20 / heldMemoryShare,
		KeyLease:  n.ingressKeyLease(),
	}
	if adapter != nil {
		n.sidecar.SetDialect(adapter.Dialect(), n.log)
		ingressConfig.FrontEnd, ingressConfig.UncountedRefusals = adapter.FrontEnd(), true
		ingressConfig.StartWait = adapterStartWait
		ingressConfig.LocalRuns = func() ingress.LocalRuns {
			return ingress.LocalRuns{Active: n.sidecar.ActiveRuns(), IdempotentStarted: n.sidecar.IdempotentStarted(), RetryShare: n.sidecar.RetryShare()}
		}
		n.sidecar.SetCallsPerRun(func() map[string]float64 { return n.ingress.CallsPerRun() })
	}
	if r := s.FleetRetryBudget; r != nil {
		ingressConfig.FleetRetryBudget = ingress.FleetRetryBudget{Ratio: r.Ratio, Allowance: r.Allowance, Window: r.Window}
	}
	if n.quotas = newQuotas(n, s.Organisations); n.quotas != nil {
		ingressConfig.Quotas = n.quotas
	}
	if h := s.Hedging; h != nil && h.Ratio > 0 {
		ingressConfig.Hedger = hedge.New(h.Ratio)
	}
	var loans *retryLoans
	if s.FleetRetryBudget != nil {
		loans = newRetryLoans(n, s.FleetRetryBudget.Window)
		ingressConfig.RetryLoans = loans
	}
	n.ingress = ingress.New(ingressConfig)
	n.control = newControl(n)
	n.control.retryLoans = loans
	n.sidecar.SetLeaving(n.control.targetSaysLeaving)
	n.registerGauges()
	return n, nil
}

func linkConfig(s *config.Settings) link.Config {
	cfg := link.DefaultConfig()
	cfg.DataCentre = s.Node.DataCentre
	return cfg
}

// Run serves until ctx ends and then stops gracefully. The error tells why the
// node could not start or had to stop.
func (n *Node) Run(ctx context.Context) error {
	transport, err := membership.Listen(n.self.PeerAddr, n.peerKeys, n.control.deliver)
	if err != nil {
		n.log.Log(event.ListenerFailed, event.Fields{"listener": "membership", "error": err.Error()})
		return err
	}
	defer transport.Close()
	n.control.transport = transport
	n.quotas.start(transport)
	servers, err := n.listen()
	if err != nil {
		n.log.Log(event.ListenerFailed, event.Fields{"error": err.Error()})
		return err
	}
	// The background goroutines outlive ctx, because a graceful stop still
	// needs leases and membership.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	for _, s := range servers {
		group.Go(func() error {
			err := s.serve()
			if err != nil {
				n.log.Log(event.ListenerFailed, event.Fields{"listener": s.name, "error": err.Error()})
			}
			return err
		})
	}
	group.Go(func() error { n.control.run(groupCtx); return nil })
	if n.adapter == nil {
		group.Go(func() error { n.operations.Run(groupCtx); return nil })
	} else {
		// Requests through an adapter have no keys, so the node holds no
		// leases.
		group.Go(func() error { (&discovery{node: n, client: n.platform}).run(groupCtx); return nil })
	}
	n.log.Log(event.NodeStarted, event.Fields{"callers": n.self.CallerAddr, "peers": n.self.PeerAddr})

	select {
	case <-ctx.Done():
		n.drain()
	case <-groupCtx.Done():
	}
	wait := shutdownWait
	if n.adapter != nil {
		wait = stopMargin / 2
	}
	// Handlers that still wait get time to answer before their connections
	// close.
	cutOff := time.AfterFunc(wait/2, n.ingress.CutOff)
	servers.shutdown(wait)
	cutOff.Stop()
	stop()
	err = group.Wait()
	n.pool.Close()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	n.log.Log(event.NodeStopped, nil)
	return nil
}

// Ready reports whether callers should use this node. With an adapter, the node
// is not ready until a bundle is in force.
func (n *Node) Ready() bool {
	if n.adapter != nil && n.control.version.Load() == 0 {
		return false
	}
	return !n.leaving.Load() && n.control.ready.Load()
}

// keysOf creates the keys of an audience from the settings. A platform with an
// adapter may have no way to distribute secrets; without keys, its nodes do not
// authenticate each other and rely on the platform's network.
func keysOf(audience string, keys []config.Key, adapter Adapter) (*auth.Keys, error) {
	if adapter != nil && len(keys) == 0 {
		return auth.NewUnauthenticated(audience), nil
	}
	return auth.NewKeys(audience, config.AuthKeys(keys))
}

// Reload reads the settings file again. If the file has findings, all of it is
// refused and the previous settings stay in force.
func (n *Node) Reload(path string) {
	s, findings, err := config.Load(path)
	if err == nil && len(findings) > 0 {
		err = fmt.Errorf("%d findings, first: %s", len(findings), findings[0])
	}
	if err == nil {
		err = n.apply(s)
	}
	if err != nil {
		n.log.Log(event.SettingsRefused, event.Fields{"error": err.Error()})
		return
	}
	n.settings.Store(s)
	n.log.Log(event.SettingsRead, nil)
}

// apply puts those settings into force that can change while the node runs:
// keys, trust and the log level.
func (n *Node) apply(s *config.Settings) error {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	if err := n.verifier.replace(s.Trust); err != nil {
		return err
	}
	if err := n.peerKeys.Replace(config.AuthKeys(s.Keys.Fleet)); err != nil {
		return err
	}
	if err := n.operatorKeys.Replace(config.AuthKeys(s.Keys.Operators)); err != nil {
		return err
	}
	n.log.SetLevel(level)
	return nil
}

func (n *Node) registerGauges() {
	n.metrics.RegisterGauge("siskinvale_log_lines_left_out", func() float64 { return float64(n.log.Dropped()) })
	if counter, ok := n.platform.Client.(platform.CallCounter); ok {
		n.metrics.RegisterGauge("siskinvale_platform_calls", func() float64 {
			calls := counter.Counts()
			return float64(calls.Reads + calls.Writes + calls.Watches)
		})
		n.metrics.RegisterGauge("siskinvale_platform_malformed", func() float64 { return float64(counter.Counts().Malformed) })
	}
	n.metrics.RegisterGauge("siskinvale_ingress_in_flight", func() float64 { return float64(n.ingress.InFlight()) })
	n.metrics.RegisterGauge("siskinvale_held_bytes", func() float64 { return float64(n.ingress.HeldBytes()) })
	n.metrics.RegisterGauge("siskinvale_sidecar_in_flight", func() float64 { return float64(n.sidecar.InFlight()) })
	n.metrics.RegisterGauge("siskinvale_bundle_version", func() float64 { return float64(n.control.statedVersion.Load()) })
	n.metrics.RegisterGauge("siskinvale_answers_mismatched", func() float64 { return float64(n.remote.Mismatched.Load()) })
	n.metrics.RegisterGauge("siskinvale_known_targets", func() float64 { return float64(n.control.counts.Load().targets) })
	n.metrics.RegisterGauge("siskinvale_known_nodes", func() float64 { return float64(n.control.counts.Load().nodes) })
	n.metrics.RegisterGauge("siskinvale_udp_sent_bytes", func() float64 { return n.control.udpCounter(sentBytes) })
	n.metrics.RegisterGauge("siskinvale_udp_received_bytes", func() float64 { return n.control.udpCounter(receivedBytes) })
	for _, reason := range rollout.ReadReasons() {
		n.metrics.RegisterGauge(fmt.Sprintf("siskinvale_bundle_reads{reason=%q}", reason), func() float64 {
			return float64(n.control.counts.Load().rollout.ReadsByReason[reason])
		})
	}
	n.control.traffic.register(n.metrics)
	n.registerKeyLeaseGauges()
	n.quotas.register(n.metrics)
	n.control.retryLoans.register(n.metrics)
	for scope, traffic := range map[string]*link.Traffic{"own": &n.pool.Own, "other": &n.pool.Other} {
		n.metrics.RegisterGauge(fmt.Sprintf("siskinvale_link_bytes{dataCentre=%q,direction=\"sent\"}", scope), func() float64 {
			sent, _ := traffic.Bytes()
			return float64(sent)
		})
		n.metrics.RegisterGauge(fmt.Sprintf("siskinvale_link_bytes{dataCentre=%q,direction=\"received\"}", scope), func() float64 {
			_, received := traffic.Bytes()
			return float64(received)
		})
	}
	n.metrics.RegisterGauge("siskinvale_control_lag_seconds", func() float64 { return n.control.lag().Seconds() })
}

// BundleVersion returns the version of the bundle in force on this node as its
// operator states it, 0 if there is none.
func (n *Node) BundleVersion() uint64 { return n.control.statedVersion.Load() }
