package quota

import (
	"math"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
)

// owner grants the requests of organisations.
type owner struct {
	cfg     Config
	members *members
	buckets map[string]*bucket
	// scale is the scale that the buckets' tokens accrued with since their last
	// update.
	scale float64
}

// bucket is the state of one organisation at a node that grants its requests.
// Only buckets in use are kept.
type bucket struct {
	hash uint64
	// generation is that of the members by which standing was computed.
	generation uint64
	standing   standing

	rate, size float64
	tokens     float64
	// queue is the number of rejected requests that are expected to return
	// before a request that is rejected now.
	queue     float64
	updatedAt time.Duration
	reserved  slidingCount
	// evicted counts the requests granted in advance to nodes that are no longer
	// in askers.
	evicted slidingCount
	askers  [8]asker
}

// asker is a node that lately asked for requests. It asks only when it has used
// up what it was granted before.
type asker struct {
	node     uint32
	sequence uint32
	askedAt  uint32 // ms
	granted  uint32
	extra    uint32 // the part of granted that was granted in advance
}

// query identifies a query. The zero value is the owner's own demand, to which
// nothing is granted in advance.
type query struct {
	node     uint64
	sequence uint64
}

// answer is the decision on a query.
type answer struct {
	granted, extra int
	// retryAfter is set if the requests that were not granted are rejected.
	retryAfter time.Duration
	// notOwner is set if another node has to decide on the requests that were
	// not granted.
	notOwner bool
}

// take grants requests of an organisation. silent is set if nodes that outrank
// this one did not grant.
func (o *owner) take(now time.Duration, organisation string, quota bundle.Quota, wanted int, silent bool, by query) answer {
	if wanted <= 0 {
		return answer{}
	}
	if quota.RequestsPerSecond <= 0 {
		return answer{granted: wanted}
	}
	s := o.cfg.share(quota)
	b := o.bucket(now, organisation, s)
	owns := b.standing.owner && o.members.grants(now)
	var a answer
	if owns {
		a.granted = min(wanted, int(b.tokens))
		b.tokens -= float64(a.granted)
	}
	if a.granted < wanted && (silent && o.members.joined || owns && now-b.standing.since < o.cfg.Window) {
		a.granted += b.reserve(now, o.cfg.Window, s.reserve*o.scale, wanted-a.granted)
	}
	if !owns {
		a.notOwner = a.granted < wanted
		return a
	}
	if a.granted < wanted {
		a.retryAfter = b.reject(wanted-a.granted, s.rate*o.scale)
	} else if by.node != 0 {
		a.extra = b.prefetch(now, s, by, wanted)
	}
	return a
}

// bucket returns the bucket of an organisation with the tokens of now.
func (o *owner) bucket(now time.Duration, organisation string, s share) *bucket {
	o.rescale(now)
	m := o.members
	b := o.buckets[organisation]
	if b == nil {
		b = &bucket{hash: orgHash(organisation), updatedAt: now, generation: m.generation - 1}
		b.tokens = s.size*min(m.raisedFrom, m.scaleNow) + max(s.rate*(now-m.raisedAt).Seconds(), 0)
		o.buckets[organisation] = b
	}
	b.rate, b.size = s.rate, s.size
	if b.generation != m.generation || now >= b.standing.until {
		b.generation, b.standing = m.generation, m.standing(now, b.hash)
	}
	b.refill(now, o.scale)
	return b
}

// rescale updates all buckets if the scale has changed. Buckets must not keep
// tokens that the node lost by a fall of the scale when it rises again.
func (o *owner) rescale(now time.Duration) {
	o.members.recount(now)
	scale := o.members.scaleNow
	if scale == o.scale {
		return
	}
	for _, b := range o.buckets {
		b.refill(now, min(o.scale, scale))
	}
	o.scale = scale
}

// refill adds the tokens that accrued since the last call. The bucket holds at
// most what accrued since another node may have granted requests.
func (b *bucket) refill(now time.Duration, scale float64) {
	elapsed := (now - b.updatedAt).Seconds()
	b.updatedAt = now
	rate := b.rate * scale
	b.tokens = min(b.tokens+rate*elapsed, b.size*scale, max(rate*(now-b.standing.since).Seconds(), 0))
	b.queue = max(b.queue-rate*elapsed, 0)
}

// firstReservePart is the part of the reserve of the owner and of the node that
// follows it. Each further node in order has half as much, so that a new owner
// and all stand-ins together stay within the reserve.
const firstReservePart = 0.375

// reserve grants requests from the node's part of the reserve.
func (b *bucket) reserve(now, window time.Duration, reserve float64, wanted int) int {
	part := math.Ldexp(firstReservePart*reserve, -max(b.standing.before-1, 0))
	n := min(wanted, int(part)-int(b.reserved.total(now, window)))
	if n <= 0 {
		return 0
	}
	b.reserved.add(n)
	return n
}

// reject adds requests to the virtual queue and returns after which time the
// first of them should be repeated.
func (b *bucket) reject(n int, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	place := b.queue + 1
	b.queue = min(b.queue+float64(n), rate*maxRetryAfter.Seconds())
	return min(time.Duration(place/rate*float64(time.Second)), maxRetryAfter)
}

// prefetch grants requests that the asking node will probably want before they
// expire. Only tokens above the burst are used for it, so that requests granted in
// advance that are not used make the quota no smaller.
func (b *bucket) prefetch(now time.Duration, s share, by query, granted int) int {
	node, sequence, at := uint32(by.node), uint32(by.sequence), uint32(now.Milliseconds())
	outstanding := b.evicted.total(now, prefetchValidity)
	k := &b.askers[0]
	for i := range b.askers {
		o := &b.askers[i]
		if o.node == node {
			k = o
		} else {
			outstanding += float64(o.unexpired(at))
			if k.node != node && at-o.askedAt > at-k.askedAt {
				k = o
			}
		}
	}
	expected := 0.0
	switch gap := max(at-k.askedAt, minGap); {
	case k.node != node:
		b.evicted.add(int(k.unexpired(at)))
	case gap < validityMs && int32(sequence-k.sequence) <= 0:
		// A copy of a query, or one that was overtaken. The node drops what it
		// is granted in advance by the answer.
		return 0
	case gap < validityMs:
		expected = float64(k.granted) / float64(gap) * float64(validityMs) / 2
	}
	n := max(int(min(expected, b.tokens-s.burst, s.prefetch-outstanding)), 0)
	*k = asker{node: node, sequence: sequence, askedAt: at, granted: uint32(granted + n), extra: uint32(n)}
	b.tokens -= float64(n)
	return n
}

const (
	validityMs = uint32(prefetchValidity / time.Millisecond)
	// minGap is the shortest time in ms between two queries of a node by which
	// its demand is estimated.
	minGap = 10
)

// unexpired returns how many requests that were granted in advance the node may
// still use.
func (k *asker) unexpired(at uint32) uint32 {
	if at-k.askedAt >= validityMs {
		return 0
	}
	return k.extra
}

func (b *bucket) hasPrefetched(now time.Duration) bool {
	at := uint32(now.Milliseconds())
	for i := range b.askers {
		if b.askers[i].unexpired(at) > 0 {
			return true
		}
	}
	return b.evicted.total(now, prefetchValidity) > 0
}

// sweep drops up to n buckets that equal new ones.
func (o *owner) sweep(now time.Duration, quota Lookup, n int) {
	for organisation, b := range o.buckets {
		if n--; n < 0 {
			return
		}
		q, ok := quota(organisation)
		if !ok || q.RequestsPerSecond <= 0 {
			delete(o.buckets, organisation)
			continue
		}
		s := o.cfg.share(q)
		b = o.bucket(now, organisation, s)
		full := b.tokens >= s.size*o.scale && b.queue == 0
		if full && b.reserved.total(now, o.cfg.Window) == 0 && !b.hasPrefetched(now) {
			delete(o.buckets, organisation)
		}
	}
}
