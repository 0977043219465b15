// Command siskinvalectl is the operators' command line.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"siskinvale.dev/siskinvale/internal/ctl"
	adapter "siskinvale.dev/siskinvale/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctl.Env{
		Context:            ctx,
		Stdout:             os.Stdout,
		Stderr:             os.Stderr,
		OpenStore:          ctl.OpenStore,
		HTTP:               &http.Client{},
		ParseConfiguration: adapter.ParseConfiguration,
		Now:                time.Now,
		Sleep:              ctl.Sleep,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}
