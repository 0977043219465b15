package link

import (
	"net"
	"net/http"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Config sets the timers of connections between nodes.
type Config struct {
	// DialTimeout bounds the set-up of a connection, which takes about 1 ms.
	DialTimeout time.Duration
	// PingInterval is how long a connection may be silent before it is pinged.
	PingInterval time.Duration
	// PingTimeout is how long a ping may stay unanswered before the connection
	// is closed and its calls fail.
	PingTimeout time.Duration
	// IdleTimeout closes connections without calls, so that an ingress that
	// calls many services does not keep and ping a connection to each node.
	IdleTimeout time.Duration
}

// bodyWait is how long the body of a call waits for the sidecar to admit it. The
// call's own timeout ends most waits earlier.
const bodyWait = 5 * time.Second

// DefaultConfig finds a silent connection within one second.
func DefaultConfig() Config {
	return Config{
		DialTimeout:  300 * time.Millisecond,
		PingInterval: 500 * time.Millisecond,
		PingTimeout:  500 * time.Millisecond,
		IdleTimeout:  10 * time.Second,
	}
}

// Pool holds the HTTP/2 connections to other nodes. Short and long work never
// share a connection, so that a long body cannot delay a short answer through
// flow control or loss. It is safe for concurrent use.
type Pool struct {
	cfg   Config
	mu    sync.Mutex
	links map[linkKey]*http.Client
}

type linkKey struct {
	node        fleet.NodeID
	addr        string
	incarnation uint64
	length      fleet.Length
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, links: make(map[linkKey]*http.Client)}
}

// Client returns the client for calls of the given length to node.
func (p *Pool) Client(node fleet.Node, length fleet.Length) *http.Client {
	key := linkKey{node: node.ID, addr: node.PeerAddr, incarnation: node.Incarnation, length: length}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.links[key]; ok {
		return c
	}
	c := &http.Client{
		Transport:     p.cfg.transport(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	p.links[key] = c
	return c
}

// Forget closes the idle connections to all incarnations of node except keep.
func (p *Pool) Forget(node fleet.NodeID, keep uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, c := range p.links {
		if key.node == node && key.incarnation != keep {
			c.CloseIdleConnections()
			delete(p.links, key)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.links {
		c.CloseIdleConnections()
	}
	clear(p.links)
}

func (cfg Config) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: dialer.DialContext,
		Protocols:   protocols,
		// A sidecar reads the body when it admits the call, or refuses it.
		ExpectContinueTimeout: bodyWait,
		DisableCompression:    true,
		IdleConnTimeout:       cfg.IdleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: cfg.PingInterval,
			PingTimeout:     cfg.PingTimeout,
		},
	}
}
