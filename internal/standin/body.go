package standin

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// bodyPattern returns the line that an answer's body repeats. The line contains
// the request and a hash of the request's body, so that a caller detects an
// answer that belongs to another request.
func bodyPattern(method, uri, key string, bodyHash uint64) []byte {
	return fmt.Appendf(nil, "%s %s key=%q body=%016x\n", method, uri, key, bodyHash)
}

// BodyHash returns the hash of a request's body. The answer to the request
// contains the hash.
func BodyHash(body []byte) uint64 { return xxhash.Sum64(body) }

// patternReader reads size bytes of a repeated pattern.
type patternReader struct {
	pattern []byte
	offset  int
	size    int
}

// newPatternReader returns a reader of size bytes, or of the pattern once when
// size is 0.
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

// ErrWrongBody is returned for an answer that has wrong content, or that is too
// short although reading it gave no error.
var ErrWrongBody = errors.New("wrong body")

// CheckBody reads a target's whole answer and compares it with the expected
// one. uri is the path with its query. size is the expected size in bytes; with
// 0 the answer is one line. The error wraps ErrWrongBody, except when reading
// the answer failed and the bytes before the failure were right: then it wraps
// the read error.
func CheckBody(answer io.Reader, method, uri, key string, requestBody []byte, size int) error {
	wantReader := newPatternReader(bodyPattern(method, uri, key, BodyHash(requestBody)), size)
	gotChunk, wantChunk := make([]byte, chunkBytes), make([]byte, chunkBytes)
	for offset := 0; ; offset = wantReader.offset {
		gotN, err := readFull(answer, gotChunk)
		wantN, _ := readFull(wantReader, wantChunk)
		readFailed := err != nil && err != io.EOF
		if readFailed {
			wantN = min(wantN, gotN)
		}
		switch atEnd := err == io.EOF; {
		case !bytes.Equal(gotChunk[:gotN], wantChunk[:wantN]):
			return fmt.Errorf("%w: answer to %s %s differs at or after byte %d: got %q, want %q",
				ErrWrongBody, method, uri, offset, truncate(gotChunk[:gotN]), truncate(wantChunk[:wantN]))
		case readFailed:
			return fmt.Errorf("answer to %s %s broke at byte %d: %w", method, uri, offset+gotN, err)
		case atEnd && wantReader.offset < wantReader.size:
			return fmt.Errorf("%w: answer to %s %s ends at byte %d of %d", ErrWrongBody, method, uri, offset+gotN, wantReader.size)
		case atEnd:
			return nil
		}
	}
}

// readFull reads until p is full or a read fails. Unlike io.ReadFull it returns
// the reader's own error, because io.EOF (an answer that is too short) and
// io.ErrUnexpectedEOF (a broken connection) must stay distinct.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

func truncate(b []byte) []byte { return b[:min(len(b), 120)] }
