package conn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/conn"
)

func TestConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "conn")
}

// startServer serves handler over connections of a CloseDetectingListener and
// returns its address.
func startServer(handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: handler, ConnContext: conn.ConnContext, IdleTimeout: 100 * time.Millisecond}
	go func() { _ = s.Serve(conn.CloseDetectingListener{Listener: l}) }()
	DeferCleanup(s.Close)
	return l.Addr().String()
}

func dial(addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

var _ = Describe("CloseDetectingListener", func() {
	// Guards against running requests of a caller that has disconnected:
	// net/http alone does not detect the close behind pipelined requests.
	It("cancels the context of a request whose caller pipelined another and disconnected", func() {
		started, ended := make(chan struct{}, 2), make(chan error, 2)
		addr := startServer(func(_ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			select {
			case <-r.Context().Done():
				ended <- r.Context().Err()
			case <-time.After(5 * time.Second):
				ended <- nil
			}
		})
		c := dial(addr)
		_, err := io.WriteString(c, getRequest+getRequest)
		Expect(err).NotTo(HaveOccurred())
		Eventually(started).Should(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(ended, "1s").Should(Receive(MatchError(context.Canceled)))
	})

	// Guards against lost or reordered answers on a connection with pipelined
	// requests.
	It("answers pipelined requests in order", func() {
		n := 0
		addr := startServer(func(w http.ResponseWriter, _ *http.Request) {
			n++
			w.Header().Set("N", string(rune('0'+n)))
		})
		c := dial(addr)
		_, err := io.WriteString(c, getRequest+getRequest+"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		answers, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answers)).To(MatchRegexp(`(?s)N: 1.*N: 2.*N: 3`))
	})

	// Guards against idle connections that stay open forever because the read
	// deadlines that net/http sets have no effect.
	It("closes idle connections after the server's idle timeout", func() {
		addr := startServer(func(http.ResponseWriter, *http.Request) {})
		c := dial(addr)
		_, err := io.WriteString(c, getRequest)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
		_, err = io.ReadAll(c)
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
	})

	// Guards against loss of data when a body is larger than the read-ahead
	// buffer.
	It("delivers bodies larger than the buffer completely", func() {
		size := make(chan int64, 1)
		addr := startServer(func(_ http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			size <- n
		})
		const total = 1 << 20
		resp, err := http.Post("http://"+addr, "application/octet-stream", io.LimitReader(zeroReader{}, total))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(size).Should(Receive(Equal(int64(total))))
	})
})

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }
