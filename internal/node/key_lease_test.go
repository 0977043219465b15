package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/config"
	"siskinvale.dev/siskinvale/internal/freshness"
)

var _ = Describe("Lease on API keys", func() {
	newNode := func(revokeWithin time.Duration) *Node {
		n := &Node{control: &control{}, bootTime: func() time.Duration { return time.Hour }}
		n.settings.Store(&config.Settings{Organisations: config.Organisations{RevokeWithin: revokeWithin}})
		return n
	}

	It("sets no bound without a setting", func() {
		n := newNode(0)
		n.control.keyLease.init(n)
		Expect(n.control.keyLease.machine).To(BeNil())
		Expect(n.ingressKeyLease().Age).To(BeNil())
	})

	// Guards against a request that was classified by an older bundle and uses a
	// key that the confirmed one has taken away.
	It("does not use a confirmation of a newer version than that of the view", func() {
		n := newNode(5 * time.Second)
		lease := n.ingressKeyLease()
		Expect(lease.MaxAge).To(BeNumerically("<", 5*time.Second))
		_, known := lease.Age(7)
		Expect(known).To(BeFalse())
		n.control.keyLease.confirmed.Store(&freshness.Confirmation{Version: 7, At: time.Hour - 3*time.Second})
		for version, want := range map[uint64]bool{6: false, 7: true, 8: true} {
			age, known := lease.Age(version)
			Expect(known).To(Equal(want))
			if known {
				Expect(age).To(Equal(3 * time.Second))
			}
		}
	})
})
