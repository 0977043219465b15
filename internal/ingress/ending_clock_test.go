package ingress

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
)

// Guards against requests that are started too late, or refused too early,
// because the wall clock is stepped while the node stops.
var _ = Describe("The end that a node has announced", func() {
	It("is on the monotonic clock", func() {
		in := New(Config{Clock: time.Now})
		in.EndBy(time.Now().Add(5 * time.Second))
		last, ok := in.lastStart(&bundle.Class{})
		Expect(ok).To(BeTrue())
		Expect(strings.Contains(last.String(), "m=+")).To(BeTrue(), last.String())
	})
})
