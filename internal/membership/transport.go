package membership

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"siskinvale.dev/siskinvale/internal/auth"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// ErrDatagramTooLarge is returned for a message that, with its authentication
// tag, exceeds MaxDatagram.
var ErrDatagramTooLarge = errors.New("datagram is too large")

// TransportCounts holds the packet and byte counters of a transport since it
// was opened.
type TransportCounts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	// Unauthenticated counts the packets dropped because they had no valid tag,
	// and Malformed those dropped because they were too long, could not be
	// decoded, or named no sender.
	Unauthenticated, Malformed uint64
	// SendErrors counts messages that could not be encoded or sent.
	SendErrors uint64
}

// Transport sends and receives authenticated datagrams on one UDP socket. It is
// safe for concurrent use.
type Transport struct {
	conn    *net.UDPConn
	keys    *auth.Keys
	deliver func(from string, d *controlv1.Datagram)
	done    chan struct{}

	sent, sentBytes, received, receivedBytes atomic.Uint64
	unauthenticated, malformed, sendErrors   atomic.Uint64
}

// Listen opens a UDP socket at addr (ip:port) and passes each authenticated
// datagram to deliver, whether it carries membership or evidence. deliver is
// called from one goroutine and must not block for long.
func Listen(addr string, keys *auth.Keys, deliver func(from string, d *controlv1.Datagram)) (*Transport, error) {
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("parse membership address: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("listen on membership socket: %w", err)
	}
	t := &Transport{conn: conn, keys: keys, deliver: deliver, done: make(chan struct{})}
	go t.receive()
	return t, nil
}

// Addr returns the socket's address (ip:port).
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// Close closes the socket and waits until the last call of deliver has
// returned.
func (t *Transport) Close() error {
	err := t.conn.Close()
	<-t.done
	return err
}

// Send appends the authentication tag to a message and sends it to an address
// (ip:port). A message that is too large gives ErrDatagramTooLarge.
func (t *Transport) Send(to string, d *controlv1.Datagram) error {
	return t.SendAll([]string{to}, d)
}

// SendAll sends one message to several addresses (ip:port) and encodes it only
// once. It tries all addresses and returns the first error. A message that is
// too large gives ErrDatagramTooLarge.
func (t *Transport) SendAll(to []string, d *controlv1.Datagram) error {
	packet, err := t.seal(d)
	if err != nil {
		t.sendErrors.Add(uint64(len(to)))
		return err
	}
	var first error
	for _, addr := range to {
		if err := t.write(addr, packet); err != nil {
			t.sendErrors.Add(1)
			if first == nil {
				first = err
			}
		}
	}
	return first
}

// seal encodes a message and appends its authentication tag.
func (t *Transport) seal(d *controlv1.Datagram) ([]byte, error) {
	packet, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 0, MaxDatagram), d)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	if len(packet)+auth.TagSize > MaxDatagram {
		return nil, fmt.Errorf("%w: %d bytes with its tag", ErrDatagramTooLarge, len(packet)+auth.TagSize)
	}
	return t.keys.Seal(packet), nil
}

func (t *Transport) write(to string, packet []byte) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("parse peer address: %w", err)
	}
	if _, err := t.conn.WriteToUDPAddrPort(packet, addr); err != nil {
		return fmt.Errorf("send datagram: %w", err)
	}
	t.sent.Add(1)
	t.sentBytes.Add(uint64(len(packet)))
	return nil
}

func (t *Transport) receive() {
	defer close(t.done)
	// One byte more than allowed reveals packets that are too long.
	buffer := make([]byte, MaxDatagram+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error for an earlier packet. The socket remains usable.
			continue
		}
		t.received.Add(1)
		t.receivedBytes.Add(uint64(n))
		if d := t.open(buffer[:n]); d != nil {
			t.deliver(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), d)
		}
	}
}

// open verifies and decodes a packet. It returns nil for a packet that is
// dropped.
func (t *Transport) open(sealed []byte) *controlv1.Datagram {
	if len(sealed) > MaxDatagram {
		t.malformed.Add(1)
		return nil
	}
	packet, err := t.keys.Open(sealed)
	if err != nil {
		t.unauthenticated.Add(1)
		return nil
	}
	d := new(controlv1.Datagram)
	if err := proto.Unmarshal(packet, d); err != nil || d.From == "" {
		t.malformed.Add(1)
		return nil
	}
	return d
}

// Counts returns the current counters.
func (t *Transport) Counts() TransportCounts {
	return TransportCounts{
		Sent: t.sent.Load(), SentBytes: t.sentBytes.Load(),
		Received: t.received.Load(), ReceivedBytes: t.receivedBytes.Load(),
		Unauthenticated: t.unauthenticated.Load(), Malformed: t.malformed.Load(), SendErrors: t.sendErrors.Load(),
	}
}
