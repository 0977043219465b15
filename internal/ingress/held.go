package ingress

import (
	"errors"
	"io"
	"sync"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// errHeldBytes means that the node holds as many bytes for callers as it may.
var errHeldBytes = errors.New("the node holds its largest number of bytes for callers")

// heldBytes bounds the bytes of bodies that a node keeps in memory for its
// callers: request bodies that may be sent again, and answers that are read
// before their first byte is passed on. Slow callers can make a node hold many
// of them. It is safe for concurrent use.
type heldBytes struct {
	limit int64 // 0 means no limit

	mu   sync.Mutex
	used int64
	// byOrganisation holds the bytes of identified organisations that have any.
	byOrganisation map[string]int64
}

func newHeldBytes(limit int64) *heldBytes {
	return &heldBytes{limit: limit, byOrganisation: make(map[string]int64)}
}

// reserve takes n bytes for a request of the organisation, which is empty if it
// is not known. It reports false if the limit or the organisation's half of it
// would be exceeded. The half keeps room for the others when the callers of one
// organisation stop reading.
func (h *heldBytes) reserve(organisation string, n int64) bool {
	if h.limit == 0 || n <= 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.used+n > h.limit || organisation != "" && h.byOrganisation[organisation]+n > h.limit/2 {
		return false
	}
	h.used += n
	if organisation != "" {
		h.byOrganisation[organisation] += n
	}
	return true
}

// release gives back n reserved bytes.
func (h *heldBytes) release(organisation string, n int64) {
	if h.limit == 0 || n <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used -= n
	if organisation == "" {
		return
	}
	if h.byOrganisation[organisation] -= n; h.byOrganisation[organisation] <= 0 {
		delete(h.byOrganisation, organisation)
	}
}

func (h *heldBytes) total() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}

// holding is the reservation of one body. It is used by one goroutine at a
// time.
type holding struct {
	held         *heldBytes
	organisation string
	bytes        int64
}

func (h *holding) grow(n int64) bool {
	if !h.held.reserve(h.organisation, n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *holding) release() {
	h.held.release(h.organisation, h.bytes)
	h.bytes = 0
}

// prefetchStep is the number of bytes by which the reservation of a body
// without a known length grows.
const prefetchStep = 32 << 10

// readHeld reads from r into memory until the end, until limit bytes are read,
// or until the node may hold no more bytes. length is the expected number of
// bytes, negative if it is not known. ended reports whether r was read to its
// end.
func (h *holding) readHeld(r io.Reader, length, limit int64) (body []byte, ended bool, err error) {
	step := int64(prefetchStep)
	if length >= 0 {
		step = length
	}
	if !h.grow(step) {
		return nil, false, nil
	}
	// One byte more than expected, so that the end is found without growing.
	body = make([]byte, 0, step+1)
	for {
		n, err := r.Read(body[len(body):min(int64(cap(body)), limit)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		case int64(len(body)) >= limit:
			return body, false, nil
		}
		if len(body) == cap(body) {
			if !h.grow(int64(cap(body))) {
				return body, false, nil
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
	}
}

// prefetch reads a small answer completely. A truncated answer becomes a reply
// with an unknown outcome, which is possible because nothing has been sent to
// the caller yet. An answer for which the node has no memory is passed on at
// the pace of the caller.
func (in *Ingress) prefetch(req *request, call *link.Call, reply *link.Reply) *link.Reply {
	limit, withoutLength := int64(maxPrefetchBytes), false
	if in.cfg.FrontEnd != nil {
		limit, withoutLength = maxFrontEndPrefetchBytes, true
	}
	if reply.Outcome != fleet.Answered || reply.ContentLength > limit || reply.ContentLength < 0 && !withoutLength {
		return reply
	}
	h := &holding{held: in.held, organisation: req.organisationName()}
	// One byte more than the limit tells an answer of that length from a longer
	// one.
	body, ended, err := h.readHeld(reply.Body, reply.ContentLength, limit+1)
	if err != nil {
		h.release()
		reply.Body.Close()
		truncated := link.MayHaveRun(call, "the answer was cut short: "+err.Error())
		truncated.Load = reply.Load
		return truncated
	}
	if !ended {
		if int64(len(body)) <= limit {
			in.cfg.Metrics.Counter("siskinvale_answers_not_held_total").Inc()
		}
		reply.Body = &prefixedBody{prefix: body, rest: reply.Body, holding: h}
		return reply
	}
	reply.Body.Close()
	reply.Body, reply.ContentLength = newBufferedBody(body, h), int64(len(body))
	return reply
}

// bufferedBody is a complete answer body in memory.
type bufferedBody struct {
	rest    []byte
	holding *holding
}

func newBufferedBody(body []byte, h *holding) *bufferedBody {
	return &bufferedBody{rest: body, holding: h}
}

func (b *bufferedBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *bufferedBody) Close() error {
	b.rest = nil
	b.holding.release()
	return nil
}

// prefixedBody is an answer body whose beginning has already been read.
type prefixedBody struct {
	prefix  []byte
	rest    io.ReadCloser
	holding *holding
}

func (b *prefixedBody) Read(p []byte) (int, error) {
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		if b.prefix = b.prefix[n:]; len(b.prefix) == 0 {
			b.prefix = nil // an empty slice would keep the array in memory
			b.holding.release()
		}
		return n, nil
	}
	return b.rest.Read(p)
}

func (b *prefixedBody) Close() error {
	b.holding.release()
	return b.rest.Close()
}
