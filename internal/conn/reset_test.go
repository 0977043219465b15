package conn

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a reset that a read reports as the end of the stream, because a
// write has taken the kernel's only report of it.
var _ = Describe("A connection of DetectResets", func() {
	dial := func(serve func(*net.TCPConn)) net.Conn {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			if c, err := l.Accept(); err == nil {
				serve(c.(*net.TCPConn))
			}
		}()
		c, err := DetectResets((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}

	It("fails to read after a write has failed because of a reset", func() {
		c := dial(func(server *net.TCPConn) {
			// A reset before the client has seen its connection makes the dial fail.
			_, _ = server.Read(make([]byte, 1))
			_, _ = io.WriteString(server, "part")
			_ = server.SetLinger(0)
			server.Close()
		})
		Expect(c.Write([]byte("x"))).To(Equal(1))
		Eventually(func() error { _, err := c.Write([]byte("x")); return err }, "2s", "1ms").Should(HaveOccurred())
		_, err := io.ReadAll(c)
		Expect(err).To(HaveOccurred())
	})

	It("reads to the end of a stream that the other side ends in order", func() {
		c := dial(func(server *net.TCPConn) {
			_, _ = io.WriteString(server, "whole")
			_ = server.CloseWrite()
			time.Sleep(time.Second)
			server.Close()
		})
		Expect(io.ReadAll(c)).To(Equal([]byte("whole")))
	})
})
