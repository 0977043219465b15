package node

import (
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/loadreport"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/rollout"
)

// readDatagram returns the next datagram that c has sent to peer, or nil if none
// arrives in time.
func readDatagram(c *control, peer net.PacketConn, wait time.Duration) *controlv1.Datagram {
	buffer := make([]byte, membership.MaxDatagram+1)
	Expect(peer.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
	n, _, err := peer.ReadFrom(buffer)
	if err != nil {
		return nil
	}
	packet, err := c.node.peerKeys.Open(buffer[:n])
	Expect(err).NotTo(HaveOccurred())
	d := new(controlv1.Datagram)
	Expect(proto.Unmarshal(packet, d)).To(Succeed())
	return d
}

var _ = Describe("Load reports of peers", func() {
	// Guards against a node that keeps an older configuration because it lost
	// the path to the nodes that announced the new one: any packet from a peer
	// tells it.
	It("and all other packets tell the version in force at the sender", func() {
		c := newTestControl()
		nodes, _ := testRecords(1)
		c.merge(nodes, nil)
		// The node has started: the store and its only peer have no bundle.
		c.stepRollout(rollout.PlatformRead{})
		c.stepRollout(rollout.EnvelopeReceived{From: "node-1"})
		Expect(c.rollout.IsReady()).To(BeTrue())
		fetches := c.rollout.Stats().EnvelopeFetches
		c.receive("127.0.0.1:9", &controlv1.Datagram{From: "node-1", BundleVersion: 7,
			Body: &controlv1.Datagram_Ack{Ack: &controlv1.Ack{Sequence: 1}}})
		Eventually(func() uint64 {
			c.stepRollout(rollout.Tick{})
			return c.rollout.Stats().EnvelopeFetches
		}, "1s", "50ms").Should(Equal(fetches + 1))
	})

	// Guards against targets that a node never learns of because their
	// announcement was lost.
	It("make the node ask for the record of a target that it does not know in that version", func() {
		c := newTestControl()
		peer, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer peer.Close()
		nodes, targets := testRecords(1)
		c.merge(nodes, nil)
		record := membership.TargetFromProto(targets[0])
		report := func(record fleet.Target) {
			c.receive(peer.LocalAddr().String(), &controlv1.Datagram{From: "node-1", Body: &controlv1.Datagram_Evidence{Evidence: &controlv1.Evidence{
				Stage: controlv1.LoadStage_LOAD_STAGE_DISTRIBUTED,
				Loads: []*controlv1.TargetLoad{{Target: string(record.ID), Record: uint32(loadreport.Fingerprint(record))}},
			}}})
		}
		asked := func() []string {
			return readDatagram(c, peer, 200*time.Millisecond).GetEvidence().GetWantedTargets()
		}
		report(record)
		Expect(asked()).To(Equal([]string{string(record.ID)}))
		c.merge(nil, targets)
		c.wantedAt = time.Time{}
		report(record)
		Expect(asked()).To(BeEmpty())
		record.Version++
		report(record)
		Expect(asked()).To(Equal([]string{string(record.ID)}))
		report(record)
		Expect(asked()).To(BeEmpty(), "asked again within the interval")
	})

	It("fit one datagram each, however many there are", func() {
		c := newTestControl()
		peer, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer peer.Close()
		var reports []loadreport.Report
		for i := range 300 {
			reports = append(reports, loadreport.Report{Target: fleet.TargetID(fmt.Sprintf("target-with-a-long-name-%d", i)), Record: 65535, At: time.Now().Add(-time.Minute),
				Load: fleet.Load{InFlight: 1000, Queued: 1000, Slots: 1000, QueuedWork: time.Hour, EpisodeProbability: 1,
					RateLimit: 100_000.5, StartDelay: time.Hour, RateUnknown: true}})
		}
		c.sendReports([]loadreport.Send{{To: []fleet.Node{{PeerAddr: peer.LocalAddr().String()}}, Stage: loadreport.Distributed, Reports: reports}})
		Expect(c.transport.Counts().SendErrors).To(BeZero())
		received := 0
		for received < len(reports) {
			d := readDatagram(c, peer, time.Second)
			Expect(d).NotTo(BeNil())
			for _, l := range d.GetEvidence().GetLoads() {
				Expect(reportFromProto(l, time.Now()).Load).To(Equal(reports[0].Load))
				received++
			}
		}
	})
})
