package standin

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"
)

// shutdownTimeout bounds the wait for calls in flight when a server stops.
const shutdownTimeout = time.Second

// newServer returns a server for HTTP/1 and unencrypted HTTP/2.
func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:     h,
		Protocols:   protocols,
		ConnContext: contextWithConn,
		ErrorLog:    stdlog.New(io.Discard, "", 0),
	}
}

// Serve serves h on l until ctx ends or the listener fails.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := newServer(h)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return stopServer(server)
	}
}

// stopServer stops the server, and closes the connections that are still in use
// after shutdownTimeout.
func stopServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close() // ends waiting watches and stalled requests
	}
	return nil
}
