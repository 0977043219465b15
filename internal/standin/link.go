package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
)

const (
	// linkBuffer bounds what a link holds back for one direction of one
	// connection, in chunks of chunkSize.
	linkBuffer = 256
	// heldPoll is how often a held stream looks whether it may go on.
	heldPoll = 5 * time.Millisecond
	// udpIdle is how long the return path of a UDP sender stays open.
	udpIdle = time.Minute
	// maxDatagram is the largest UDP payload.
	maxDatagram = 64 << 10
	dialTimeout = 2 * time.Second
)

// Direction holds the faults of one direction of a link.
type Direction struct {
	// Drop is the share of UDP packets that are lost. At 1, TCP streams are
	// held as well; their data arrives after the fault ends, as it would after
	// retransmission.
	Drop float64 `json:"drop"`
	// Delay is added to every packet and to all stream data.
	Delay Duration `json:"delay"`
	// Freeze makes the TCP connections that are open when the switch is set
	// silent for good in this direction; new connections work.
	Freeze bool `json:"freeze"`
}

// LinkFaults are the fault switches of a link.
type LinkFaults struct {
	// Forward is from the connecting side to the link's destination.
	Forward Direction `json:"forward"`
	// Backward is from the destination to the connecting side.
	Backward Direction `json:"backward"`
}

// Validate checks the values.
func (f LinkFaults) Validate() error {
	return errors.Join(fraction("forward.drop", f.Forward.Drop), fraction("backward.drop", f.Backward.Drop))
}

// LinkCalls are the counters of a link.
type LinkCalls struct {
	Connections     int64 `json:"connections"`
	Open            int   `json:"open"`
	ForwardBytes    int64 `json:"forwardBytes"`
	BackwardBytes   int64 `json:"backwardBytes"`
	ForwardPackets  int64 `json:"forwardPackets"`
	BackwardPackets int64 `json:"backwardPackets"`
	PacketsDropped  int64 `json:"packetsDropped"`
}

// Link forwards TCP and UDP between two addresses and injects faults per
// direction.
type Link struct {
	to     string
	log    logrus.FieldLogger
	faults switches[LinkFaults]
	dice   *dice

	mu    sync.Mutex
	conns map[*linkConn]struct{}

	connections, forwardBytes, backwardBytes        atomic.Int64
	forwardPackets, backwardPackets, packetsDropped atomic.Int64
}

// linkConn is one forwarded TCP connection.
type linkConn struct {
	near, far                     net.Conn
	forwardFrozen, backwardFrozen atomic.Bool
}

// NewLink returns a link to an address. Control serves its switches.
func NewLink(to string, seed uint64, log logrus.FieldLogger) *Link {
	l := &Link{to: to, log: log, dice: newDice(seed), conns: map[*linkConn]struct{}{}}
	l.faults.changed = l.faultsChanged
	return l
}

// Control returns the handler of the control calls.
func (l *Link) Control() http.Handler {
	e := newRouter()
	l.faults.register(e, func() any { return l.Calls() })
	return e
}

// SetFaults replaces the fault switches.
func (l *Link) SetFaults(f LinkFaults) error { return l.faults.set(nil, f) }

// SetFaultsJSON replaces the fault switches from their JSON form.
func (l *Link) SetFaultsJSON(raw string) error { return l.faults.setJSON(nil, []byte(raw)) }

// Calls returns the counters.
func (l *Link) Calls() LinkCalls {
	l.mu.Lock()
	open := len(l.conns)
	l.mu.Unlock()
	return LinkCalls{
		Connections: l.connections.Load(), Open: open,
		ForwardBytes: l.forwardBytes.Load(), BackwardBytes: l.backwardBytes.Load(),
		ForwardPackets: l.forwardPackets.Load(), BackwardPackets: l.backwardPackets.Load(),
		PacketsDropped: l.packetsDropped.Load(),
	}
}

func (l *Link) faultsChanged(_ echo.Context, old, current LinkFaults) {
	l.mu.Lock()
	for c := range l.conns {
		if current.Forward.Freeze {
			c.forwardFrozen.Store(true)
		}
		if current.Backward.Freeze {
			c.backwardFrozen.Store(true)
		}
	}
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{"old": fmt.Sprintf("%+v", old), "new": fmt.Sprintf("%+v", current)}).
		Info("fault switches changed")
}

// Serve forwards until ctx ends. It closes both listeners.
func (l *Link) Serve(ctx context.Context, tcp net.Listener, udp net.PacketConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- l.serveTCP(ctx, tcp) }()
	go func() { failed <- l.serveUDP(ctx, udp) }()
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	tcp.Close()
	udp.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.near.Close()
		c.far.Close()
	}
	return err
}

func (l *Link) serveTCP(ctx context.Context, listener net.Listener) error {
	for {
		near, err := listener.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		l.connections.Add(1)
		go l.connect(ctx, near)
	}
}

// connect opens the far side. While the forward direction drops everything,
// the near side sees a connection on which nothing happens.
func (l *Link) connect(ctx context.Context, near net.Conn) {
	if !l.held(ctx, l.forward) {
		near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", l.to, dialTimeout)
	if err != nil {
		l.log.WithError(err).Debug("destination refused the connection")
		near.Close()
		return
	}
	c := &linkConn{near: near, far: far}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.copy(ctx, far, near, l.forward, &c.forwardFrozen, &l.forwardBytes) }()
	go func() { defer both.Done(); l.copy(ctx, near, far, l.backward, &c.backwardFrozen, &l.backwardBytes) }()
	both.Wait()
	near.Close()
	far.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *Link) forward() Direction  { return l.faults.get().Forward }
func (l *Link) backward() Direction { return l.faults.get().Backward }

// held waits while the direction drops everything.
func (l *Link) held(ctx context.Context, direction func() Direction) bool {
	for direction().Drop >= 1 {
		if !sleep(ctx, heldPoll) {
			return false
		}
	}
	return ctx.Err() == nil
}

type chunk struct {
	data []byte
	due  time.Time
	err  error // end of the stream
}

// copy moves one direction of a connection. The end of the stream is subject
// to the same faults as its data.
func (l *Link) copy(ctx context.Context, to, from net.Conn, direction func() Direction, frozen *atomic.Bool, bytes *atomic.Int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := make(chan chunk, linkBuffer)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, chunkSize)
			n, err := from.Read(data)
			c := chunk{data: data[:n], due: time.Now().Add(time.Duration(direction().Delay)), err: err}
			select {
			case chunks <- c:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !sleep(ctx, time.Until(c.due)) || !l.held(ctx, direction) {
			return
		}
		if frozen.Load() {
			// The other direction ends the connection.
			continue
		}
		if len(c.data) > 0 {
			// Counted first, so that a counter never lags behind an answer.
			bytes.Add(int64(len(c.data)))
			if _, err := to.Write(c.data); err != nil {
				from.Close()
				return
			}
		}
		if c.err != nil {
			closeWrite(to)
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
		return
	}
	c.Close()
}

// serveUDP forwards packets. Each sender gets its own socket to the
// destination, so that answers find their way back.
func (l *Link) serveUDP(ctx context.Context, near net.PacketConn) error {
	var mu sync.Mutex
	senders := map[string]net.Conn{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, far := range senders {
			far.Close()
		}
	}()
	packet := make([]byte, maxDatagram)
	for {
		n, sender, err := near.ReadFrom(packet)
		if err != nil {
			return fmt.Errorf("receive packet: %w", err)
		}
		mu.Lock()
		far, ok := senders[sender.String()]
		if !ok {
			if far, err = net.Dial("udp", l.to); err != nil {
				mu.Unlock()
				continue
			}
			senders[sender.String()] = far
			go func() {
				l.returnPackets(near, far, sender)
				mu.Lock()
				delete(senders, sender.String())
				mu.Unlock()
				far.Close()
			}()
		}
		mu.Unlock()
		l.packet(ctx, l.forward(), append([]byte(nil), packet[:n]...), &l.forwardPackets, func(p []byte) { far.Write(p) })
	}
}

func (l *Link) returnPackets(near net.PacketConn, far net.Conn, sender net.Addr) {
	packet := make([]byte, maxDatagram)
	for {
		far.SetReadDeadline(time.Now().Add(udpIdle))
		n, err := far.Read(packet)
		var timeout net.Error
		switch {
		case err == nil:
		case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, net.ErrClosed):
			return
		default:
			// The destination's port is closed; it may open again.
			continue
		}
		l.packet(context.Background(), l.backward(), append([]byte(nil), packet[:n]...), &l.backwardPackets,
			func(p []byte) { near.WriteTo(p, sender) })
	}
}

func (l *Link) packet(ctx context.Context, d Direction, p []byte, packets *atomic.Int64, send func([]byte)) {
	if l.dice.hit(d.Drop) {
		l.packetsDropped.Add(1)
		return
	}
	packets.Add(1)
	if d.Delay == 0 {
		send(p)
		return
	}
	go func() {
		if sleep(ctx, time.Duration(d.Delay)) {
			send(p)
		}
	}()
}
