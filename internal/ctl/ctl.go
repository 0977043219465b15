// Package ctl is the operators' command line. Commands write their result to
// standard output, as tables for people or as JSON for programs, and messages
// and progress to standard error.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"

	"siskinvale.dev/siskinvale/internal/control/v1/controlv1connect"
	"siskinvale.dev/siskinvale/internal/platform"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitRefused means findings, a refusal, a lost race or lagging nodes.
	ExitRefused = 1
	// ExitUsage means wrong arguments or unreadable files.
	ExitUsage = 2
	// ExitUnreachable means that a node or the platform could not be reached.
	ExitUnreachable = 3
)

// Env is what the commands need from their surroundings.
type Env struct {
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	// OpenStore connects to the platform's object API.
	OpenStore func(address, token string) (Store, error)
	// HTTP is the client for calls to nodes.
	HTTP *http.Client
	Now  func() time.Time
	// Sleep returns early with an error when the context ends.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func refused(format string, args ...any) error {
	return &exitError{ExitRefused, fmt.Errorf(format, args...)}
}

func usage(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

func unreachable(format string, args ...any) error {
	return &exitError{ExitUnreachable, fmt.Errorf(format, args...)}
}

// app is one run of the command line.
type app struct {
	Env
	options globalOptions
	// node replaces the client for calls to a node in tests.
	node controlv1connect.OperatorServiceClient
}

// Main runs the command line and returns its exit code.
func Main(env Env, args []string) int {
	return run(&app{Env: env}, args)
}

func run(a *app, args []string) int {
	parser := flags.NewNamedParser("siskinvalectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Checks, signs and rolls out bundles, and controls nodes. " +
		"Exit codes: 0 success, 1 findings or refused, 2 wrong usage, 3 not reachable."
	a.options.Version = func() error {
		return &flags.Error{Type: flags.ErrHelp, Message: "siskinvalectl " + version()}
	}
	if err := a.register(parser); err != nil {
		fmt.Fprintln(a.Stderr, "siskinvalectl:", err)
		return ExitUsage
	}
	_, err := parser.ParseArgs(args)
	return a.exit(err)
}

// exit prints an error and returns the exit code for it.
func (a *app) exit(err error) int {
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Fprintln(a.Stdout, flagError.Message)
			return ExitOK
		}
		fmt.Fprintln(a.Stderr, "siskinvalectl:", flagError.Message)
		return ExitUsage
	}
	fmt.Fprintln(a.Stderr, "siskinvalectl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return ExitUnreachable
	}
	for _, away := range []error{platform.ErrUnavailable, platform.ErrUncertain, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, away) {
			return ExitUnreachable
		}
	}
	return ExitRefused
}

// version returns the module version and revision that the program was built
// from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text
}
