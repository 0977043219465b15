package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"siskinvale.dev/siskinvale/internal/answer"
)

// PreventReplay keeps http.Transport from retrying req on its own.
//
// When a connection fails, http.Transport retries a request that has no body or
// one that can be rewound, if the request counts as idempotent: by its method,
// or because it has an Idempotency-Key header. Only the fleet may decide about
// retries, so PreventReplay gives the request a body that cannot be rewound.
func PreventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(emptyBody{})
		req.ContentLength = -1
	}
}

// emptyBody is an empty body that net/http does not recognise as empty.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// SentTrace records whether the header of a request was written to a
// connection. Before the header is written, the receiver cannot have run the
// request.
type SentTrace struct {
	sent   atomic.Bool
	reused atomic.Bool
	// interim counts the interim answers.
	interim atomic.Int32
	conn    atomic.Pointer[net.Conn]
}

// Context returns a context for the request that is to be traced.
func (t *SentTrace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders:   func() { t.sent.Store(true) },
		Got1xxResponse: t.checkInterim,
		GotConn: func(info httptrace.GotConnInfo) {
			t.conn.Store(&info.Conn)
			t.reused.Store(info.Reused)
		},
	})
}

// maxInterimAnswers is the number of interim answers to one request. With a
// trace, net/http allows any number of them.
const maxInterimAnswers = 8

// checkInterim ends a request whose interim answers do not end, or have a header
// that no answer has: the final answer cannot be trusted then. Interim answers
// are not passed on.
func (t *SentTrace) checkInterim(_ int, header textproto.MIMEHeader) error {
	if t.interim.Add(1) > maxInterimAnswers {
		return fmt.Errorf("%w: it has more than %d interim answers", answer.ErrNotAnswer, maxInterimAnswers)
	}
	return answer.CheckHeader(http.Header(header))
}

// CloseConn closes the connection that carried the request, so that
// http.Transport does not reuse it.
func (t *SentTrace) CloseConn() {
	if conn := t.conn.Load(); conn != nil {
		// The connection is discarded, so an error from closing it is ignored.
		_ = (*conn).Close()
	}
}

// Reused reports whether the connection carried an earlier request.
func (t *SentTrace) Reused() bool { return t.reused.Load() }

// Sent reports whether the request may have reached the receiver.
func (t *SentTrace) Sent() bool { return t.sent.Load() }
