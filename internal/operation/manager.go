package operation

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// Errors of a Platform.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object has another version; nothing was written.
	ErrConflict = errors.New("object has another version")
)

// Object is one object of the platform.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Platform is the part of the platform's client that this package needs. Get
// must reflect every write that was acknowledged before the call. Any error of
// Put but ErrConflict counts as uncertain.
type Platform interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
}

// Peers sends control calls to other nodes.
type Peers interface {
	RenewLease(ctx context.Context, to fleet.NodeID, req *controlv1.RenewLeaseRequest) (*controlv1.RenewLeaseResponse, error)
	HandOver(ctx context.Context, to fleet.NodeID, req *controlv1.HandOverRequest) (*controlv1.HandOverResponse, error)
}

// Clock reads both clocks of the node.
type Clock interface{ Now() Now }

type systemClock struct{ start time.Time }

// NewClock returns the clocks of the operating system.
func NewClock() Clock { return systemClock{start: time.Now()} }

func (c systemClock) Now() Now {
	t := time.Now()
	return Now{Mono: t.Sub(c.start), Wall: t.Round(0)}
}

// Ran says what became of an execution.
type Ran uint8

const (
	// Failed means that the operation was, or may have been, dispatched and no
	// whole answer came back.
	Failed Ran = iota
	// Answered means that the whole answer was received.
	Answered
	// NotDispatched means that the operation is proven not to be dispatched.
	NotDispatched
)

const (
	// tickEvery is the resolution of the lease machines' timers.
	tickEvery = 50 * time.Millisecond
	// callTimeout bounds a renewal: a later answer would be of no use.
	callTimeout = time.Second
	// platformTimeout bounds a platform call, which takes milliseconds.
	platformTimeout = 2 * time.Second
	// handOverTimeout bounds one message of a handover.
	handOverTimeout = 5 * time.Second
	// maxHandOverMessage is the size of the answers in one message.
	maxHandOverMessage = 1 << 20
	// maxHandOverRecords is the number of records in one message.
	maxHandOverRecords = 4096
)

// service is the state of one service on this node.
type service struct {
	name string
	cfg  Config
	mu   sync.Mutex
	// table, owner and standby are nil on a node that has no target of the
	// service; such a node only knows the view.
	table    *Table
	owner    *Owner
	standby  *Standby
	view     View
	members  []Member
	waiters  map[recordKey]chan struct{}
	outgoing map[fleet.NodeID]*controlMessages
}

// controlMessages are the messages of one handover, made once.
type controlMessages struct {
	epoch    fleet.Epoch
	messages []*controlv1.HandOverRequest
}

// Manager runs the tables and lease machines of one node.
type Manager struct {
	self        fleet.NodeID
	incarnation uint64
	cfg         Config
	platform    Platform
	peers       Peers
	clock       Clock
	log         *event.Logger

	mu       sync.Mutex // guards services, draining and closed
	services map[string]*service
	draining bool
	closed   bool

	views atomic.Pointer[map[string]View]
	work  sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	// io performs an action that is not the table's. It is perform except in
	// schedules with virtual time.
	io func(s *service, a Action)
}

// NewManager returns the manager of a process that starts now. incarnation is
// the start time of the process in Unix nanoseconds; it stays the same for its
// whole life, also when membership raises the node's incarnation.
func NewManager(self fleet.NodeID, incarnation uint64, cfg Config, platform Platform, peers Peers, clock Clock, log *event.Logger) *Manager {
	m := &Manager{
		self: self, incarnation: incarnation, cfg: cfg.withDefaults(), platform: platform, peers: peers,
		clock: clock, log: log, services: map[string]*service{},
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.io = m.perform
	m.views.Store(&map[string]View{})
	return m
}

// Locate returns the owner of the key's range and the epoch of the range, as
// far as this node knows. It takes no lock.
func (m *Manager) Locate(key Key) (fleet.NodeID, fleet.Epoch, bool) {
	v, ok := (*m.views.Load())[key.Service]
	if !ok {
		return "", 0, false
	}
	r := v.Assignment.Ranges[key.Range(len(v.Assignment.Ranges))]
	return r.Owner, r.Epoch, r.Owner != ""
}

// Known returns the version and epoch of the service's assignment that this
// node knows, 0 for none.
func (m *Manager) Known(service string) (version uint64, epoch fleet.Epoch) {
	v := (*m.views.Load())[service]
	return v.Version, v.Assignment.Epoch
}

// View returns the assignment of a service that this node knows.
func (m *Manager) View(service string) (View, bool) {
	v, ok := (*m.views.Load())[service]
	return v, ok
}

// Configure sets the number of ranges of a service and its retry window. It
// has an effect on a node that has not taken part in the service yet; the
// ranges of an existing assignment stay as they are.
func (m *Manager) Configure(name string, ranges int, retryWindow time.Duration) {
	s := m.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Ranges, s.cfg.RetryWindow = ranges, retryWindow
}

// SetMembers replaces the members of a service: all nodes beside a target of
// it. Lost nodes are left out; leaving nodes and nodes whose targets are all
// unhealthy or draining have Accepts false.
func (m *Manager) SetMembers(name string, members []Member) {
	s := m.service(name)
	m.mu.Lock()
	draining := m.draining
	m.mu.Unlock()
	members = slices.Clone(members)
	present := false
	for i := range members {
		if members[i].Node == m.self {
			present = true
			members[i].Accepts = members[i].Accepts && !draining
			members[i].Leaving = members[i].Leaving || draining
		}
	}
	slices.SortFunc(members, func(x, y Member) int { return compareNodes(x.Node, y.Node) })
	s.mu.Lock()
	s.members = members
	if present && s.table == nil {
		m.join(s)
	}
	s.mu.Unlock()
	m.step(s, MembersChanged{Members: members})
}

// join creates the machines of a service. The caller holds s.mu.
func (m *Manager) join(s *service) {
	leases := &ownerLeases{}
	s.table = NewTable(s.name, s.cfg, leases)
	s.owner = NewOwner(s.name, s.cfg, m.self, m.incarnation, s.table.RunningIn)
	leases.Owner = s.owner
	s.standby = NewStandby(s.name, s.cfg, m.self, m.incarnation, m.clock.Now())
}

// ownerLeases breaks the cycle between a table and its owner machine.
type ownerLeases struct{ *Owner }

// LearnAssignment takes in an object operations/<service> that was heard from
// the platform's watch or a peer.
func (m *Manager) LearnAssignment(o Object) error {
	if known, _ := m.Known(strings.TrimPrefix(o.Key, ObjectPrefix)); o.Version <= known {
		return nil
	}
	a, err := DecodeAssignment(o.Value)
	if err != nil {
		return err
	}
	if ObjectKey(a.Service) != o.Key {
		return fmt.Errorf("assignment: object %q is of service %q", o.Key, a.Service)
	}
	m.step(m.service(a.Service), AssignmentRead{View: View{Version: o.Version, Assignment: a}})
	return nil
}

// ErrNotMember means that this node has no target of the service.
var ErrNotMember = errors.New("this node has no target of the service")

// ReleaseUnowned is the operator's release of a service's ranges whose owner
// and standby are both gone (rule 8). It returns ErrNotMember on a node that
// has no target of the service.
func (m *Manager) ReleaseUnowned(name string) error {
	s := m.service(name)
	s.mu.Lock()
	member := s.table != nil
	s.mu.Unlock()
	if !member {
		return ErrNotMember
	}
	m.step(s, OperatorRelease{})
	return nil
}

// Run drives the timers until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer m.close()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		m.Tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// close ends all calls to the platform and to peers.
func (m *Manager) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop()
	m.work.Wait()
}

// Tick lets time pass in all machines. Run calls it.
func (m *Manager) Tick() {
	m.mu.Lock()
	services := slices.Collect(maps.Values(m.services))
	m.mu.Unlock()
	renewals := map[fleet.NodeID][]*controlv1.LeaseRenewal{}
	for _, s := range services {
		for _, a := range m.apply(s, Tick{}) {
			if r, ok := a.(SendRenew); ok {
				renewals[r.To] = append(renewals[r.To], renewal(s, r))
				continue
			}
			m.io(s, a)
		}
	}
	for to, list := range renewals {
		m.async(func(ctx context.Context) { m.sendRenewals(ctx, to, list) })
	}
}

func renewal(s *service, r SendRenew) *controlv1.LeaseRenewal {
	return &controlv1.LeaseRenewal{Service: s.name, Epoch: uint64(r.Epoch), Sequence: r.Sequence}
}

// standbyWait is how long a drained node waits for owners to replace it as
// their standby: an owner needs to hear of the drain and to write once.
const standbyWait = 2 * time.Second

// Drain hands over all ranges of this node. It returns when none is left and
// no owner needs its promises, for which it waits up to two seconds, or with
// an error that names the number of remaining ranges when ctx ends. Run must
// be running.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	services := slices.Collect(maps.Values(m.services))
	m.mu.Unlock()
	for _, s := range services {
		s.mu.Lock()
		members := slices.Clone(s.members)
		s.mu.Unlock()
		m.SetMembers(s.name, members)
		m.step(s, Leave{})
	}
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var without time.Time // when the last range was handed over
	for {
		left, promised := 0, 0
		for _, s := range services {
			owned, standby := s.named(m.self)
			left, promised = left+owned, promised+standby
		}
		switch {
		case left > 0:
			without = time.Time{}
		case without.IsZero():
			without = time.Now()
		}
		if left == 0 && (promised == 0 || time.Since(without) >= standbyWait) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d ranges not handed over: %w", left, ctx.Err())
		case <-ticker.C:
		}
	}
}

// named returns how many ranges this process owns and of how many the node is
// the standby, by the known view.
func (s *service) named(self fleet.NodeID) (owned, standby int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return 0, 0
	}
	for _, r := range s.owner.View().Assignment.Ranges {
		if r.Standby == self {
			standby++
		}
	}
	return s.owner.Owns(), standby
}

func (m *Manager) service(name string) *service {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		s = &service{name: name, cfg: m.cfg, waiters: map[recordKey]chan struct{}{}, outgoing: map[fleet.NodeID]*controlMessages{}}
		m.services[name] = s
	}
	return s
}

// step feeds an event to the machines and performs their actions.
func (m *Manager) step(s *service, ev Event) {
	for _, a := range m.apply(s, ev) {
		m.io(s, a)
	}
}

// apply feeds an event to the machines, applies the actions on the table, and
// returns the others.
func (m *Manager) apply(s *service, ev Event) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		if read, ok := ev.(AssignmentRead); ok && read.View.Version > s.view.Version {
			s.view = read.View
			m.publish(s)
		}
		return nil
	}
	now := m.clock.Now()
	if s.view.Version > s.owner.View().Version {
		// The view was learned before this node had a target of the service.
		ev0 := AssignmentRead{View: s.view}
		actions := append(s.standby.Step(now, ev0), s.owner.Step(now, ev0)...)
		return append(m.onTable(s, now, actions), m.onTable(s, now, m.feed(s, now, ev))...)
	}
	return m.onTable(s, now, m.feed(s, now, ev))
}

// feed passes the event to both machines. The standby comes first, so that the
// records of a handover are installed before the ranges are assigned.
func (m *Manager) feed(s *service, now Now, ev Event) []Action {
	actions := append(s.standby.Step(now, ev), s.owner.Step(now, ev)...)
	if done, ok := ev.(PlatformWriteDone); ok {
		// The write of one machine is news for the other.
		heard := AssignmentRead{View: done.View}
		actions = append(actions, s.standby.Step(now, heard)...)
		actions = append(actions, s.owner.Step(now, heard)...)
	}
	return actions
}

// onTable applies the actions that concern the table and publishes a new view.
func (m *Manager) onTable(s *service, now Now, actions []Action) []Action {
	var rest []Action
	for _, a := range actions {
		switch a := a.(type) {
		case Take:
			s.table.Install(now, a.Records)
			m.logTake(s, a)
		case CloseRanges:
			s.table.Close(a.Indexes)
		case OpenRanges:
			s.table.Open(a.Indexes)
		case SendHandOver:
			m.prepareHandOver(s, a)
			rest = append(rest, a)
		default:
			rest = append(rest, a)
		}
	}
	v := s.owner.View()
	s.table.Assign(now, v, m.self, m.incarnation)
	if v.Version > s.view.Version {
		s.view = v
		m.publish(s)
	}
	return rest
}

// publish replaces the snapshot that Locate reads.
func (m *Manager) publish(s *service) {
	for {
		old := m.views.Load()
		next := maps.Clone(*old)
		next[s.name] = s.view
		if m.views.CompareAndSwap(old, &next) {
			return
		}
	}
}

// perform starts the action's I/O.
func (m *Manager) perform(s *service, a Action) {
	switch a := a.(type) {
	case ReadAssignment:
		m.async(func(ctx context.Context) { m.read(ctx, s) })
	case WriteAssignment:
		m.async(func(ctx context.Context) { m.write(ctx, s, a) })
	case SendRenew:
		m.async(func(ctx context.Context) {
			m.sendRenewals(ctx, a.To, []*controlv1.LeaseRenewal{renewal(s, a)})
		})
	case SendHandOver:
		m.async(func(ctx context.Context) { m.sendHandOver(ctx, s, a) })
	case Release:
		m.log.Log(event.RangesReleased, event.Fields{"service": s.name, "ranges": len(a.Indexes)})
	case Unowned:
		m.logUnowned(s, a)
	}
}

func (m *Manager) async(f func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		f(m.ctx)
	}()
}

func (m *Manager) read(ctx context.Context, s *service) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := m.platform.Get(ctx, ObjectKey(s.name))
	if errors.Is(err, ErrNotFound) {
		m.step(s, AssignmentRead{Missing: true, FromPlatform: true})
		return
	}
	if err == nil {
		var a Assignment
		if a, err = DecodeAssignment(o.Value); err == nil {
			m.step(s, AssignmentRead{View: View{Version: o.Version, Assignment: a}, FromPlatform: true})
			return
		}
		m.log.Log(event.AssignmentInvalid, event.Fields{"service": s.name, "error": err.Error()})
	}
	m.step(s, ReadFailed{})
}

func (m *Manager) write(ctx context.Context, s *service, w WriteAssignment) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	value, err := w.Assignment.Encode()
	if err != nil {
		m.log.Log(event.AssignmentInvalid, event.Fields{"service": s.name, "error": err.Error()})
		return
	}
	o, err := m.platform.Put(ctx, ObjectKey(s.name), value, w.IfVersion)
	switch id := w.Assignment.WriteID; {
	case err == nil:
		m.step(s, PlatformWriteDone{WriteID: id, View: View{Version: o.Version, Assignment: w.Assignment}})
	case errors.Is(err, ErrConflict):
		m.step(s, PlatformWriteConflict{WriteID: id})
	default:
		m.step(s, PlatformWriteUncertain{WriteID: id})
	}
}

func compareNodes(x, y fleet.NodeID) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}
