package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
)

func datagramWith(from string, nodes ...fleet.Node) *controlv1.Datagram {
	d := &controlv1.Datagram{From: from, Incarnation: 1}
	for _, n := range nodes {
		d.Nodes = append(d.Nodes, membership.NodeToProto(n))
	}
	return d
}

// describe formats a datagram as one line.
func describe(d *controlv1.Datagram) string {
	var b strings.Builder
	switch body := d.Body.(type) {
	case *controlv1.Datagram_Ping:
		fmt.Fprintf(&b, "ping %d to %q", body.Ping.Sequence, body.Ping.To)
	case *controlv1.Datagram_Ack:
		fmt.Fprintf(&b, "ack %d", body.Ack.Sequence)
	case *controlv1.Datagram_PingRequest:
		fmt.Fprintf(&b, "ping request %d to %q", body.PingRequest.Sequence, body.PingRequest.To)
	default:
		b.WriteString("news")
	}
	for _, n := range d.Nodes {
		form := "full"
		if n.PeerAddr == "" {
			form = "short"
		}
		fmt.Fprintf(&b, "; %s %s@%d v%d (%s)", n.Id, strings.ToLower(n.State.String()[11:]), n.Incarnation, n.BundleVersion, form)
	}
	for _, t := range d.Targets {
		fmt.Fprintf(&b, "; target %s v%d", t.Id, t.Version)
	}
	return b.String()
}

// TestGoldenSession guards against unintended changes of the messages that one
// machine sends while it joins, probes, asks helpers, suspects a node, declares
// it dead, refutes a suspicion, disseminates updates and leaves.
func TestGoldenSession(t *testing.T) {
	var b strings.Builder
	began := time.Unix(1_700_000_000, 0)
	now := began
	self := node(0, 1)
	self.Incarnation = 100
	m := membership.New(self, membership.DefaultConfig(), 1)
	// Only these peers ack pings.
	responding := map[string]bool{"10.0.0.1:7100": true, "10.0.0.2:7100": true}
	var step func(ev membership.Event)
	step = func(ev membership.Event) {
		var replies []membership.Packet
		for _, a := range m.Step(now, ev) {
			at := now.Sub(began)
			switch a := a.(type) {
			case membership.Send:
				fmt.Fprintf(&b, "%6v send %s: %s\n", at, a.To, describe(a.Message))
				if ping := a.Message.GetPing(); ping != nil && responding[a.To] {
					id := "node-000" + a.To[len("10.0.0."):len("10.0.0.")+1]
					replies = append(replies, membership.Packet{From: a.To, Message: &controlv1.Datagram{
						From: id, Incarnation: 1, Body: &controlv1.Datagram_Ack{Ack: &controlv1.Ack{Sequence: ping.Sequence}}}})
				}
			case membership.NodeChanged:
				fmt.Fprintf(&b, "%6v node %s %s@%d v%d\n", at, a.Node.ID, a.Node.State, a.Node.Incarnation, a.Node.BundleVersion)
			default:
				fmt.Fprintf(&b, "%6v %T %+v\n", at, a, a)
			}
		}
		for _, r := range replies {
			step(r)
		}
	}
	ticks := func(n int) {
		for range n {
			now = now.Add(50 * time.Millisecond)
			step(membership.Tick{})
		}
	}
	title := func(s string) { fmt.Fprintf(&b, "\n# %s\n", s) }
	peer := func(i int) fleet.Node {
		n := node(i, 1)
		n.Incarnation = 1
		return n
	}

	title("start with a seed")
	step(membership.Start{Seeds: []string{"10.0.0.1:7100"}})
	title("the seed's state arrives")
	step(membership.Merge{Nodes: []*controlv1.Node{
		membership.NodeToProto(peer(1)), membership.NodeToProto(peer(2)), membership.NodeToProto(peer(3))}})
	title("node 3 is silent")
	ticks(40)
	title("node 1 suspects this node")
	d := datagramWith("node-0001")
	d.Nodes = []*controlv1.Node{{Id: "node-0000", Incarnation: 100, State: controlv1.NodeState_NODE_STATE_SUSPECT}}
	step(membership.Packet{From: "10.0.0.1:7100", Message: d})
	title("a ping for another node and a ping for this one")
	for _, to := range []string{"node-0009", "node-0000"} {
		d := datagramWith("node-0002")
		d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: 77, To: to}}
		step(membership.Packet{From: "10.0.0.2:7100", Message: d})
	}
	title("node 2 asks for a ping of node 1")
	d = datagramWith("node-0002")
	d.Body = &controlv1.Datagram_PingRequest{PingRequest: &controlv1.PingRequest{Sequence: 78, To: "node-0001", ToAddr: "10.0.0.1:7100"}}
	step(membership.Packet{From: "10.0.0.2:7100", Message: d})
	title("node 3 comes back")
	restarted := peer(3)
	restarted.Incarnation = 2
	responding["10.0.0.3:7100"] = true
	step(membership.Packet{From: "10.0.0.3:7100", Message: datagramWith("node-0003", restarted)})
	title("a bundle and a target")
	step(membership.BundleActivated{Version: 7})
	step(membership.DisseminateTarget{Target: fleet.Target{ID: "t-1", Node: "node-0000", Version: 1}})
	title("leaving")
	step(membership.Leave{})
	ticks(8)
	goldie.New(t).Assert(t, "session", []byte(b.String()))
}
