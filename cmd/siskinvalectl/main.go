// Command siskinvalectl is the operators' command line.
package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"siskinvale.dev/siskinvale/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctl.Env{
		Context:   ctx,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		OpenStore: openStore,
		HTTP:      &http.Client{},
		Now:       time.Now,
		Sleep:     ctl.Sleep,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}

// openStore will connect through internal/platform, which is not in the
// repository yet.
func openStore(string, string) (ctl.Store, error) {
	return nil, errors.New("this build has no platform client")
}
