package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/conn"
	"siskinvale.dev/siskinvale/internal/control/v1/controlv1connect"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/link"
)

const (
	// shutdownWait bounds the close of listeners after the drain, when only
	// idle connections should be left.
	shutdownWait = 2 * time.Second
	// maxControlMessage is the size limit of one message between nodes in
	// bytes. It is above maxPiecesBytes, the 1 MiB of bundle pieces that one
	// response may hold.
	maxControlMessage = 4 << 20
)

// callersListener is the name of the listener for callers.
const callersListener = "callers"

// server is one HTTP listener of the node.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

type servers []*server

// listen opens all HTTP listeners. If one of them fails, it shuts down the
// servers created so far.
func (n *Node) listen() (servers, error) {
	s := n.settings.Load()
	var all servers
	specs := []struct {
		name, addr string
		handler    http.Handler
	}{
		{callersListener, s.Listen.Callers, n.callerHandler()},
		{"peers", s.Listen.Peers, n.peerHandler()},
		{"targets", s.Listen.Targets, n.targetHandler()},
		{"operators", s.Listen.Operators, n.operatorHandler()},
	}
	if n.adapter != nil {
		specs = append(specs, struct {
			name, addr string
			handler    http.Handler
		}{"readiness", s.Deployment.Readiness, n.adapter.ReadinessHandler(n.Ready)})
	}
	for _, spec := range specs {
		listener, err := net.Listen("tcp", spec.addr)
		if err != nil {
			all.shutdown(shutdownWait)
			return nil, fmt.Errorf("listen for %s: %w", spec.name, err)
		}
		srv := &server{name: spec.name, listener: listener, http: n.httpServer(spec.handler)}
		if spec.name == callersListener {
			srv.listener, srv.http.ConnContext = conn.CloseDetectingListener{Listener: listener}, conn.ConnContext
		}
		all = append(all, srv)
	}
	return all, nil
}

func (n *Node) httpServer(handler http.Handler) *http.Server {
	limits := n.settings.Load().Limits
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
}

func (s *server) serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.name, err)
	}
	return nil
}

func (all servers) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, s := range all {
		if err := s.http.Shutdown(ctx); err != nil {
			s.http.Close()
		}
	}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (n *Node) callerHandler() http.Handler {
	if n.adapter != nil {
		// The ingress must see paths exactly as sent; a router would normalise
		// them.
		return n.ingress
	}
	e := newEcho()
	e.Any("/*", echo.WrapHandler(n.ingress))
	return e
}

func (n *Node) targetHandler() http.Handler {
	e := newEcho()
	if n.adapter != nil {
		n.adapter.TargetRoutes(e, localTargets{n.control}, n.log)
		return e
	}
	announce.Routes(e, localTargets{n.control})
	return e
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.ForwardPath, link.NewHandler(n.peerKeys, n.sidecar, n.authRefused))
	mux.Handle(link.WithdrawPath, link.NewWithdrawHandler(n.peerKeys, n.sidecar.Withdraw, n.authRefused))
	path, handler := controlv1connect.NewPeerServiceHandler(&peerService{node: n}, connect.WithReadMaxBytes(maxControlMessage))
	mux.Handle(path, n.authenticated(n.peerKeys, handler))
	return mux
}

func (n *Node) operatorHandler() http.Handler {
	e := newEcho()
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !n.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		n.metrics.WritePrometheus(c.Response())
		return nil
	})
	path, handler := controlv1connect.NewOperatorServiceHandler(&operatorService{node: n}, connect.WithReadMaxBytes(maxControlMessage))
	e.Any(path+"*", echo.WrapHandler(n.authenticated(n.operatorKeys, handler)))
	return e
}

func (n *Node) authenticated(keys *auth.Keys, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.Verify(r.Header, time.Now()); err != nil {
			n.authRefused(r.RemoteAddr, err)
			http.Error(w, "not authenticated", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) authRefused(remote string, err error) {
	n.log.Log(event.AuthRefused, event.Fields{"remote": remote, "error": err.Error()})
}
