// Package answer decides whether what a server sent is an HTTP answer.
//
// net/http is lenient: it returns answers with a status that no final answer
// has, and with lines in the head that are no header fields. Such bytes come
// from a faulty server, and nothing in them may reach a caller.
package answer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Statuses of final answers, by RFC 9110 section 15.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// ErrNotAnswer is matched by the errors of Check, CheckHeader and Body.
var ErrNotAnswer = errors.New("the bytes received are no HTTP answer")

// Check returns an error if resp, received over HTTP/1, has a status line or a
// header field that RFC 9112 does not allow. The connection of such an answer
// must be closed and its body discarded.
func Check(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d is not that of a final answer", ErrNotAnswer, resp.StatusCode)
	}
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 {
		return fmt.Errorf("%w: its version is %s", ErrNotAnswer, quote(resp.Proto))
	}
	// An answer of HTTP/1.0 cannot be chunked, and net/http removes the header
	// that says so. Without a length, the chunks would be taken for the body.
	if resp.ProtoMinor == 0 && resp.ContentLength < 0 {
		return fmt.Errorf("%w: its version is %s, and it has no length", ErrNotAnswer, quote(resp.Proto))
	}
	if !httpguts.ValidHeaderFieldValue(resp.Status) {
		return fmt.Errorf("%w: its status line has a control byte", ErrNotAnswer)
	}
	return CheckHeader(resp.Header)
}

// CheckHeader returns an error if a name is no token or a value has a control
// byte.
func CheckHeader(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: it has a header named %s", ErrNotAnswer, quote(name))
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: the value of its header %s has a control byte", ErrNotAnswer, quote(name))
			}
		}
	}
	return nil
}

// Framed reports whether the end of the body of resp can be recognised. If the
// close of the connection ends a body, a truncated body looks complete.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor >= 2 ||
		resp.Request != nil && resp.Request.Method == http.MethodHead
}

// maxQuoted is the number of bytes of a faulty answer that an error names.
const maxQuoted = 40

func quote(s string) string {
	if len(s) > maxQuoted {
		s = strings.ToValidUTF8(s[:maxQuoted], "") + "..."
	}
	return fmt.Sprintf("%+q", s)
}

// Body returns the body of resp. Reading its end fails if the trailer has a
// field that CheckHeader refuses.
func Body(resp *http.Response) io.ReadCloser {
	if resp.ContentLength >= 0 {
		return resp.Body // only chunked bodies have a trailer
	}
	return &trailedBody{ReadCloser: resp.Body, resp: resp}
}

type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if trailerErr := CheckHeader(b.resp.Trailer); trailerErr != nil {
			return n, trailerErr
		}
	}
	return n, err
}
