package node

import (
	"context"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/config"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/platform"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

// testAdapter is an adapter of a node that is not running.
type testAdapter struct{ Adapter }

func (testAdapter) PlatformClient() platform.Client { return nil }
func (testAdapter) FrontEnd() ingress.FrontEnd      { return nil }
func (testAdapter) Dialect() sidecar.Dialect        { return nil }

func (testAdapter) ReadConfiguration(context.Context, platform.Client) ([]byte, platform.Position, error) {
	return nil, platform.Position{}, platform.ErrUnavailable
}

func (testAdapter) WatchConfiguration(context.Context, platform.Client, platform.Position) ([]byte, platform.Position, error) {
	return nil, platform.Position{}, platform.ErrUnavailable
}

// newTestControl returns the control state of a node that is not running. The
// test takes the place of the control goroutine.
func newTestControl() *control {
	s, findings := config.Parse("settings", []byte(`
node: {id: self, region: r, dataCentre: dc-0}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", targets: "127.0.0.1:3", operators: "127.0.0.1:4"}
platform: {address: "http://127.0.0.1:5"}
deployment: {readiness: "127.0.0.1:6", service: hints, target: "127.0.0.1:7", announceInterval: 1s, floorShare: 0.7}
repeats: {ratio: 0.2, allowance: 30, window: 10s}
drain: {longestWait: 4s, notice: 500ms}
`))
	Expect(findings).To(BeEmpty())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n, err := New(s, logger, testAdapter{})
	Expect(err).NotTo(HaveOccurred())
	n.control.transport, err = membership.Listen("127.0.0.1:0", n.peerKeys, func(string, *controlv1.Datagram) {})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(n.control.transport.Close)
	return n.control
}

func testRecords(i int) ([]*controlv1.Node, []*controlv1.Target) {
	id, centre := fmt.Sprintf("node-%d", i), fmt.Sprintf("dc-%d", i%6)
	return []*controlv1.Node{{Id: id, Region: "r", DataCentre: centre, PeerAddr: fmt.Sprintf("127.0.%d.%d:1", i/250, i%250+1),
			Incarnation: uint64(i + 1), State: controlv1.NodeState_NODE_STATE_ALIVE}},
		[]*controlv1.Target{{Id: fmt.Sprintf("target-%d", i), Service: fmt.Sprintf("service-%d", i%2), Node: id, DataCentre: centre,
			Addr: "127.0.0.1:80", Slots: 4, State: controlv1.TargetState_TARGET_STATE_SERVING, Incarnation: uint64(i + 1), Version: 1}}
}

var _ = Describe("Published view", func() {
	// Guards against a start whose cost grows with the square of the fleet: a
	// view takes time in proportion to the fleet, and a node that starts learns
	// of each other node and target on its own.
	It("is rebuilt once an interval while a fleet of 300 nodes is learned", func() {
		c := newTestControl()
		start, views := time.Now(), 0
		last := c.node.ingress.View()
		for i := range 300 {
			nodes, targets := testRecords(i)
			c.merge(nodes, nil)
			c.publish()
			c.merge(nil, targets)
			c.publish()
			if v := c.node.ingress.View(); v != last {
				views, last = views+1, v
			}
		}
		Expect(views).To(BeNumerically("<=", 1+int(time.Since(start)/publishInterval)))

		c.publishedAt = time.Now().Add(-publishInterval)
		c.publish()
		view := c.node.ingress.View()
		Expect(view.Nodes).To(HaveLen(301))
		Expect(view.Pickers).To(HaveLen(2))
	})

	It("is replaced at once when the node leaves", func() {
		c := newTestControl()
		nodes, _ := testRecords(1)
		c.merge(nodes, nil)
		c.publish()
		c.leave()
		Expect(c.node.ingress.View().Leaving).To(BeTrue())
	})

	It("loses the targets of a node that is gone, and lists them in order", func() {
		c := newTestControl()
		for i := range 20 {
			nodes, targets := testRecords(19 - i)
			c.merge(nodes, targets)
		}
		Expect(c.byService["service-0"]).To(HaveLen(10))
		for i, t := range c.byService["service-0"][1:] {
			Expect(t.ID > c.byService["service-0"][i].ID).To(BeTrue())
		}
		c.nodeChanged(fleet.Node{ID: "node-4", DataCentre: "dc-4", Incarnation: 100, State: fleet.NodeDead})
		Expect(c.byService["service-0"]).To(HaveLen(9))
	})
})
