// Command siskinvale-node runs the node process on a target VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/config"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/node"
	"siskinvale.dev/siskinvale/internal/version"
	"siskinvale.dev/siskinvale/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitSettings = 1 // the settings could not be read or have findings
	exitUsage    = 2
	exitFailed   = 3 // the node could not start or failed while running
)

const (
	// memoryLimit is the soft memory limit of the Go runtime in bytes. It keeps
	// a node well below its limit of 128 MB.
	memoryLimit = 96 << 20
)

// logFlushWait bounds the time for writing the last log lines at exit.
const logFlushWait = 200 * time.Millisecond

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file (YAML)"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Println(err)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opts.Version {
		fmt.Println("siskinvale-node", version.String())
		return exitOK
	}
	if opts.Config == "" {
		fmt.Fprintln(os.Stderr, "the flag --config is required")
		return exitUsage
	}
	settings, findings, err := config.Load(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(findings) > 0 {
		return exitSettings
	}
	if opts.Check {
		return exitOK
	}
	return serve(opts.Config, settings)
}

func serve(path string, settings *config.Settings) int {
	debug.SetMemoryLimit(memoryLimit)
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	// Standard output may be a pipe that nobody reads; logging must not block
	// the node then.
	output := event.NewWriter(os.Stdout)
	defer output.Close(logFlushWait)
	logger.SetOutput(output)
	var adapter node.Adapter
	if settings.Deployment != nil {
		adapter = platform.New(settings)
	}
	n, err := node.New(settings, logger, adapter)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for range hangup {
			n.Reload(path)
		}
	}()
	go config.Watch(ctx, path, config.WatchInterval, func() {
		select {
		case hangup <- syscall.SIGHUP:
		default: // a reload is already pending
		}
	})
	if err := n.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
