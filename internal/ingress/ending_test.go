package ingress_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/link"
)

// Guards against a planned stop that closes the connections of requests that
// have not run, without an answer.
var _ = Describe("A node that is about to end", func() {
	const end = 700 * time.Millisecond

	It("refuses requests that wait beside other nodes as not run, before it ends", func() {
		remote := &queueingRemote{waiting: make(map[string]chan struct{})}
		s := newTestIngressWith(func(c *ingress.Config) { c.Remote = remote })
		codes := make(chan int, 8)
		send := func(deadline string) {
			codes <- s.send("POST", "/notes", "x", "Siskinvale-Timeout", deadline).Code
		}
		for range 4 {
			go send("5s")
		}
		Eventually(remote.queued).Should(Equal(4))
		ends := time.Now().Add(end)
		s.in.EndBy(ends)
		Consistently(codes, "100ms").ShouldNot(Receive(), "there is still time to wait")
		for range 4 {
			Eventually(codes, end).Should(Receive(Equal(http.StatusServiceUnavailable)))
		}
		Expect(time.Now()).To(BeTemporally("<", ends))

		By("requests that arrive later")
		before := remote.calls
		go send("5s")
		Eventually(codes, "100ms").Should(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(remote.calls).To(Equal(before))
	})

	It("withdraws a call again if it arrives after its withdrawal", func() {
		remote := &lateRemote{queueingRemote: &queueingRemote{waiting: make(map[string]chan struct{})}, lost: 2}
		s := newTestIngressWith(func(c *ingress.Config) { c.Remote = remote })
		codes := make(chan int, 1)
		go func() { codes <- s.send("POST", "/notes", "x", "Siskinvale-Timeout", "5s").Code }()
		Eventually(remote.queued).Should(Equal(1))
		s.in.EndBy(time.Now().Add(end))
		Eventually(codes, end).Should(Receive(Equal(http.StatusServiceUnavailable)))
	})

	It("refuses a request whose body is still coming in as not run", func() {
		s := newTestIngress(answered("ok"))
		server := httptest.NewServer(s.in)
		DeferCleanup(server.CloseClientConnections)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		fmt.Fprint(conn, "POST /notes HTTP/1.1\r\nHost: booking\r\nSiskinvale-Timeout: 5s\r\nContent-Length: 100\r\n\r\nhalf")
		Eventually(s.in.InFlight).Should(BeEquivalentTo(1))
		ends := time.Now().Add(end)
		s.in.EndBy(ends)
		Expect(conn.SetReadDeadline(ends)).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Close).To(BeTrue())
		Expect(resp.Header.Get(link.HeaderOutcome)).To(Equal("not-run"))
	})

	It("answers that the outcome is unknown when it is cut off", func() {
		remote := &lateRemote{queueingRemote: &queueingRemote{waiting: make(map[string]chan struct{})}, lost: 1000}
		s := newTestIngressWith(func(c *ingress.Config) { c.Remote = remote })
		codes := make(chan int, 1)
		go func() { codes <- s.send("POST", "/notes", "x", "Siskinvale-Timeout", "5s").Code }()
		Eventually(remote.queued).Should(Equal(1))
		s.in.EndBy(time.Now())
		Consistently(codes, "200ms").ShouldNot(Receive())
		s.in.CutOff()
		Eventually(codes, "200ms").Should(Receive(Equal(http.StatusGatewayTimeout)))
	})
})
