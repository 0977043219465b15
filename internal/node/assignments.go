package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/operation"
	"siskinvale.dev/siskinvale/internal/platform"
)

const (
	// refreshInterval is the shortest time between two fetches of one service's
	// assignment.
	refreshInterval = 50 * time.Millisecond
	// refreshPeers is how many nodes with targets of the service are asked in
	// one fetch. At least one of them is expected to own key ranges and
	// therefore to read the assignment from the platform.
	refreshPeers = 2
	// refreshTimeout bounds one fetch, over all peers and the platform.
	refreshTimeout = 500 * time.Millisecond
	// fetchesPerPlatformRead is how many fetches of a service's assignment are
	// started for each one that also reads the platform.
	fetchesPerPlatformRead = 20
)

// assignments finds the owners of keyed operations for the ingress. An
// assignment is fetched only when a request needs it, so that nodes that never
// call a service hold no assignment of it. It implements ingress.Owners.
type assignments struct {
	node *Node
	// owners holds, by service, the nodes that can own keys. The control
	// goroutine publishes the map.
	owners atomic.Pointer[map[string][]fleet.NodeID]

	mu       sync.Mutex
	services map[string]*refreshState
}

// refreshState is the state of the fetches for one service.
type refreshState struct {
	running   bool
	lastStart time.Time
	fetches   int
}

func newAssignments(n *Node) *assignments {
	return &assignments{node: n, services: make(map[string]*refreshState)}
}

// Locate returns the owner of a key and the epoch of its assignment, as far as
// this node knows them. It reports false when no owner is known.
func (a *assignments) Locate(service, tenant, key string) (fleet.NodeID, fleet.Epoch, bool) {
	return a.node.operations.Locate(operation.Key{Service: service, Tenant: tenant, Value: key})
}

// Refresh starts a fetch of the service's assignment in the background unless
// one is running or was started within refreshInterval. It does not wait for
// the result. The epoch is ignored: peers are asked for any assignment newer
// than the known one.
func (a *assignments) Refresh(service string, epoch fleet.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.services[service]
	if r == nil {
		r = &refreshState{}
		a.services[service] = r
	}
	now := time.Now()
	if r.running || now.Sub(r.lastStart) < refreshInterval {
		return
	}
	r.running, r.lastStart = true, now
	r.fetches++
	readPlatform := r.fetches%fetchesPerPlatformRead == 0
	go func() {
		a.fetch(service, readPlatform)
		a.mu.Lock()
		defer a.mu.Unlock()
		r.running = false
	}()
}

// fetch requests the assignment of a service from peers and, if readPlatform is
// set, also from the platform.
func (a *assignments) fetch(service string, readPlatform bool) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	known, _ := a.node.operations.KnownVersion(service)
	req := &controlv1.FetchAssignmentsRequest{Known: map[string]uint64{service: known}}
	for _, id := range a.candidates(service) {
		client, err := a.node.peers.clientByID(id)
		if err != nil {
			continue
		}
		resp, err := client.FetchAssignments(ctx, req)
		if err != nil {
			continue
		}
		for _, found := range resp.GetAssignments() {
			a.applyAssignment(operation.Object{
				Key: operation.ObjectKey(found.GetService()), Version: found.GetVersion(), Value: found.GetValue(),
			})
		}
	}
	if readPlatform {
		if o, err := a.node.platform.Get(ctx, operation.ObjectKey(service)); err == nil {
			a.applyAssignment(operation.Object{Key: o.Key, Version: o.Version, Value: o.Value})
		}
	}
}

// candidates returns up to refreshPeers randomly chosen nodes with targets of
// the service, without this node.
func (a *assignments) candidates(service string) []fleet.NodeID {
	owners := a.owners.Load()
	if owners == nil {
		return nil
	}
	var ids []fleet.NodeID
	for _, id := range (*owners)[service] {
		if id != a.node.self.ID {
			ids = append(ids, id)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), refreshPeers)]
}

func (a *assignments) applyAssignment(o operation.Object) {
	if err := a.node.operations.HandleAssignment(o); err != nil {
		a.node.log.Log(event.MessageRefused, event.Fields{"error": err.Error()})
	}
}

// platformObjects adapts the platform client to operation.Platform.
type platformObjects struct {
	client platform.Client
}

func (p platformObjects) Get(ctx context.Context, key string) (operation.Object, error) {
	o, err := p.client.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return operation.Object{}, operation.ErrNotFound
	}
	return operation.Object{Key: o.Key, Version: o.Version, Value: o.Value}, err
}

func (p platformObjects) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (operation.Object, error) {
	o, err := p.client.Put(ctx, key, value, ifVersion)
	if errors.Is(err, platform.ErrConflict) {
		return operation.Object{}, operation.ErrConflict
	}
	return operation.Object{Key: o.Key, Version: o.Version, Value: o.Value}, err
}
