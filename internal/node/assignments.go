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
	// refreshInterval bounds how often one service's assignment is asked for.
	refreshInterval = 50 * time.Millisecond
	// refreshPeers is how many nodes beside targets of the service are asked
	// at a time. One of them owns ranges and reads the platform.
	refreshPeers = 2
	// refreshTimeout bounds one question.
	refreshTimeout = 500 * time.Millisecond
	// platformEvery is how many fruitless questions pass before the platform
	// is read.
	platformEvery = 20
)

// assignments finds the owners of keyed operations for the ingress. An
// assignment is fetched when a request needs it, so that nodes which never
// call a service carry nothing for it. It implements ingress.Owners.
type assignments struct {
	node *Node
	// owners holds the nodes that can own keys, by service. The control
	// goroutine publishes it.
	owners atomic.Pointer[map[string][]fleet.NodeID]

	mu       sync.Mutex
	services map[string]*refresh
}

// refresh is the state of the questions about one service.
type refresh struct {
	running bool
	last    time.Time
	asked   int
}

func newAssignments(n *Node) *assignments {
	return &assignments{node: n, services: make(map[string]*refresh)}
}

// Locate returns the owner of a key as far as this node knows.
func (a *assignments) Locate(service, tenant, key string) (fleet.NodeID, fleet.Epoch, bool) {
	return a.node.operations.Locate(operation.Key{Service: service, Tenant: tenant, Value: key})
}

// Refresh asks for a newer assignment than the one with the given epoch. It
// does not wait for the answer.
func (a *assignments) Refresh(service string, epoch fleet.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.services[service]
	if r == nil {
		r = &refresh{}
		a.services[service] = r
	}
	now := time.Now()
	if r.running || now.Sub(r.last) < refreshInterval {
		return
	}
	r.running, r.last = true, now
	r.asked++
	readPlatform := r.asked%platformEvery == 0
	go func() {
		a.ask(service, readPlatform)
		a.mu.Lock()
		defer a.mu.Unlock()
		r.running = false
	}()
}

func (a *assignments) ask(service string, readPlatform bool) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	known, _ := a.node.operations.Known(service)
	req := &controlv1.FetchAssignmentsRequest{Known: map[string]uint64{service: known}}
	for _, id := range a.candidates(service) {
		client, err := a.node.peers.clientOf(id)
		if err != nil {
			continue
		}
		resp, err := client.FetchAssignments(ctx, req)
		if err != nil {
			continue
		}
		for _, found := range resp.GetAssignments() {
			a.learn(operation.Object{
				Key: operation.ObjectKey(found.GetService()), Version: found.GetVersion(), Value: found.GetValue(),
			})
		}
	}
	if readPlatform {
		if o, err := a.node.platform.Get(ctx, operation.ObjectKey(service)); err == nil {
			a.learn(operation.Object{Key: o.Key, Version: o.Version, Value: o.Value})
		}
	}
}

// candidates returns random nodes beside targets of the service.
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

func (a *assignments) learn(o operation.Object) {
	if err := a.node.operations.LearnAssignment(o); err != nil {
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
