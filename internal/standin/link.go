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
	// maxBufferedChunks bounds the data that a link buffers for one direction
	// of one connection, in chunks of at most chunkBytes.
	maxBufferedChunks = 256
	// holdPollInterval is how often a held stream checks whether the fault has
	// ended.
	holdPollInterval = 5 * time.Millisecond
	// udpIdleTimeout is how long the upstream socket of a UDP client stays open
	// without replies.
	udpIdleTimeout = time.Minute
	// maxDatagramBytes is the receive buffer's size; no UDP payload is larger.
	maxDatagramBytes = 64 << 10
	dialTimeout      = 2 * time.Second
)

// DirectionFaults are the fault switches of one direction of a link.
type DirectionFaults struct {
	// Drop is the fraction of UDP packets that are dropped. At 1, TCP streams
	// are held as well: their data is delivered after the fault ends, as it
	// would be after TCP retransmission.
	Drop float64 `json:"drop"`
	// Delay is added to every packet and to all stream data.
	Delay Duration `json:"delay"`
	// Freeze discards all further data of this direction on the TCP
	// connections that are open when the switch is set, even after the switch
	// is off again. New connections work.
	Freeze bool `json:"freeze"`
}

// LinkFaults are the fault switches of a link.
type LinkFaults struct {
	// Forward is the direction from the client to the link's destination.
	Forward DirectionFaults `json:"forward"`
	// Backward is the direction from the destination to the client.
	Backward DirectionFaults `json:"backward"`
}

// Validate returns an error that names each switch with an invalid value.
func (f LinkFaults) Validate() error {
	return errors.Join(checkFraction("forward.drop", f.Forward.Drop), checkFraction("backward.drop", f.Backward.Drop))
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

// Link forwards TCP connections and UDP packets to one address and injects
// faults per direction.
type Link struct {
	to      string
	log     logrus.FieldLogger
	faults  faultSwitches[LinkFaults]
	sampler *faultSampler

	mu    sync.Mutex
	conns map[*linkConn]struct{}

	connections, forwardBytes, backwardBytes        atomic.Int64
	forwardPackets, backwardPackets, packetsDropped atomic.Int64
}

// linkConn is one forwarded TCP connection: the accepted one and the one to the
// destination.
type linkConn struct {
	client, upstream              net.Conn
	forwardFrozen, backwardFrozen atomic.Bool
}

// NewLink returns a link that forwards to the address to. seed decides which
// packets are dropped. The control calls are served by Control.
func NewLink(to string, seed uint64, log logrus.FieldLogger) *Link {
	l := &Link{to: to, log: log, sampler: newFaultSampler(seed), conns: map[*linkConn]struct{}{}}
	l.faults.onChange = l.faultsChanged
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

// Serve forwards until ctx ends or a listener fails. It closes both listeners
// and all TCP connections.
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
		c.client.Close()
		c.upstream.Close()
	}
	return err
}

func (l *Link) serveTCP(ctx context.Context, listener net.Listener) error {
	for {
		client, err := listener.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		l.connections.Add(1)
		go l.forwardConn(ctx, client)
	}
}

// forwardConn connects to the destination and forwards both directions until
// they end. While the forward direction drops everything, the client has a
// connection on which no data arrives.
func (l *Link) forwardConn(ctx context.Context, client net.Conn) {
	if !l.waitWhileHeld(ctx, l.forward) {
		client.Close()
		return
	}
	dest, err := net.DialTimeout("tcp", l.to, dialTimeout)
	if err != nil {
		l.log.WithError(err).Debug("connection to the destination failed")
		client.Close()
		return
	}
	c := &linkConn{client: client, upstream: dest}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); l.copy(ctx, dest, client, l.forward, &c.forwardFrozen, &l.forwardBytes) }()
	go func() { defer wg.Done(); l.copy(ctx, client, dest, l.backward, &c.backwardFrozen, &l.backwardBytes) }()
	wg.Wait()
	client.Close()
	dest.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *Link) forward() DirectionFaults  { return l.faults.get().Forward }
func (l *Link) backward() DirectionFaults { return l.faults.get().Backward }

// waitWhileHeld waits while the direction drops everything. It returns false if
// ctx has ended.
func (l *Link) waitWhileHeld(ctx context.Context, direction func() DirectionFaults) bool {
	for direction().Drop >= 1 {
		if !sleep(ctx, holdPollInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// chunk is data of a stream, or the end of the stream.
type chunk struct {
	data      []byte
	deliverAt time.Time
	err       error // not nil at the end of the stream
}

// copy forwards one direction of a connection. The faults apply to the end of
// the stream as they do to its data.
func (l *Link) copy(ctx context.Context, to, from net.Conn, direction func() DirectionFaults, frozen *atomic.Bool, byteCount *atomic.Int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := make(chan chunk, maxBufferedChunks)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, chunkBytes)
			n, err := from.Read(data)
			c := chunk{data: data[:n], deliverAt: time.Now().Add(time.Duration(direction().Delay)), err: err}
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
		if !sleep(ctx, time.Until(c.deliverAt)) || !l.waitWhileHeld(ctx, direction) {
			return
		}
		if frozen.Load() {
			// Neither data nor the end of the stream is forwarded. The other
			// direction can still end the connection.
			continue
		}
		if len(c.data) > 0 {
			// Counted before the write, so that whoever has received the data
			// finds it in the counter.
			byteCount.Add(int64(len(c.data)))
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

// closeWrite closes the sending direction of a TCP connection, and any other
// connection as a whole.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
		return
	}
	c.Close()
}

// serveUDP forwards packets. Each client has its own upstream socket, so that a
// reply can be sent to the client that it belongs to.
func (l *Link) serveUDP(ctx context.Context, conn net.PacketConn) error {
	var mu sync.Mutex
	upstreams := map[string]net.Conn{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, upstream := range upstreams {
			upstream.Close()
		}
	}()
	packet := make([]byte, maxDatagramBytes)
	for {
		n, clientAddr, err := conn.ReadFrom(packet)
		if err != nil {
			return fmt.Errorf("receive packet: %w", err)
		}
		mu.Lock()
		upstream, ok := upstreams[clientAddr.String()]
		if !ok {
			if upstream, err = net.Dial("udp", l.to); err != nil {
				mu.Unlock()
				continue
			}
			upstreams[clientAddr.String()] = upstream
			go func() {
				l.forwardReplies(conn, upstream, clientAddr)
				mu.Lock()
				delete(upstreams, clientAddr.String())
				mu.Unlock()
				upstream.Close()
			}()
		}
		mu.Unlock()
		l.forwardPacket(ctx, l.forward(), append([]byte(nil), packet[:n]...), &l.forwardPackets, func(p []byte) { upstream.Write(p) })
	}
}

// forwardReplies sends the packets that arrive on upstream to the client, until
// none has arrived for udpIdleTimeout or upstream is closed.
func (l *Link) forwardReplies(conn net.PacketConn, upstream net.Conn, clientAddr net.Addr) {
	packet := make([]byte, maxDatagramBytes)
	for {
		upstream.SetReadDeadline(time.Now().Add(udpIdleTimeout))
		n, err := upstream.Read(packet)
		var netErr net.Error
		switch {
		case err == nil:
		case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, net.ErrClosed):
			return
		default:
			// The destination's port is closed (ICMP port unreachable); the
			// destination may start listening again.
			continue
		}
		l.forwardPacket(context.Background(), l.backward(), append([]byte(nil), packet[:n]...), &l.backwardPackets,
			func(p []byte) { conn.WriteTo(p, clientAddr) })
	}
}

// forwardPacket drops the packet p, or counts it and sends it after the
// direction's delay.
func (l *Link) forwardPacket(ctx context.Context, d DirectionFaults, p []byte, count *atomic.Int64, send func([]byte)) {
	if l.sampler.selects(d.Drop) {
		l.packetsDropped.Add(1)
		return
	}
	count.Add(1)
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
