package operation

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// fakeLease is a lease that a test grants or withdraws.
type fakeLease struct{ held bool }

func (h *fakeLease) Holds(int, ClockReading) (fleet.Epoch, bool) { return 1, h.held }

// keyCreatedAt returns the n-th key with the given creation time.
func keyCreatedAt(t time.Time, n uint64) Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6], id[8] = 0x70, id[8]&0x3f|0x80
	return Key{Service: "s", Tenant: "t", Value: id.String()}
}

var _ = Describe("Key", func() {
	It("reads the creation time of a UUIDv7 only", func() {
		t := time.UnixMilli(1_800_000_000_123)
		created, ok := keyCreatedAt(t, 1).Created()
		Expect(ok).To(BeTrue())
		Expect(created).To(BeTemporally("==", t))
		// The example of RFC 9562, appendix A.6.
		created, ok = Key{Value: "017F22E2-79B0-7CC3-98C4-DC0C0C07398F"}.Created()
		Expect(ok).To(BeTrue())
		Expect(created.UTC()).To(Equal(time.Date(2022, 2, 22, 19, 22, 22, 0, time.UTC)))
		for _, value := range []string{"", "order-17", uuid.Nil.String(), "919108f7-52d1-4320-9bac-f847db4148a8", "{017F22E2-79B0-7CC3-98C4-DC0C0C07398F}"} {
			_, ok := Key{Value: value}.Created()
			Expect(ok).To(BeFalse(), value)
		}
	})

	// Guards against equal hashes of keys whose parts form the same string when
	// they are joined.
	It("separates service, tenant and value", func() {
		Expect(Key{"a", "bc", "d"}.Range(1 << 30)).NotTo(Equal(Key{"ab", "c", "d"}.Range(1 << 30)))
	})
})

var _ = Describe("Table", func() {
	var (
		table *Table
		lease *fakeLease
		now   ClockReading
		cfg   Config
	)
	assignRange := func(fencedAt time.Time) {
		table.Assign(now, VersionedAssignment{Version: table.version + 1, Assignment: Assignment{Ranges: []Range{{Owner: "a", OwnerIncarnation: 1, FencedAt: fencedAt}}}}, "a", 1)
	}
	request := func(n uint64) Request {
		return Request{Key: keyCreatedAt(now.Wall, n), Fingerprint: 1, ReceivedAt: now.Wall}
	}
	advance := func(d time.Duration) { now.Mono += d; now.Wall = now.Wall.Add(d) }
	startRun := func(r *Request) {
		v := table.Submit(now, *r)
		ExpectWithOffset(1, v.Kind).To(Equal(Run))
		r.Run = v.Run
	}
	BeforeEach(func() {
		now = ClockReading{Mono: time.Hour, Wall: simEpoch}
		cfg = DefaultConfig()
		cfg.Ranges = 1
		lease = &fakeLease{held: true}
		table = NewTable("s", cfg, lease)
		assignRange(time.Time{})
	})

	// Guards rule 7: a retried key must never run again.
	It("replays the first answer and lets duplicates of a running operation wait", func() {
		r := request(1)
		startRun(&r)
		Expect(table.Submit(now, r).Kind).To(Equal(Wait))
		Expect(table.MayDispatch(now, r)).To(BeTrue())
		table.Complete(now, r, Answer{Status: 201, Body: []byte("ok")})
		v := table.Submit(now, r)
		Expect(v.Kind).To(Equal(Replay))
		Expect(v.Answer.Body).To(Equal([]byte("ok")))
		other := r
		other.Fingerprint = 2
		Expect(table.Submit(now, other).Kind).To(Equal(Mismatch))
	})

	// Guards rule 7: a key must not run again after its record has expired.
	It("never runs a key again, however old", func() {
		r := request(1)
		r.Key = keyCreatedAt(now.Wall.Add(cfg.MaxClockSkew), 1) // the latest creation time that is accepted
		startRun(&r)
		table.Complete(now, r, Answer{Status: 200})
		for range 3000 {
			advance(time.Second)
			r.ReceivedAt = now.Wall
			Expect(table.Submit(now, r).Kind).To(BeElementOf(Replay, Unknown))
		}
		Expect(table.Len()).To(BeZero())
	})

	It("reports unknown with the status when an answer is too large to keep", func() {
		r := request(1)
		startRun(&r)
		table.Complete(now, r, Answer{Status: 200, Body: make([]byte, cfg.MaxAnswerBytes+1)})
		v := table.Submit(now, r)
		Expect([]any{v.Kind, v.Reason, v.Status}).To(Equal([]any{Unknown, ReasonAnswerNotHeld, 200}))
	})

	It("reports unknown after a dispatch without an answer", func() {
		r := request(1)
		startRun(&r)
		table.Fail(now, r)
		Expect(table.Submit(now, r).Kind).To(Equal(Unknown))
	})

	// Guards rules 1 and 2: an owner that was paused must notice that it lost
	// its lease.
	It("dispatches nothing without a lease", func() {
		r := request(1)
		startRun(&r)
		lease.held = false
		Expect(table.MayDispatch(now, r)).To(BeFalse())
		Expect(table.Abandon(now, r).Kind).To(Equal(NotOwner))
		Expect(table.Submit(now, request(2)).Kind).To(Equal(NotOwner))
	})

	// Guards rule 4, with creation times on both sides of the fence time.
	It("never runs keys that a lost owner may have run", func() {
		assignRange(now.Wall)
		r := request(1)
		lastFenced := now.Wall.Add(2 * cfg.MaxClockSkew)
		advance(2 * time.Second)
		r.ReceivedAt = now.Wall
		r.Key = keyCreatedAt(lastFenced, 1)
		Expect(table.Submit(now, r)).To(HaveField("Reason", ReasonFenced))
		r.Key = keyCreatedAt(lastFenced.Add(2*time.Millisecond), 1)
		Expect(table.Submit(now, r).Kind).To(Equal(Run))
	})

	// Guards rule 6: a delayed copy must not run after its caller received "not
	// run".
	It("refuses copies that were received before a refusal, and runs later ones", func() {
		r := request(1)
		startRun(&r)
		v := table.Abandon(now, r)
		Expect(v.Kind).To(Equal(NotRun))
		advance(5 * time.Second)
		Expect(table.Submit(now, r).Kind).To(Equal(NotRun))
		advance(v.RetryAfter + time.Millisecond)
		r.ReceivedAt = now.Wall
		Expect(table.Submit(now, r).Kind).To(Equal(Run))
	})

	It("refuses keys from the future", func() {
		r := request(1)
		r.Key = keyCreatedAt(now.Wall.Add(cfg.MaxClockSkew+2*time.Millisecond), 1)
		Expect(table.Submit(now, r)).To(HaveField("Reason", ReasonKeyInFuture))
	})

	// Guards against an old key that becomes valid again when the clock is set
	// back.
	It("does not set its wall time back with the node's clock", func() {
		r := request(1)
		advance(cfg.RetryWindow + time.Minute)
		table.Submit(now, request(2))
		now.Wall = simEpoch
		Expect(table.Submit(now, r).Kind).To(Equal(Unknown))
	})

	// Guards the memory bounds, and rule 6 when no record can be kept.
	It("refuses new keys when full, keeps the known ones, and bounds the kept answers", func() {
		cfg.MaxRecords, cfg.MaxTotalAnswerBytes = 10, 3000
		table = NewTable("s", cfg, lease)
		assignRange(time.Time{})
		for n := range uint64(10) {
			r := request(n)
			startRun(&r)
			table.Complete(now, r, Answer{Status: 200, Body: make([]byte, 1000)})
		}
		Expect(table.AnswerBytes()).To(Equal(3000))
		delayed := request(10)
		Expect(table.Submit(now, delayed)).To(HaveField("Reason", ReasonTooManyKeys))
		Expect(table.Len()).To(Equal(10))
		Expect(table.Submit(now, request(0)).Kind).To(Equal(Unknown))
		Expect(table.Submit(now, request(9)).Kind).To(Equal(Replay))
		// There is room again, but the caller of the delayed copy received "not
		// run".
		for _, rec := range table.records {
			table.removeRecord(rec)
			break
		}
		Expect(table.Submit(now, delayed).Kind).To(Equal(NotRun))
	})

	// Guards rule 5: a handover must lose neither answers nor refusals.
	It("keeps answers, refusals and unknown operations in a handover", func() {
		done, failedRun, runningOne, refusedOne := request(1), request(2), request(3), request(4)
		for _, r := range []*Request{&done, &failedRun, &runningOne, &refusedOne} {
			startRun(r)
		}
		table.Complete(now, done, Answer{Status: 200, Header: map[string]string{"A": "b"}, Body: []byte("x")})
		table.Fail(now, failedRun)
		table.Abandon(now, refusedOne)
		var records []Record
		for _, r := range table.Snapshot([]int{0}) {
			records = append(records, decodeRecord(encodeRecord(r)))
		}
		table = NewTable("s", cfg, lease)
		table.Install(now, records)
		assignRange(time.Time{})
		v := table.Submit(now, done)
		Expect(v.Answer).To(Equal(Answer{Status: 200, Header: map[string]string{"A": "b"}, Body: []byte("x")}))
		Expect(table.Submit(now, failedRun).Kind).To(Equal(Unknown))
		Expect(table.Submit(now, runningOne).Kind).To(Equal(Unknown))
		Expect(table.Submit(now, refusedOne).Kind).To(Equal(NotRun))
		Expect(table.Submit(now, request(5)).Kind).To(Equal(Run))
	})

	It("refuses keys without a creation time and requests that were delayed for long", func() {
		r := request(1)
		r.Key.Value = "order-17"
		Expect(table.Submit(now, r)).To(HaveField("Reason", ReasonKeyFormat))
		r = request(1)
		r.ReceivedAt = now.Wall.Add(-cfg.MaxRequestAge - time.Second)
		Expect(table.Submit(now, r)).To(HaveField("Reason", ReasonDelayed))
	})
})
