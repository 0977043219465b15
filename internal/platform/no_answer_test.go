package platform_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/platform"
)

// newRawClient returns a client of a store that answers each request with the
// given bytes and closes the connection.
func newRawClient(answer string) platform.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				if req, err := http.ReadRequest(r); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return platform.NewHTTP(l.Addr().String(), "", platform.DefaultBudget())
}

// Guards against bytes that are no answer and that decide about an object: a
// write that may have happened counts as refused, or a value is not the store's.
var _ = DescribeTable("A store whose bytes are no answer leaves a call open",
	func(answer string) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		client := newRawClient(answer)
		_, err := client.Get(ctx, "kind/name")
		Expect(err).To(MatchError(platform.ErrUnavailable))
		_, _, err = client.List(ctx, "kind/")
		Expect(err).To(MatchError(platform.ErrUnavailable))
		_, err = client.Put(ctx, "kind/name", []byte("value"), 1)
		Expect(err).To(MatchError(platform.ErrWriteUncertain))
		Expect(client.Delete(ctx, "kind/name", 1)).To(MatchError(platform.ErrWriteUncertain))
	},
	Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("status 101", "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("status 999", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a blank in Content-Length", "HTTP/1.1 200 OK\r\nContent Length: 1\r\n\r\n{}"),
	Entry("a length that is missing at the end of a connection", "HTTP/1.1 200 OK\r\n\r\n{"),
)
