package ingress

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Shares of held bytes", func() {
	// Guards against callers of one organisation that stop reading and leave no
	// memory for the requests of others.
	It("leave half of the limit to other organisations", func() {
		h := newHeldBytes(100)
		Expect(h.reserve("clinic", 50)).To(BeTrue())
		Expect(h.reserve("clinic", 1)).To(BeFalse())
		Expect(h.reserve("shop", 30)).To(BeTrue())
		Expect(h.reserve("", 20)).To(BeTrue())
		Expect(h.reserve("till", 1)).To(BeFalse())
		h.release("clinic", 50)
		Expect(h.byOrganisation).NotTo(HaveKey("clinic"))
		Expect(h.reserve("till", 50)).To(BeTrue())
		Expect(h.total()).To(BeEquivalentTo(100))
	})

	// Guards against an answer without a stated length that is cut, or held
	// beyond the limit, when the node runs out of room while it reads.
	It("keep what was read of an answer that does not fit", func() {
		const length = 5 * prefetchStep
		source := strings.NewReader(strings.Repeat("x", length))
		h := &holding{held: newHeldBytes(3 * prefetchStep)}
		body, ended, err := h.readHeld(source, -1, 1<<30)
		Expect(err).NotTo(HaveOccurred())
		Expect(ended).To(BeFalse())
		Expect(len(body) + source.Len()).To(Equal(length))
		Expect(h.bytes).To(BeNumerically("<=", 3*prefetchStep))
		h.release()
		Expect(h.held.total()).To(BeZero())
	})
})
