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

// stopWait bounds how long a stand-in that ends waits for calls in flight.
const stopWait = time.Second

func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:     h,
		Protocols:   protocols,
		ConnContext: withConn,
		ErrorLog:    stdlog.New(io.Discard, "", 0),
	}
}

// Serve serves h on l until ctx ends.
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

func stopServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close() // watches and stalled work are still waiting
	}
	return nil
}
