package ingress_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/link"
)

// Guards against a node that refuses all bodies until it is restarted, because
// failed answers that were repeated keep their part of the memory for bodies.
var _ = DescribeTable("Failed answers that are repeated give back the memory that they held",
	func(replies ...func(*link.Call) *link.Reply) {
		s := newTestIngressWith(func(c *ingress.Config) { c.HeldBytes, c.UncountedRefusals = 1<<20, true }, replies...)
		for range 3 {
			s.remote.calls = nil
			s.send("GET", "/kits/1", "")
			Expect(s.in.HeldBytes()).To(BeZero())
		}
	},
	Entry("after a success", failedAnswer, answered("ok")),
	Entry("after other failed answers", failedAnswer, failedAnswer, failedAnswer),
	Entry("after a refusal", failedAnswer, refused("full")),
	Entry("after a lost connection", failedAnswer, mayHaveRun("connection lost")),
)

// failedAnswer returns an answer with status 500 and a body of 5,000 bytes.
func failedAnswer(c *link.Call) *link.Reply {
	reply := answered(strings.Repeat("x", 5000))(c)
	reply.Status = 500
	return reply
}
