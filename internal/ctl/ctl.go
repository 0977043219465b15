// Package ctl implements siskinvalectl, the operators' command line. Commands
// write their result to standard output, as tables for people or as JSON for
// programs, and messages and progress to standard error.
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

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/control/v1/controlv1connect"
	"siskinvale.dev/siskinvale/internal/platform"
)

// Exit codes of siskinvalectl.
const (
	ExitOK = 0
	// ExitRefused means that a bundle has findings, that a command was refused,
	// that another rollout won, or that nodes lag behind a version.
	ExitRefused = 1
	// ExitUsage means wrong arguments, or files that cannot be read or written.
	ExitUsage = 2
	// ExitUnreachable means that a node or the platform did not answer.
	ExitUnreachable = 3
)

// Env holds the outputs, clients and clock that the commands use.
type Env struct {
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	// OpenStore returns a client for the platform's object API.
	OpenStore func(address, token string) (Store, error)
	// HTTP is the client for calls to nodes.
	HTTP *http.Client
	// ParseConfiguration reads the configuration document of a platform that has
	// its own format. The error lists all faults. It is nil if there is no such
	// platform.
	ParseConfiguration func(content []byte) (*bundle.Bundle, error)
	Now                func() time.Time
	// Sleep waits for d. It returns early with the context's error when the
	// context ends.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Sleep waits for d. It returns early with the error of ctx when ctx ends.
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

// exitError is an error that determines the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// refusedErrorf returns an error that exits with ExitRefused.
func refusedErrorf(format string, args ...any) error {
	return &exitError{ExitRefused, fmt.Errorf(format, args...)}
}

// usageErrorf returns an error that exits with ExitUsage.
func usageErrorf(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// unreachableErrorf returns an error that exits with ExitUnreachable.
func unreachableErrorf(format string, args ...any) error {
	return &exitError{ExitUnreachable, fmt.Errorf(format, args...)}
}

// app is the state of one invocation. All commands embed it.
type app struct {
	Env
	options globalOptions
	// clientOverride, which tests set, replaces the client that is built from
	// the options.
	clientOverride controlv1connect.OperatorServiceClient
}

// Main runs the command that args name and returns the exit code.
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
	if err := a.registerCommands(parser); err != nil {
		fmt.Fprintln(a.Stderr, "siskinvalectl:", err)
		return ExitUsage
	}
	_, err := parser.ParseArgs(args)
	return a.reportError(err)
}

// reportError prints err, if any, and returns the exit code. Help and version
// texts are not failures and go to standard output.
func (a *app) reportError(err error) int {
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

// exitCode returns the exit code for an error. Errors without a code of their
// own count as refused unless they show that a node or the platform did not
// answer.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return ExitUnreachable
	}
	for _, sentinel := range []error{platform.ErrUnavailable, platform.ErrWriteUncertain, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, sentinel) {
			return ExitUnreachable
		}
	}
	return ExitRefused
}

// version returns the module version and the source revision of the program.
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
