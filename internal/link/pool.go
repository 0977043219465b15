package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Config holds the time limits of connections between nodes.
type Config struct {
	// DialTimeout bounds the set-up of a connection, which takes about 1 ms.
	DialTimeout time.Duration
	// PingInterval is the time without received data after which a connection
	// is pinged.
	PingInterval time.Duration
	// PingTimeout is the time without an answer to a ping after which the
	// connection is closed and its calls fail.
	PingTimeout time.Duration
	// IdleTimeout is the time after which a connection without calls is closed,
	// so that an ingress that calls many services does not keep and ping a
	// connection to each node.
	IdleTimeout time.Duration
	// DataCentre is the data centre of this node. Traffic to nodes of other data
	// centres is counted apart, because it is paid for.
	DataCentre string
}

// expectContinueTimeout is the longest time that the body of a call is held
// back until the sidecar admits the call. The call's own timeout ends most
// waits earlier.
const expectContinueTimeout = 5 * time.Second

// answerWindow is how many bytes of one answer the receiving node buffers while
// its caller does not read. A link of 1 Gbit/s between data centres carries as
// much in a round trip of 2 ms. The window of the connection stays large, so
// that answers that nobody reads do not delay the others.
const answerWindow = 256 << 10

// maxReplyHeadBytes bounds the head of a reply: that of a target's answer and
// the fields of the link.
const maxReplyHeadBytes = 128 << 10

// DefaultConfig returns time limits with which a connection whose other end no
// longer answers is closed within one second.
func DefaultConfig() Config {
	return Config{
		DialTimeout:  300 * time.Millisecond,
		PingInterval: 500 * time.Millisecond,
		PingTimeout:  500 * time.Millisecond,
		IdleTimeout:  10 * time.Second,
	}
}

// Pool holds the HTTP/2 connections to other nodes. Short and long calls never
// share a connection, so that a long body cannot delay a short answer through
// flow control or packet loss. It is safe for concurrent use.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	clients map[clientKey]*http.Client
	// Own and Other count the traffic with nodes of the own data centre and of
	// the others.
	Own, Other Traffic
}

type clientKey struct {
	node        fleet.NodeID
	addr        string
	incarnation uint64
	length      fleet.Length
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, clients: make(map[clientKey]*http.Client)}
}

// Client returns the client for calls of the given length to node.
func (p *Pool) Client(node fleet.Node, length fleet.Length) *http.Client {
	key := clientKey{node: node.ID, addr: node.PeerAddr, incarnation: node.Incarnation, length: length}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[key]; ok {
		return c
	}
	c := &http.Client{
		Transport:     p.cfg.transport(p.traffic(node)),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	p.clients[key] = c
	return c
}

func (p *Pool) traffic(node fleet.Node) *Traffic {
	if node.DataCentre == p.cfg.DataCentre {
		return &p.Own
	}
	return &p.Other
}

// CloseStale removes the clients for all incarnations of node except keep and
// closes their idle connections.
func (p *Pool) CloseStale(node fleet.NodeID, keep uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, c := range p.clients {
		if key.node == node && key.incarnation != keep {
			c.CloseIdleConnections()
			delete(p.clients, key)
		}
	}
}

// Close removes all clients and closes their idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
	clear(p.clients)
}

func (cfg Config) transport(traffic *Traffic) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: traffic}, nil
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: dial,
		Protocols:   protocols,
		// A sidecar either admits the call and reads its body, or refuses the
		// call.
		ExpectContinueTimeout:  expectContinueTimeout,
		DisableCompression:     true,
		IdleConnTimeout:        cfg.IdleTimeout,
		MaxResponseHeaderBytes: maxReplyHeadBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           cfg.PingInterval,
			PingTimeout:               cfg.PingTimeout,
			MaxReceiveBufferPerStream: answerWindow,
		},
	}
}
