package operation

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Request is one attempt to run a keyed operation, as it reaches the owner.
type Request struct {
	Key Key
	// Fingerprint is a hash of everything that makes the content of the
	// request: method, path and body.
	Fingerprint uint64
	// ReceivedAt is the wall time at which the ingress received the caller's
	// request. It stays the same over all attempts of that request.
	ReceivedAt time.Time
	// Run is the number from the Run verdict. It is set for MayDispatch,
	// Complete, Fail and Abandon.
	Run uint64
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Kind is what an owner decides about a request.
type Kind uint8

const (
	// NotOwner means that this node may not decide about the key now. This
	// attempt was not dispatched; nothing is said about other attempts.
	NotOwner Kind = iota
	// Run means that the caller of Submit must run the operation now and then
	// call Complete, Fail or Abandon. From Manager.Do it means that the
	// operation was run and that the answer is its first one.
	Run
	// Replay means that the operation has run; the verdict holds its answer.
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
	// ReasonNoLease means that the node does not own the range or holds no lease.
	ReasonNoLease
	// ReasonMoving means that the range is being handed over.
	ReasonMoving
	// ReasonKeyFormat means that the key is not a UUIDv7. No owner runs such a key.
	ReasonKeyFormat
	// ReasonKeyInFuture means that the key's creation time is ahead of the
	// owner's clock by more than the clock allowance.
	ReasonKeyInFuture
	// ReasonKeyTooOld means that the key is older than the retry window.
	ReasonKeyTooOld
	// ReasonFenced means that an earlier owner, now lost, may have run the key.
	ReasonFenced
	// ReasonRefused means that the key was refused a moment ago.
	ReasonRefused
	// ReasonFull means that the owner has no room for a further key.
	ReasonFull
	// ReasonDelayed means that the request was under way for too long.
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
	// ReasonContent means that the key was used before with other content.
	ReasonContent
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
	// Epoch is that of the range.
	Epoch fleet.Epoch
	// Run numbers the execution, with Run.
	Run uint64
	// Answer is set with Replay.
	Answer Answer
	// Status is the target's status with ReasonAnswerNotHeld.
	Status int
	// RetryAfter is when a later request with the same key may run, with
	// NotRun.
	RetryAfter time.Duration
	// NotRunUntil is set with NotRun after a refusal. An ingress whose wall
	// clock is past it must answer Unknown: the caller may have sent another
	// request meanwhile that was not refused.
	NotRunUntil time.Time
}

// At returns the verdict as the ingress may state it at the wall time. An
// answer that was under way for too long no longer proves NotRun.
func (v Verdict) At(wall time.Time) Verdict {
	if v.Kind == NotRun && !v.NotRunUntil.IsZero() && wall.After(v.NotRunUntil) {
		return Verdict{Kind: Unknown, Reason: ReasonDelayed, Epoch: v.Epoch}
	}
	return v
}

// Outcome is the outcome that the owner states for the operation. NotOwner is
// NotRun for this attempt only; the ingress judges the request as a whole.
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

// Leases says whether a node holds a range with a valid lease. Owner
// implements it.
type Leases interface {
	Holds(index int, now Now) (fleet.Epoch, bool)
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
	key         recordKey
	index       int
	state       state
	fingerprint uint64
	run         uint64
	created     time.Time
	at          time.Time // of the last change of state
	held        bool      // the answer is complete in answer
	answer      Answer
	size        int
	byExpiry    *list.Element
	byAnswer    *list.Element
}

type rangeState struct {
	owned   bool
	closing bool
	fence   time.Time // keys created at or before it may have run elsewhere
	running int
}

// Table is the owner's record of the keys of one service.
type Table struct {
	service string
	cfg     Config
	leases  Leases
	ranges  []rangeState
	records map[recordKey]*record
	// expiry holds the records that are not running, per lifetime in order of
	// their last change: settled for the retry window, refused for MaxDelay.
	settled, refusals *list.List
	// answers holds the records with an answer, the oldest first.
	answers     *list.List
	answerBytes int
	// refusedBefore replaces refusal records when the table is full: requests
	// that an ingress received up to this time are refused unless their key
	// has a record.
	refusedBefore time.Time
	wall          time.Time
	runs          uint64
	// version is that of the view of the last Assign.
	version uint64
}

// NewTable returns a table that owns no range. leases must stay valid.
func NewTable(service string, cfg Config, leases Leases) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		service: service, cfg: cfg, leases: leases, ranges: make([]rangeState, cfg.Ranges),
		records: map[recordKey]*record{}, settled: list.New(), refusals: list.New(), answers: list.New(),
	}
}

// Submit decides about a request. After Run the caller must call MayDispatch
// immediately before the dispatch and one of Complete, Fail and Abandon after.
func (t *Table) Submit(now Now, r Request) Verdict {
	wall := t.advance(now)
	created, ok := r.Key.Created()
	if !ok {
		return Verdict{Kind: NotRun, Reason: ReasonKeyFormat}
	}
	index := r.Key.Range(len(t.ranges))
	rec := t.records[recordKey{r.Key.Tenant, r.Key.Value}]
	if rec != nil {
		if v, done := t.known(rec, r); done {
			return v
		}
	}
	epoch, holds := t.leases.Holds(index, now)
	rs := &t.ranges[index]
	switch {
	case !holds || !rs.owned:
		return Verdict{Kind: NotOwner, Reason: ReasonNoLease, Epoch: epoch}
	case rs.closing:
		return Verdict{Kind: NotOwner, Reason: ReasonMoving, Epoch: epoch}
	case created.Before(wall.Add(-t.cfg.RetryWindow)):
		return Verdict{Kind: Unknown, Reason: ReasonKeyTooOld, Epoch: epoch}
	case rec == nil && !created.After(rs.fence):
		return Verdict{Kind: Unknown, Reason: ReasonFenced, Epoch: epoch}
	case r.ReceivedAt.Before(wall.Add(-t.cfg.MaxDelay)):
		return Verdict{Kind: Unknown, Reason: ReasonDelayed, Epoch: epoch}
	case created.After(wall.Add(t.cfg.Allowance)):
		return t.refuse(rec, index, r, created, ReasonKeyInFuture, epoch)
	case rec != nil && !r.ReceivedAt.After(rec.at.Add(t.hold())):
		return t.refuse(rec, index, r, created, ReasonRefused, epoch)
	case rec == nil && !r.ReceivedAt.After(t.refusedBefore):
		return t.refuse(nil, index, r, created, ReasonRefused, epoch)
	case rec == nil && len(t.records) >= t.cfg.MaxKeys:
		return t.refuse(nil, index, r, created, ReasonFull, epoch)
	}
	if rec == nil {
		rec = t.add(index, r, created)
	}
	t.runs++
	t.unlist(rec)
	rec.state, rec.at, rec.run = running, wall, t.runs
	rs.running++
	return Verdict{Kind: Run, Epoch: epoch, Run: t.runs}
}

// known answers from a record. These facts hold with or without a lease. It
// reports false when the key was refused and may run for a later request.
func (t *Table) known(rec *record, r Request) (Verdict, bool) {
	if rec.fingerprint != r.Fingerprint {
		return Verdict{Kind: Mismatch, Reason: ReasonContent}, true
	}
	switch rec.state {
	case running:
		return Verdict{Kind: Wait, Run: rec.run}, true
	case failed:
		return Verdict{Kind: Unknown, Reason: ReasonFailed}, true
	case completed:
		if rec.held {
			return Verdict{Kind: Replay, Answer: rec.answer}, true
		}
		return Verdict{Kind: Unknown, Reason: ReasonAnswerNotHeld, Status: rec.answer.Status}, true
	default:
		return Verdict{}, false
	}
}

// refuse leaves a refusal record, or moves refusedBefore when the table is
// full, and answers NotRun. Each refusal counts anew, because its caller is
// told NotRun at this time.
func (t *Table) refuse(rec *record, index int, r Request, created time.Time, reason Reason, epoch fleet.Epoch) Verdict {
	v := Verdict{
		Kind: NotRun, Reason: reason, Epoch: epoch, RetryAfter: t.hold() + t.cfg.Allowance,
		NotRunUntil: t.wall.Add(t.cfg.AnswerTime),
	}
	if rec == nil && len(t.records) >= t.cfg.MaxKeys {
		t.refusedBefore = t.wall.Add(t.hold())
		return v
	}
	if rec == nil {
		rec = t.add(index, r, created)
	}
	t.enlist(rec, refused)
	return v
}

// hold is how long after a refusal a request must have been received to run.
// The ingress may tell the caller NotRun until AnswerTime after the refusal by
// its own clock, which may be behind the owner's by one allowance; the clock of
// the ingress that receives a later request may be ahead by one allowance of
// the first ingress's clock.
func (t *Table) hold() time.Duration { return t.cfg.AnswerTime + t.cfg.Allowance }

// MayDispatch reports whether the execution r.Run may be handed to a target at
// this moment: its record still stands and the lease is held. The caller must
// dispatch at once or call Abandon.
func (t *Table) MayDispatch(now Now, r Request) bool {
	t.advance(now)
	rec := t.find(r)
	if rec == nil || !t.ranges[rec.index].owned {
		return false
	}
	_, holds := t.leases.Holds(rec.index, now)
	return holds
}

// Complete records the whole answer of a target.
func (t *Table) Complete(now Now, r Request, a Answer) {
	t.advance(now)
	rec := t.find(r)
	if rec == nil {
		return
	}
	t.finish(rec)
	rec.answer = Answer{Status: a.Status}
	if size := a.size(); size <= t.cfg.MaxAnswer {
		rec.answer, rec.held, rec.size = a, true, size
		rec.byAnswer = t.answers.PushBack(rec)
		t.answerBytes += size
	}
	t.enlist(rec, completed)
	for t.answerBytes > t.cfg.MaxAnswers {
		t.dropAnswer(t.answers.Front().Value.(*record))
	}
}

// Fail records that the operation was dispatched and that no complete answer
// came back. The key is Unknown from now on.
func (t *Table) Fail(now Now, r Request) Verdict {
	t.advance(now)
	if rec := t.find(r); rec != nil {
		t.finish(rec)
		t.enlist(rec, failed)
	}
	return Verdict{Kind: Unknown, Reason: ReasonFailed}
}

// Abandon records that the operation was proven not to be dispatched. It
// leaves a refusal record (rule 6) and answers NotRun; without a lease it
// answers NotOwner, because another owner may decide about the key already.
func (t *Table) Abandon(now Now, r Request) Verdict {
	t.advance(now)
	rec := t.find(r)
	if rec == nil {
		return Verdict{Kind: NotOwner, Reason: ReasonNoLease}
	}
	t.finish(rec)
	epoch, holds := t.leases.Holds(rec.index, now)
	if !holds || !t.ranges[rec.index].owned {
		// The record may replace one of an earlier refusal, so it stays.
		t.enlist(rec, refused)
		return Verdict{Kind: NotOwner, Reason: ReasonNoLease, Epoch: epoch}
	}
	return t.refuse(rec, rec.index, r, rec.created, ReasonRefused, epoch)
}

// RunningIn returns how many operations of a range are running.
func (t *Table) RunningIn(index int) int { return t.ranges[index].running }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// AnswerBytes returns the size of all answers that are held.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Close stops new operations of the ranges before a handover; Open allows them
// again.
func (t *Table) Close(indexes []int) { t.setClosing(indexes, true) }

// Open ends the effect of Close.
func (t *Table) Open(indexes []int) { t.setClosing(indexes, false) }

func (t *Table) setClosing(indexes []int, closing bool) {
	for _, i := range indexes {
		t.ranges[i].closing = closing
	}
}

// Assign makes the table own exactly the ranges of the view that name this
// process. Records of lost ranges are dropped; a gained range starts empty,
// or with the records that Install added before.
func (t *Table) Assign(now Now, v View, self fleet.NodeID, incarnation uint64) {
	t.advance(now)
	if v.Version <= t.version {
		return
	}
	a := v.Assignment
	t.version = v.Version
	if len(t.ranges) != len(a.Ranges) && len(t.records) == 0 {
		// The object decides how many ranges there are.
		t.ranges = make([]rangeState, len(a.Ranges))
	}
	lost := make(map[int]bool)
	for i := range t.ranges {
		rs := &t.ranges[i]
		owned := i < len(a.Ranges) && a.Ranges[i].Owner == self && a.Ranges[i].OwnerIncarnation == incarnation
		if owned {
			rs.fence = fenceOf(a.Ranges[i], t.cfg)
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

// fenceOf returns the creation time up to which an earlier owner may have run
// a key. The allowance counts twice: an owner accepts keys that are ahead of
// its clock by one allowance, and its clock may be ahead of the clock that
// wrote FencedAt by another one.
func fenceOf(r Range, cfg Config) time.Time {
	if r.FencedAt.IsZero() {
		return time.Time{}
	}
	// Key times are whole milliseconds.
	return r.FencedAt.Add(2*cfg.Allowance + time.Millisecond)
}

func (t *Table) dropRanges(lost map[int]bool) {
	for _, rec := range t.records {
		if lost[rec.index] {
			t.remove(rec)
		}
	}
	for i := range lost {
		t.ranges[i].running = 0
	}
}

// Record is a key's record in a handover.
type Record struct {
	Tenant, Value string
	Fingerprint   uint64
	State         string
	At            time.Time
	Held          bool
	Answer        Answer
}

// stateRefusedBefore is the state of the record that carries refusedBefore in
// a handover. Its key is empty.
const stateRefusedBefore = "refused-before"

// Snapshot returns the records of the ranges for a handover. Operations that
// are still running are handed over as unknown.
func (t *Table) Snapshot(indexes []int) []Record {
	wanted := make(map[int]bool, len(indexes))
	for _, i := range indexes {
		wanted[i] = true
	}
	var records []Record
	if !t.refusedBefore.IsZero() {
		records = append(records, Record{State: stateRefusedBefore, At: t.refusedBefore})
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
			State: stateNames[s], At: rec.at, Held: rec.held, Answer: rec.answer,
		})
	}
	slices.SortFunc(records, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Tenant, y.Tenant), cmp.Compare(x.Value, y.Value))
	})
	return records
}

// Install adds the records of a handover. It is called before Assign gives the
// ranges to the table. Records beyond MaxKeys are kept as well: a key that is
// known to have run must not be forgotten.
func (t *Table) Install(now Now, records []Record) {
	t.advance(now)
	for _, h := range records {
		if h.State == stateRefusedBefore {
			if h.At.After(t.refusedBefore) {
				t.refusedBefore = h.At
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
				continue // its end tells more than the handover can
			}
			t.remove(old)
		}
		rec := t.add(k.Range(len(t.ranges)), Request{Key: k, Fingerprint: h.Fingerprint}, created)
		rec.answer = Answer{Status: h.Answer.Status}
		if h.State == stateNames[completed] && h.Held && t.answerBytes+h.Answer.size() <= t.cfg.MaxAnswers {
			rec.answer, rec.held, rec.size = h.Answer, true, h.Answer.size()
			rec.byAnswer = t.answers.PushBack(rec)
			t.answerBytes += rec.size
		}
		s := failed
		switch h.State {
		case stateNames[completed]:
			s = completed
		case stateNames[refused]:
			s = refused
		}
		t.enlist(rec, s)
		if s == refused && h.At.After(rec.at) {
			// The previous owner's clock may be ahead.
			rec.at = h.At
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

func (t *Table) find(r Request) *record {
	rec := t.records[recordKey{r.Key.Tenant, r.Key.Value}]
	if rec == nil || rec.state != running || rec.run != r.Run {
		return nil
	}
	return rec
}

func (t *Table) add(index int, r Request, created time.Time) *record {
	rec := &record{
		key: recordKey{r.Key.Tenant, r.Key.Value}, index: index,
		fingerprint: r.Fingerprint, created: created, at: t.wall,
	}
	t.records[rec.key] = rec
	return rec
}

func (t *Table) finish(rec *record) { t.ranges[rec.index].running-- }

// enlist puts a record that is not running at the end of its expiry list.
func (t *Table) enlist(rec *record, s state) {
	t.unlist(rec)
	rec.state, rec.at = s, t.wall
	if s == refused {
		rec.byExpiry = t.refusals.PushBack(rec)
	} else {
		rec.byExpiry = t.settled.PushBack(rec)
	}
}

func (t *Table) unlist(rec *record) {
	if rec.byExpiry == nil {
		return
	}
	// Remove does nothing for an element of another list.
	t.refusals.Remove(rec.byExpiry)
	t.settled.Remove(rec.byExpiry)
	rec.byExpiry = nil
}

func (t *Table) remove(rec *record) {
	t.unlist(rec)
	t.dropAnswer(rec)
	delete(t.records, rec.key)
}

func (t *Table) dropAnswer(rec *record) {
	if rec.byAnswer == nil {
		return
	}
	t.answers.Remove(rec.byAnswer)
	t.answerBytes -= rec.size
	rec.byAnswer, rec.held, rec.size = nil, false, 0
	rec.answer = Answer{Status: rec.answer.Status}
}

// advance moves the table's wall clock, which never goes back, and drops
// expired records.
func (t *Table) advance(now Now) time.Time {
	if now.Wall.After(t.wall) {
		t.wall = now.Wall
	}
	// A key is accepted up to RetryWindow after its creation, plus the
	// difference to another owner's clock; its record outlives that. A key may
	// also be ahead of the clock when it is accepted. Each counts once.
	t.expire(t.settled, t.cfg.RetryWindow+2*t.cfg.Allowance)
	// After MaxDelay a request from before the refusal is Unknown by its age.
	t.expire(t.refusals, t.cfg.MaxDelay+t.hold()+t.cfg.Allowance)
	return t.wall
}

func (t *Table) expire(l *list.List, life time.Duration) {
	for e := l.Front(); e != nil; e = l.Front() {
		rec := e.Value.(*record)
		if t.wall.Sub(rec.at) <= life {
			return
		}
		t.remove(rec)
	}
}
