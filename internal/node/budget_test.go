package node

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

var _ = Describe("Loans of retries between nodes", func() {
	// Guards against requests that wait for a node that does not answer or has
	// nothing to lend, and against loans that do not reach the requests that
	// wait for them.
	It("end the wait of requests with a loan, a refusal of all nodes or a timeout", func() {
		c := newTestControl()
		peer, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer peer.Close()
		nodes, _ := testRecords(1)
		nodes[0].PeerAddr = peer.LocalAddr().String()
		c.merge(nodes, nil)
		// runUntil takes the place of the control goroutine until done returns true.
		// Other parts of the node also queue functions.
		runUntil := func(done func() bool) {
			Eventually(func() bool {
				select {
				case f := <-c.inbox:
					f()
				default:
				}
				return done()
			}, "5s", "1ms").Should(BeTrue())
		}
		waiting := func(n int) func() bool {
			return func() bool { return len(c.retryLoans.waiting["hints"]) == n }
		}
		borrow := func(wait time.Duration) (result chan bool) {
			result = make(chan bool, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), wait)
				defer cancel()
				result <- c.retryLoans.Borrow(ctx, "hints", 0.4)
			}()
			return result
		}
		answer := func(q *controlv1.BudgetQuery, granted uint32) {
			c.receive(peer.LocalAddr().String(), &controlv1.Datagram{From: "node-1", Body: &controlv1.Datagram_BudgetAnswer{BudgetAnswer: &controlv1.BudgetAnswer{
				Sequence: q.Sequence, Service: q.Service, GrantedMilli: granted,
			}}})
		}

		result := borrow(time.Minute)
		runUntil(waiting(1))
		query := readDatagram(c, peer, time.Second).GetBudgetQuery()
		Expect(query.GetWantedMilli()).To(Equal(uint32(400)))
		answer(query, 400)
		Expect(<-result).To(BeTrue())
		Expect(c.retryLoans.borrowedMilli.Load()).To(Equal(uint64(400)))
		answer(query, 400)
		Expect(c.retryLoans.borrowedMilli.Load()).To(Equal(uint64(400)), "an answer counts once")

		result = borrow(10 * time.Millisecond)
		runUntil(waiting(1))
		query = readDatagram(c, peer, time.Second).GetBudgetQuery()
		Expect(<-result).To(BeFalse())
		runUntil(waiting(0))
		answer(query, 0)

		result = borrow(time.Minute)
		runUntil(func() bool { return len(result) == 1 })
		Expect(<-result).To(BeFalse(), "the only other node has nothing to lend")

		c.receive(peer.LocalAddr().String(), &controlv1.Datagram{From: "node-1", Body: &controlv1.Datagram_BudgetQuery{BudgetQuery: &controlv1.BudgetQuery{
			Sequence: 7, Service: "hints", WantedMilli: 500,
		}}})
		refusal := readDatagram(c, peer, time.Second).GetBudgetAnswer()
		Expect(refusal.GetSequence()).To(Equal(uint64(7)))
		Expect(refusal.GetGrantedMilli()).To(BeZero(), "the node has served no request of the service")
		Expect(c.retryLoans.refused.Load()).To(Equal(uint64(1)))
	})
})
