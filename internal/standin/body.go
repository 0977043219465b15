package standin

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// bodyPattern is the text that fills an answer's body. It names the request
// and a hash of the request's body, so that a caller notices an answer that
// belongs to another request.
func bodyPattern(method, uri, key string, requestBody uint64) []byte {
	return fmt.Appendf(nil, "%s %s key=%q body=%016x\n", method, uri, key, requestBody)
}

// BodyHash is the hash that an answer states of the request's body.
func BodyHash(body []byte) uint64 { return xxhash.Sum64(body) }

// patternReader repeats a pattern up to size bytes, or writes it once when the
// size is 0.
type patternReader struct {
	pattern []byte
	offset  int
	size    int
}

func newPatternReader(pattern []byte, size int) *patternReader {
	if size == 0 {
		size = len(pattern)
	}
	return &patternReader{pattern: pattern, size: size}
}

func (r *patternReader) Read(p []byte) (int, error) {
	if r.offset >= r.size {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && r.offset < r.size {
		from := r.offset % len(r.pattern)
		m := copy(p[n:min(len(p), n+r.size-r.offset)], r.pattern[from:])
		n, r.offset = n+m, r.offset+m
	}
	return n, nil
}

// ErrWrongBody means that an answer is not the complete answer to its request
// although it arrived without an error.
var ErrWrongBody = errors.New("wrong body")

// CheckBody reads a target's whole answer and compares it with the expected
// one. uri is the path with its query; a size of 0 means the pattern once. The
// error wraps ErrWrongBody unless the answer visibly broke and was right until
// then.
func CheckBody(answer io.Reader, method, uri, key string, requestBody []byte, size int) error {
	want := newPatternReader(bodyPattern(method, uri, key, BodyHash(requestBody)), size)
	got, expected := make([]byte, chunkSize), make([]byte, chunkSize)
	for at := 0; ; at = want.offset {
		n, err := fill(answer, got)
		m, _ := fill(want, expected)
		broke := err != nil && err != io.EOF
		if broke {
			m = min(m, n)
		}
		switch ended := err == io.EOF; {
		case !bytes.Equal(got[:n], expected[:m]):
			return fmt.Errorf("%w: answer to %s %s differs at or after byte %d: got %q, want %q",
				ErrWrongBody, method, uri, at, shorten(got[:n]), shorten(expected[:m]))
		case broke:
			return fmt.Errorf("answer to %s %s broke at byte %d: %w", method, uri, at+n, err)
		case ended && want.offset < want.size:
			return fmt.Errorf("%w: answer to %s %s ends at byte %d of %d", ErrWrongBody, method, uri, at+n, want.size)
		case ended:
			return nil
		}
	}
}

// fill reads until p is full. Unlike io.ReadFull it returns the reader's own
// error, which tells a broken answer from a short one.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

func shorten(b []byte) []byte { return b[:min(len(b), 120)] }
