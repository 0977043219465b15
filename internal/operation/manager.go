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

// Errors that a Platform returns.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object has another version and that nothing
	// was written.
	ErrConflict = errors.New("object has another version")
)

// Object is one object of the platform.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Platform is the part of the platform's client that this package needs. Get
// must reflect every write that was acknowledged before the call. After an
// error of Put other than ErrConflict, it is uncertain whether the write takes
// effect.
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
type Clock interface{ Now() ClockReading }

type systemClock struct{ start time.Time }

// NewClock returns a Clock that reads the clocks of the operating system.
func NewClock() Clock { return systemClock{start: time.Now()} }

func (c systemClock) Now() ClockReading {
	t := time.Now()
	return ClockReading{Mono: t.Sub(c.start), Wall: t.Round(0)}
}

// ExecutionResult is the result of an execution.
type ExecutionResult uint8

const (
	// Failed means that the operation was or may have been dispatched and that
	// no complete answer came back.
	Failed ExecutionResult = iota
	// Answered means that the complete answer was received.
	Answered
	// NotDispatched means that the operation was certainly not dispatched.
	NotDispatched
)

const (
	// tickInterval is the resolution of the lease state machines' timers.
	tickInterval = 50 * time.Millisecond
	// renewTimeout bounds a lease renewal. A later answer would be of no use.
	renewTimeout = time.Second
	// platformTimeout bounds a platform call, which normally takes
	// milliseconds.
	platformTimeout = 2 * time.Second
	// handOverTimeout bounds the sending of one handover message.
	handOverTimeout = 5 * time.Second
	// maxHandOverAnswerBytes bounds the total size of the answers in one
	// handover message.
	maxHandOverAnswerBytes = 1 << 20
	// maxHandOverRecords bounds the number of records in one handover message.
	maxHandOverRecords = 4096
)

// service is the state of one service on this node.
type service struct {
	name string
	cfg  Config
	mu   sync.Mutex
	// table, owner and standby are nil on a node that has no target of the
	// service. Such a node knows only the view.
	table    *Table
	owner    *Owner
	standby  *Standby
	view     VersionedAssignment
	members  []Member
	waiters  map[recordKey]chan struct{}
	outgoing map[fleet.NodeID]*handOverMessages
}

// handOverMessages holds the messages of one handover, which are encoded only
// once.
type handOverMessages struct {
	epoch    fleet.Epoch
	messages []*controlv1.HandOverRequest
}

// Manager runs the tables and lease state machines of one node.
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

	views atomic.Pointer[map[string]VersionedAssignment]
	tasks sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	// performAction performs an action that does not concern the table. It is
	// startAction, except in tests with virtual time.
	performAction func(s *service, a Action)
}

// NewManager returns the manager of a process that starts now. incarnation is
// the start time of the process in Unix nanoseconds. It stays the same for the
// life of the process, even when membership raises the node's incarnation.
func NewManager(self fleet.NodeID, incarnation uint64, cfg Config, platform Platform, peers Peers, clock Clock, log *event.Logger) *Manager {
	m := &Manager{
		self: self, incarnation: incarnation, cfg: cfg.withDefaults(), platform: platform, peers: peers,
		clock: clock, log: log, services: map[string]*service{},
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.performAction = m.startAction
	m.views.Store(&map[string]VersionedAssignment{})
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

// KnownVersion returns the version and epoch of the service's assignment that
// this node knows, or zeros if it knows none.
func (m *Manager) KnownVersion(service string) (version uint64, epoch fleet.Epoch) {
	v := (*m.views.Load())[service]
	return v.Version, v.Assignment.Epoch
}

// View returns the assignment of a service that this node knows.
func (m *Manager) View(service string) (VersionedAssignment, bool) {
	v, ok := (*m.views.Load())[service]
	return v, ok
}

// Configure sets the number of ranges of a service and its retry window. It has
// no effect once this node has become a member of the service, and it does not
// change the number of ranges of an existing assignment.
func (m *Manager) Configure(name string, ranges int, retryWindow time.Duration) {
	s := m.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Ranges, s.cfg.RetryWindow = ranges, retryWindow
}

// SetMembers replaces the members of a service, which are all nodes beside a
// target of the service. Lost nodes must be left out. Leaving nodes, and nodes
// whose targets are all unhealthy or draining, must have AcceptsWork false.
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
			members[i].AcceptsWork = members[i].AcceptsWork && !draining
			members[i].Leaving = members[i].Leaving || draining
		}
	}
	slices.SortFunc(members, func(x, y Member) int { return compareNodes(x.Node, y.Node) })
	s.mu.Lock()
	s.members = members
	if present && s.table == nil {
		m.createMachines(s)
	}
	s.mu.Unlock()
	m.step(s, MembersChanged{Members: members})
}

// createMachines creates the table and the lease state machines of a service.
// The caller must hold s.mu.
func (m *Manager) createMachines(s *service) {
	leases := &ownerLeases{}
	s.table = NewTable(s.name, s.cfg, leases)
	s.owner = NewOwner(s.name, s.cfg, m.self, m.incarnation, s.table.RunningIn)
	leases.Owner = s.owner
	s.standby = NewStandby(s.name, s.cfg, m.self, m.incarnation, m.clock.Now())
}

// ownerLeases lets a table and its Owner refer to each other.
type ownerLeases struct{ *Owner }

// HandleAssignment handles an object operations/<service> that the platform's
// watch or a peer reported. It ignores a version that is not newer than the
// known one, and returns an error if the object is not a valid assignment of
// the service that its key names.
func (m *Manager) HandleAssignment(o Object) error {
	if known, _ := m.KnownVersion(strings.TrimPrefix(o.Key, ObjectPrefix)); o.Version <= known {
		return nil
	}
	a, err := DecodeAssignment(o.Value)
	if err != nil {
		return err
	}
	if ObjectKey(a.Service) != o.Key {
		return fmt.Errorf("assignment: object %q holds the assignment of service %q", o.Key, a.Service)
	}
	m.step(m.service(a.Service), AssignmentRead{View: VersionedAssignment{Version: o.Version, Assignment: a}})
	return nil
}

// ErrNotMember means that this node has no target of the service.
var ErrNotMember = errors.New("this node has no target of the service")

// ReleaseUnowned releases, for an operator, the ranges of a service whose owner
// and standby are both lost (rule 8). It returns ErrNotMember on a node that
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

// Run drives the timers of the lease state machines until ctx ends. It then
// cancels all calls to the platform and to peers and waits for their end.
func (m *Manager) Run(ctx context.Context) {
	defer m.close()
	ticker := time.NewTicker(tickInterval)
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

// close cancels all calls to the platform and to peers, and waits for their
// end.
func (m *Manager) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop()
	m.tasks.Wait()
}

// Tick sends a Tick event to the lease state machines of all services. Run
// calls it.
func (m *Manager) Tick() {
	m.mu.Lock()
	services := slices.Collect(maps.Values(m.services))
	m.mu.Unlock()
	renewals := map[fleet.NodeID][]*controlv1.LeaseRenewal{}
	for _, s := range services {
		for _, a := range m.apply(s, Tick{}) {
			if r, ok := a.(SendRenew); ok {
				renewals[r.To] = append(renewals[r.To], renewalMessage(s, r))
				continue
			}
			m.performAction(s, a)
		}
	}
	for to, list := range renewals {
		m.startTask(func(ctx context.Context) { m.sendRenewals(ctx, to, list) })
	}
}

func renewalMessage(s *service, r SendRenew) *controlv1.LeaseRenewal {
	return &controlv1.LeaseRenewal{Service: s.name, Epoch: uint64(r.Epoch), Sequence: r.Sequence}
}

// standbyReplacementWait is how long a drained node waits for owners to replace
// it as their standby. An owner needs this time to learn of the drain and to
// write once.
const standbyReplacementWait = 2 * time.Second

// Drain hands over all ranges of this node. It returns when no range is left
// and no owner needs this node's promises. For the latter it waits at most two
// seconds. If ctx ends first, it returns an error with the number of remaining
// ranges. Run must be running.
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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var rangelessSince time.Time // time since which this node owns no range
	for {
		ownedRanges, standbyRanges := 0, 0
		for _, s := range services {
			owned, standby := s.rangeCounts(m.self)
			ownedRanges, standbyRanges = ownedRanges+owned, standbyRanges+standby
		}
		switch {
		case ownedRanges > 0:
			rangelessSince = time.Time{}
		case rangelessSince.IsZero():
			rangelessSince = time.Now()
		}
		if ownedRanges == 0 && (standbyRanges == 0 || time.Since(rangelessSince) >= standbyReplacementWait) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d ranges not handed over: %w", ownedRanges, ctx.Err())
		case <-ticker.C:
		}
	}
}

// rangeCounts returns how many ranges this process owns and of how many ranges
// the node is the standby, according to the known view.
func (s *service) rangeCounts(self fleet.NodeID) (owned, standby int) {
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
	return s.owner.OwnedRanges(), standby
}

func (m *Manager) service(name string) *service {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		s = &service{name: name, cfg: m.cfg, waiters: map[recordKey]chan struct{}{}, outgoing: map[fleet.NodeID]*handOverMessages{}}
		m.services[name] = s
	}
	return s
}

// step passes an event to the lease state machines and performs their actions.
func (m *Manager) step(s *service, ev Event) {
	for _, a := range m.apply(s, ev) {
		m.performAction(s, a)
	}
}

// apply passes an event to the lease state machines, applies the actions that
// concern the table, and returns the other actions.
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
		// This node learned the view before it had a target of the service.
		earlierRead := AssignmentRead{View: s.view}
		actions := append(s.standby.Step(now, earlierRead), s.owner.Step(now, earlierRead)...)
		return append(m.applyToTable(s, now, actions), m.applyToTable(s, now, m.stepMachines(s, now, ev))...)
	}
	return m.applyToTable(s, now, m.stepMachines(s, now, ev))
}

// stepMachines passes the event to both state machines. The standby comes
// first, so that the records of a handover are installed before the ranges are
// assigned.
func (m *Manager) stepMachines(s *service, now ClockReading, ev Event) []Action {
	actions := append(s.standby.Step(now, ev), s.owner.Step(now, ev)...)
	if done, ok := ev.(PlatformWriteDone); ok {
		// Each state machine must also learn the result of the other one's
		// write.
		written := AssignmentRead{View: done.View}
		actions = append(actions, s.standby.Step(now, written)...)
		actions = append(actions, s.owner.Step(now, written)...)
	}
	return actions
}

// applyToTable applies the actions that concern the table, publishes a new
// view, and returns the other actions.
func (m *Manager) applyToTable(s *service, now ClockReading, actions []Action) []Action {
	var rest []Action
	for _, a := range actions {
		switch a := a.(type) {
		case RangesTaken:
			s.table.Install(now, a.Records)
			m.logTakeover(s, a)
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

// publish replaces the snapshot of views that Locate reads.
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

// startAction starts the I/O of an action, or logs the action.
func (m *Manager) startAction(s *service, a Action) {
	switch a := a.(type) {
	case ReadAssignment:
		m.startTask(func(ctx context.Context) { m.readAssignment(ctx, s) })
	case WriteAssignment:
		m.startTask(func(ctx context.Context) { m.writeAssignment(ctx, s, a) })
	case SendRenew:
		m.startTask(func(ctx context.Context) {
			m.sendRenewals(ctx, a.To, []*controlv1.LeaseRenewal{renewalMessage(s, a)})
		})
	case SendHandOver:
		m.startTask(func(ctx context.Context) { m.sendHandOver(ctx, s, a) })
	case RangesLost:
		m.log.Log(event.RangesReleased, event.Fields{"service": s.name, "ranges": len(a.Indexes)})
	case UnownedRanges:
		m.logUnowned(s, a)
	}
}

func (m *Manager) startTask(f func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		f(m.ctx)
	}()
}

func (m *Manager) readAssignment(ctx context.Context, s *service) {
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
			m.step(s, AssignmentRead{View: VersionedAssignment{Version: o.Version, Assignment: a}, FromPlatform: true})
			return
		}
		m.log.Log(event.AssignmentInvalid, event.Fields{"service": s.name, "error": err.Error()})
	}
	m.step(s, ReadFailed{})
}

func (m *Manager) writeAssignment(ctx context.Context, s *service, w WriteAssignment) {
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
		m.step(s, PlatformWriteDone{WriteID: id, View: VersionedAssignment{Version: o.Version, Assignment: w.Assignment}})
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
