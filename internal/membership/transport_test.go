package membership_test

import (
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/auth"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/membership"
)

var _ = Describe("Transport", func() {
	keys := func(id string) *auth.Keys {
		k, err := auth.NewKeys(auth.AudiencePeer, []auth.Key{{ID: id, Secret: auth.Secret(strings.Repeat(id, auth.MinSecretBytes))}})
		Expect(err).NotTo(HaveOccurred())
		return k
	}
	listen := func(id string) (*membership.Transport, chan *controlv1.Datagram) {
		received := make(chan *controlv1.Datagram, 16)
		t, err := membership.Listen("127.0.0.1:0", keys(id), func(_ string, d *controlv1.Datagram) { received <- d })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		return t, received
	}

	It("delivers pings and evidence from authenticated nodes", func() {
		a, _ := listen("k")
		b, received := listen("k")
		Expect(a.Send(b.Addr(), &controlv1.Datagram{From: "a", Body: &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: 3}}})).To(Succeed())
		Expect(a.Send(b.Addr(), &controlv1.Datagram{From: "a", Body: &controlv1.Datagram_Evidence{Evidence: &controlv1.Evidence{
			Samples: []*controlv1.HealthSample{{Target: "t"}}}}})).To(Succeed())
		Eventually(received).Should(Receive(WithTransform((*controlv1.Datagram).GetPing, HaveField("Sequence", uint64(3)))))
		Eventually(received).Should(Receive(WithTransform((*controlv1.Datagram).GetEvidence, HaveField("Samples", HaveLen(1)))))
	})

	It("drops and counts packets that are forged, malformed or too long", func() {
		a, _ := listen("other")
		b, received := listen("k")
		Expect(a.Send(b.Addr(), &controlv1.Datagram{From: "a"})).To(Succeed())
		conn, err := net.Dial("udp", b.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		for _, packet := range [][]byte{{}, []byte("x"), keys("k").Seal([]byte("\xff\xff")), keys("k").Seal(nil), make([]byte, membership.MaxDatagram+1)} {
			_, err := conn.Write(packet)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(b.Counts).Should(And(HaveField("Received", uint64(6)),
			HaveField("Unauthenticated", uint64(3)), HaveField("Malformed", uint64(3))))
		Expect(received).NotTo(Receive())
	})

	It("refuses to send a datagram that could be fragmented", func() {
		a, _ := listen("k")
		err := a.Send(a.Addr(), &controlv1.Datagram{From: strings.Repeat("a", membership.MaxDatagram-auth.TagSize)})
		Expect(err).To(MatchError(membership.ErrDatagramTooLarge))
	})
})
