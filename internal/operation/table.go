package operation

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Request is one attempt to run a keyed operation, as received by the owner.
type Request struct {
	Key Key
	// Fingerprint is a hash of the request's content: method, path and body.
	Fingerprint uint64
	// ReceivedAt is the wall time at which the ingress received the caller's
	// request. All attempts of that request carry the same time.
	ReceivedAt time.Time
	// Run is the number from the Run verdict. It must be set for MayDispatch,
	// Complete, Fail and Abandon.
	Run uint64
}

// Answer is the complete answer of a target.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Kind is an owner's decision about a request.
type Kind uint8

const (
	// NotOwner means that this node may not decide about the key now. This
	// attempt was not dispatched; other attempts may have been.
	NotOwner Kind = iota
	// Run means that the caller of Submit must run the operation now and then
	// call Complete, Fail or Abandon. From Manager.Do, it means that the
	// operation has run for this request and that the returned answer is the
	// answer of that run.
	Run
	// Replay means that the operation has run earlier; the verdict holds its
	// answer.
	Replay
	// Wait means that the operation is running for another request.
	Wait
	// NotRun means that the operation has not run, and that no request with
	// this key that an ingress has received by now will run.
	NotRun
	// Unknown means that the operation may have run.
	Unknown
	// Mismatch means that the key was used before with other content.
	Mismatch
)

var kindNames = [...]string{"not-owner", "run", "replay", "wait", "not-run", "unknown", "mismatch"}

func (k Kind) String() string { return kindNames[k] }

// Reason explains a verdict.
type Reason uint8

const (
	// ReasonNone accompanies Run, Replay and Wait.
	ReasonNone Reason = iota
	// ReasonNoLease means that the node does not own the range or holds no
	// lease.
	ReasonNoLease
	// ReasonHandover means that the range is being handed over.
	ReasonHandover
	// ReasonKeyFormat means that the key is not a UUIDv7. No owner runs such a
	// key.
	ReasonKeyFormat
	// ReasonKeyInFuture means that the key's creation time is ahead of the
	// owner's clock by more than MaxClockSkew.
	ReasonKeyInFuture
	// ReasonKeyTooOld means that the key is older than the retry window.
	ReasonKeyTooOld
	// ReasonFenced means that an earlier owner, now lost, may have run the key.
	ReasonFenced
	// ReasonRefused means that the key was refused a moment ago.
	ReasonRefused
	// ReasonTooManyKeys means that the owner has no room for a further key.
	ReasonTooManyKeys
	// ReasonDelayed means that the request, or the answer to it, was under way
	// for too long.
	ReasonDelayed
	// ReasonFailed means that the operation was dispatched and no complete
	// answer came back.
	ReasonFailed
	// ReasonAnswerNotHeld means that the operation has run and that its answer
	// is no longer held. The verdict names the status.
	ReasonAnswerNotHeld
	// ReasonDeadline means that the deadline passed during the wait for a
	// running duplicate.
	ReasonDeadline
	// ReasonContentMismatch means that the key was used before with other
	// content.
	ReasonContentMismatch
)

var reasonNames = [...]string{
	"", "no lease for the range", "the range is being handed over", "the key is not a UUIDv7",
	"the key's creation time is in the future", "the key is older than the retry window",
	"an earlier owner may have run the key", "the key was refused a moment ago", "too many keys are held",
	"the request was under way for too long", "the target gave no complete answer",
	"the answer is no longer held", "the deadline passed while a duplicate was running",
	"the key was used with other content",
}

func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision about one request.
type Verdict struct {
	Kind   Kind
	Reason Reason
	// Epoch is the epoch of the key's range.
	Epoch fleet.Epoch
	// Run is the number of the execution. It is set with the kinds Run and
	// Wait.
	Run uint64
	// Answer is set with Replay.
	Answer Answer
	// Status is the target's status with ReasonAnswerNotHeld.
	Status int
	// RetryAfter is the time after which a later request with the same key may
	// run. It is set with NotRun after a refusal.
	RetryAfter time.Duration
	// NotRunUntil is set with NotRun after a refusal. An ingress whose wall
	// clock is past NotRunUntil must answer Unknown: the caller may meanwhile
	// have sent another request that was not refused.
	NotRunUntil time.Time
}

// AsOf returns the verdict that the ingress may report to the caller at the
// given wall time. A NotRun verdict that was under way for too long becomes
// Unknown, because it no longer proves that the operation has not run.
func (v Verdict) AsOf(wall time.Time) Verdict {
	if v.Kind == NotRun && !v.NotRunUntil.IsZero() && wall.After(v.NotRunUntil) {
		return Verdict{Kind: Unknown, Reason: ReasonDelayed, Epoch: v.Epoch}
	}
	return v
}

// Outcome returns the outcome that the owner reports for the operation. For
// NotOwner it is NotRun, which holds for this attempt only; the ingress decides
// the outcome of the whole request.
func (v Verdict) Outcome() fleet.Outcome {
	switch v.Kind {
	case Run, Replay:
		return fleet.Answered
	case NotRun, NotOwner:
		return fleet.NotRun
	default:
		return fleet.Unknown
	}
}

// LeaseChecker reports whether a node holds a range with a valid lease. Owner
// implements it.
type LeaseChecker interface {
	Holds(index int, now ClockReading) (fleet.Epoch, bool)
}

type state uint8

const (
	running state = iota
	completed
	failed
	refused
)

var stateNames = [...]string{running: "running", completed: "completed", failed: "unknown", refused: "refused"}

type recordKey struct{ tenant, value string }

// record is what the owner knows about one key.
type record struct {
	key           recordKey
	index         int
	state         state
	fingerprint   uint64
	run           uint64
	created       time.Time
	changedAt     time.Time // time of the last change of state
	answerHeld    bool      // answer holds the complete answer
	answer        Answer
	answerSize    int
	expiryElement *list.Element
	answerElement *list.Element
}

type rangeState struct {
	owned   bool
	closing bool
	fence   time.Time // keys created up to this time may have run at an earlier owner
	running int
}

// Table holds the owner's records of the keys of one service.
type Table struct {
	service string
	cfg     Config
	leases  LeaseChecker
	ranges  []rangeState
	records map[recordKey]*record
	// finished and refusals hold the records that are not running, in the order
	// of their last change of state. Completed and failed records are in
	// finished, and refused records are in refusals. The lists have different
	// lifetimes; see advanceClock.
	finished, refusals *list.List
	// answers holds the records with an answer, the oldest first.
	answers     *list.List
	answerBytes int
	// refusedBefore replaces refusal records when the table is full: a request
	// that an ingress received up to this time is refused unless its key has a
	// record.
	refusedBefore time.Time
	wall          time.Time
	lastRun       uint64
	// version is the version of the view that Assign last applied.
	version uint64
}

// NewTable returns a table that owns no range. leases must stay valid as long
// as the table is used.
func NewTable(service string, cfg Config, leases LeaseChecker) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		service: service, cfg: cfg, leases: leases, ranges: make([]rangeState, cfg.Ranges),
		records: map[recordKey]*record{}, finished: list.New(), refusals: list.New(), answers: list.New(),
	}
}

// Submit decides about a request. After a Run verdict, the caller must call
// MayDispatch immediately before the dispatch, and then one of Complete, Fail
// and Abandon.
func (t *Table) Submit(now ClockReading, r Request) Verdict {
	wall := t.advanceClock(now)
	created, ok := r.Key.Created()
	if !ok {
		return Verdict{Kind: NotRun, Reason: ReasonKeyFormat}
	}
	index := r.Key.Range(len(t.ranges))
	rec := t.records[recordKey{r.Key.Tenant, r.Key.Value}]
	if rec != nil {
		if v, done := t.verdictFromRecord(rec, r); done {
			return v
		}
	}
	epoch, holds := t.leases.Holds(index, now)
	rs := &t.ranges[index]
	switch {
	case !holds || !rs.owned:
		return Verdict{Kind: NotOwner, Reason: ReasonNoLease, Epoch: epoch}
	case rs.closing:
		return Verdict{Kind: NotOwner, Reason: ReasonHandover, Epoch: epoch}
	case created.Before(wall.Add(-t.cfg.RetryWindow)):
		return Verdict{Kind: Unknown, Reason: ReasonKeyTooOld, Epoch: epoch}
	case rec == nil && !created.After(rs.fence):
		return Verdict{Kind: Unknown, Reason: ReasonFenced, Epoch: epoch}
	case r.ReceivedAt.Before(wall.Add(-t.cfg.MaxRequestAge)):
		return Verdict{Kind: Unknown, Reason: ReasonDelayed, Epoch: epoch}
	case created.After(wall.Add(t.cfg.MaxClockSkew)):
		return t.refuse(rec, index, r, created, ReasonKeyInFuture, epoch)
	case rec != nil && !r.ReceivedAt.After(rec.changedAt.Add(t.refusalPeriod())):
		return t.refuse(rec, index, r, created, ReasonRefused, epoch)
	case rec == nil && !r.ReceivedAt.After(t.refusedBefore):
		return t.refuse(nil, index, r, created, ReasonRefused, epoch)
	case rec == nil && len(t.records) >= t.cfg.MaxRecords:
		return t.refuse(nil, index, r, created, ReasonTooManyKeys, epoch)
	}
	if rec == nil {
		rec = t.addRecord(index, r, created)
	}
	t.lastRun++
	t.removeFromExpiry(rec)
	rec.state, rec.changedAt, rec.run = running, wall, t.lastRun
	rs.running++
	return Verdict{Kind: Run, Epoch: epoch, Run: t.lastRun}
}

// verdictFromRecord decides about a request whose key has a record. What the
// record says holds with or without a lease. It reports false when the key was
// refused, because a later request with the key may run.
func (t *Table) verdictFromRecord(rec *record, r Request) (Verdict, bool) {
	if rec.fingerprint != r.Fingerprint {
		return Verdict{Kind: Mismatch, Reason: ReasonContentMismatch}, true
	}
	switch rec.state {
	case running:
		return Verdict{Kind: Wait, Run: rec.run}, true
	case failed:
		return Verdict{Kind: Unknown, Reason: ReasonFailed}, true
	case completed:
		if rec.answerHeld {
			return Verdict{Kind: Replay, Answer: rec.answer}, true
		}
		return Verdict{Kind: Unknown, Reason: ReasonAnswerNotHeld, Status: rec.answer.Status}, true
	default:
		return Verdict{}, false
	}
}

// refuse stores a refusal record, or moves refusedBefore forward when the table
// is full, and returns NotRun. Each refusal starts a new refusal period,
// because its caller receives NotRun at this time.
func (t *Table) refuse(rec *record, index int, r Request, created time.Time, reason Reason, epoch fleet.Epoch) Verdict {
	v := Verdict{
		Kind: NotRun, Reason: reason, Epoch: epoch, RetryAfter: t.refusalPeriod() + t.cfg.MaxClockSkew,
		NotRunUntil: t.wall.Add(t.cfg.MaxRefusalTransit),
	}
	if rec == nil && len(t.records) >= t.cfg.MaxRecords {
		t.refusedBefore = t.wall.Add(t.refusalPeriod())
		return v
	}
	if rec == nil {
		rec = t.addRecord(index, r, created)
	}
	t.setState(rec, refused)
	return v
}

// refusalPeriod is how long after a refusal a request with the same key must
// have been received in order to run. The ingress may report NotRun to the
// caller until MaxRefusalTransit after the refusal by its own clock, which may
// be behind the owner's clock by MaxClockSkew. The clock of the ingress that
// receives a later request may be ahead of the first ingress's clock by
// MaxClockSkew.
func (t *Table) refusalPeriod() time.Duration { return t.cfg.MaxRefusalTransit + t.cfg.MaxClockSkew }

// MayDispatch reports whether the execution r.Run may be dispatched now: its
// record still exists and this node holds the lease. The caller must dispatch
// immediately or call Abandon.
func (t *Table) MayDispatch(now ClockReading, r Request) bool {
	t.advanceClock(now)
	rec := t.runningRecord(r)
	if rec == nil || !t.ranges[rec.index].owned {
		return false
	}
	_, holds := t.leases.Holds(rec.index, now)
	return holds
}

// Complete records the complete answer of a target.
func (t *Table) Complete(now ClockReading, r Request, a Answer) {
	t.advanceClock(now)
	rec := t.runningRecord(r)
	if rec == nil {
		return
	}
	t.decrementRunning(rec)
	rec.answer = Answer{Status: a.Status}
	if size := a.size(); size <= t.cfg.MaxAnswerBytes {
		rec.answer, rec.answerHeld, rec.answerSize = a, true, size
		rec.answerElement = t.answers.PushBack(rec)
		t.answerBytes += size
	}
	t.setState(rec, completed)
	for t.answerBytes > t.cfg.MaxTotalAnswerBytes {
		t.dropAnswer(t.answers.Front().Value.(*record))
	}
}

// Fail records that the operation was dispatched and that no complete answer
// came back. Later requests with the key get Unknown.
func (t *Table) Fail(now ClockReading, r Request) Verdict {
	t.advanceClock(now)
	if rec := t.runningRecord(r); rec != nil {
		t.decrementRunning(rec)
		t.setState(rec, failed)
	}
	return Verdict{Kind: Unknown, Reason: ReasonFailed}
}

// Abandon records that the operation was certainly not dispatched. It stores a
// refusal record (rule 6) and returns NotRun. Without a lease it returns
// NotOwner, because another owner may already decide about the key.
func (t *Table) Abandon(now ClockReading, r Request) Verdict {
	t.advanceClock(now)
	rec := t.runningRecord(r)
	if rec == nil {
		return Verdict{Kind: NotOwner, Reason: ReasonNoLease}
	}
	t.decrementRunning(rec)
	epoch, holds := t.leases.Holds(rec.index, now)
	if !holds || !t.ranges[rec.index].owned {
		// The record may have replaced that of an earlier refusal, so it is
		// kept.
		t.setState(rec, refused)
		return Verdict{Kind: NotOwner, Reason: ReasonNoLease, Epoch: epoch}
	}
	return t.refuse(rec, rec.index, r, rec.created, ReasonRefused, epoch)
}

// RunningIn returns how many operations of a range are running.
func (t *Table) RunningIn(index int) int { return t.ranges[index].running }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// AnswerBytes returns the total size in bytes of the kept answers.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Close makes the table answer NotOwner to new operations of the ranges, before
// a handover. Open reverses it.
func (t *Table) Close(indexes []int) { t.setClosing(indexes, true) }

// Open reverses Close.
func (t *Table) Open(indexes []int) { t.setClosing(indexes, false) }

func (t *Table) setClosing(indexes []int, closing bool) {
	for _, i := range indexes {
		t.ranges[i].closing = closing
	}
}

// Assign makes the table own exactly the ranges of the view whose owner is this
// process. Records of lost ranges are dropped. A gained range starts empty, or
// with the records that Install added before. Assign ignores a view that is not
// newer than the last one.
func (t *Table) Assign(now ClockReading, v VersionedAssignment, self fleet.NodeID, incarnation uint64) {
	t.advanceClock(now)
	if v.Version <= t.version {
		return
	}
	a := v.Assignment
	t.version = v.Version
	if len(t.ranges) != len(a.Ranges) && len(t.records) == 0 {
		// The platform object determines the number of ranges.
		t.ranges = make([]rangeState, len(a.Ranges))
	}
	lost := make(map[int]bool)
	for i := range t.ranges {
		rs := &t.ranges[i]
		owned := i < len(a.Ranges) && a.Ranges[i].Owner == self && a.Ranges[i].OwnerIncarnation == incarnation
		if owned {
			rs.fence = fenceTime(a.Ranges[i], t.cfg)
		}
		if owned != rs.owned {
			rs.owned, rs.closing = owned, false
			if !owned {
				lost[i] = true
			}
		}
	}
	if len(lost) > 0 {
		t.dropRanges(lost)
	}
}

// fenceTime returns the creation time up to which an earlier owner may have run
// a key. MaxClockSkew counts twice: an owner accepts keys whose creation time
// is up to MaxClockSkew ahead of its clock, and its clock may be that much
// ahead of the clock that wrote FencedAt.
func fenceTime(r Range, cfg Config) time.Time {
	if r.FencedAt.IsZero() {
		return time.Time{}
	}
	// Creation times of keys are whole milliseconds.
	return r.FencedAt.Add(2*cfg.MaxClockSkew + time.Millisecond)
}

func (t *Table) dropRanges(lost map[int]bool) {
	for _, rec := range t.records {
		if lost[rec.index] {
			t.removeRecord(rec)
		}
	}
	for i := range lost {
		t.ranges[i].running = 0
	}
}

// Record is the form in which a handover carries the record of one key.
type Record struct {
	Tenant, Value string
	Fingerprint   uint64
	State         string
	ChangedAt     time.Time
	AnswerHeld    bool
	Answer        Answer
}

// stateRefusedBefore is the state of the record that carries refusedBefore in a
// handover. The key of that record is empty.
const stateRefusedBefore = "refused-before"

// Snapshot returns the records of the ranges for a handover. The state of an
// operation that is still running is handed over as unknown.
func (t *Table) Snapshot(indexes []int) []Record {
	wanted := make(map[int]bool, len(indexes))
	for _, i := range indexes {
		wanted[i] = true
	}
	var records []Record
	if !t.refusedBefore.IsZero() {
		records = append(records, Record{State: stateRefusedBefore, ChangedAt: t.refusedBefore})
	}
	for _, rec := range t.records {
		if !wanted[rec.index] {
			continue
		}
		s := rec.state
		if s == running {
			s = failed
		}
		records = append(records, Record{
			Tenant: rec.key.tenant, Value: rec.key.value, Fingerprint: rec.fingerprint,
			State: stateNames[s], ChangedAt: rec.changedAt, AnswerHeld: rec.answerHeld, Answer: rec.answer,
		})
	}
	slices.SortFunc(records, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Tenant, y.Tenant), cmp.Compare(x.Value, y.Value))
	})
	return records
}

// Install adds the records of a handover. It must be called before Assign gives
// the ranges to the table. Records beyond MaxRecords are kept as well: a key
// that is known to have run must not be dropped.
func (t *Table) Install(now ClockReading, records []Record) {
	t.advanceClock(now)
	for _, h := range records {
		if h.State == stateRefusedBefore {
			if h.ChangedAt.After(t.refusedBefore) {
				t.refusedBefore = h.ChangedAt
			}
			continue
		}
		k := Key{t.service, h.Tenant, h.Value}
		created, ok := k.Created()
		if !ok {
			continue
		}
		if old := t.records[recordKey{h.Tenant, h.Value}]; old != nil {
			if old.state == running {
				continue // the end of this run gives more information than the handover
			}
			t.removeRecord(old)
		}
		rec := t.addRecord(k.Range(len(t.ranges)), Request{Key: k, Fingerprint: h.Fingerprint}, created)
		rec.answer = Answer{Status: h.Answer.Status}
		if h.State == stateNames[completed] && h.AnswerHeld && t.answerBytes+h.Answer.size() <= t.cfg.MaxTotalAnswerBytes {
			rec.answer, rec.answerHeld, rec.answerSize = h.Answer, true, h.Answer.size()
			rec.answerElement = t.answers.PushBack(rec)
			t.answerBytes += rec.answerSize
		}
		s := failed
		switch h.State {
		case stateNames[completed]:
			s = completed
		case stateNames[refused]:
			s = refused
		}
		t.setState(rec, s)
		if s == refused && h.ChangedAt.After(rec.changedAt) {
			// The previous owner's clock may be ahead of this node's clock.
			rec.changedAt = h.ChangedAt
		}
	}
}

func (a Answer) size() int {
	size := len(a.Body)
	for k, v := range a.Header {
		size += len(k) + len(v)
	}
	return size
}

func (t *Table) runningRecord(r Request) *record {
	rec := t.records[recordKey{r.Key.Tenant, r.Key.Value}]
	if rec == nil || rec.state != running || rec.run != r.Run {
		return nil
	}
	return rec
}

func (t *Table) addRecord(index int, r Request, created time.Time) *record {
	rec := &record{
		key: recordKey{r.Key.Tenant, r.Key.Value}, index: index,
		fingerprint: r.Fingerprint, created: created, changedAt: t.wall,
	}
	t.records[rec.key] = rec
	return rec
}

func (t *Table) decrementRunning(rec *record) { t.ranges[rec.index].running-- }

// setState sets the state of a record that is not running, and moves the record
// to the end of the list from which it expires.
func (t *Table) setState(rec *record, s state) {
	t.removeFromExpiry(rec)
	rec.state, rec.changedAt = s, t.wall
	if s == refused {
		rec.expiryElement = t.refusals.PushBack(rec)
	} else {
		rec.expiryElement = t.finished.PushBack(rec)
	}
}

func (t *Table) removeFromExpiry(rec *record) {
	if rec.expiryElement == nil {
		return
	}
	// List.Remove ignores an element of another list.
	t.refusals.Remove(rec.expiryElement)
	t.finished.Remove(rec.expiryElement)
	rec.expiryElement = nil
}

func (t *Table) removeRecord(rec *record) {
	t.removeFromExpiry(rec)
	t.dropAnswer(rec)
	delete(t.records, rec.key)
}

func (t *Table) dropAnswer(rec *record) {
	if rec.answerElement == nil {
		return
	}
	t.answers.Remove(rec.answerElement)
	t.answerBytes -= rec.answerSize
	rec.answerElement, rec.answerHeld, rec.answerSize = nil, false, 0
	rec.answer = Answer{Status: rec.answer.Status}
}

// advanceClock moves the table's wall clock, which never goes back, and removes
// expired records.
func (t *Table) advanceClock(now ClockReading) time.Time {
	if now.Wall.After(t.wall) {
		t.wall = now.Wall
	}
	// A record must outlive the time in which its key is accepted, which is
	// RetryWindow after the key's creation. One MaxClockSkew covers the
	// difference to another owner's clock, the other one a key whose creation
	// time was ahead of the clock when it was accepted.
	t.expire(t.finished, t.cfg.RetryWindow+2*t.cfg.MaxClockSkew)
	// After MaxRequestAge, a request that was received before the refusal gets
	// Unknown because of its age.
	t.expire(t.refusals, t.cfg.MaxRequestAge+t.refusalPeriod()+t.cfg.MaxClockSkew)
	return t.wall
}

func (t *Table) expire(l *list.List, lifetime time.Duration) {
	for e := l.Front(); e != nil; e = l.Front() {
		rec := e.Value.(*record)
		if t.wall.Sub(rec.changedAt) <= lifetime {
			return
		}
		t.removeRecord(rec)
	}
}
