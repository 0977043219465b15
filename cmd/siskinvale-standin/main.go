// Command siskinvale-standin runs one stand-in: the platform's object store, a
// target, or a network path with faults. See docs/standin.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/standin"
)

// Exit codes. A normal stop, --help and --version exit with 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Version  bool   `long:"version" description:"print the version and end"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least severe log lines to write"`
	Seed     uint64 `long:"seed" default:"1" description:"seed that decides which calls a fault with a fraction hits"`

	Faults string `long:"faults" value-name:"JSON" default:"{}" description:"fault switches to start with, as PUT /control/faults takes them"`

	Platform platformCommand `command:"platform" description:"run the platform's object API"`
	Target   targetCommand   `command:"target" description:"run a target"`
	Link     linkCommand     `command:"link" description:"forward TCP and UDP to another address"`
}

type platformCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:7700" description:"address to listen on"`
	Token  string  `long:"token" env:"SISKINVALE_STANDIN_TOKEN" description:"bearer token that calls must carry"`
	Reads  float64 `long:"reads-per-second" default:"2000" description:"rate limit of reads and watches, 0 for none"`
	Writes float64 `long:"writes-per-second" default:"300" description:"rate limit of writes, 0 for none"`
}

type targetCommand struct {
	Listen            string                        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	ID                string                        `long:"id" required:"true" description:"identifier of the target"`
	Service           string                        `long:"service" required:"true" description:"service of the target"`
	Slots             int                           `long:"slots" default:"4" description:"work that runs at once"`
	RunTime           time.Duration                 `long:"work" default:"4ms" description:"run time of work"`
	RunTimeByPrefix   []prefixFlag[durationChecker] `long:"work-path" value-name:"PREFIX=DURATION" description:"run time of work whose path has a prefix (may be repeated)"`
	BodyBytes         int                           `long:"body" description:"bytes of an answer's body, 0 for one line"`
	BodyBytesByPrefix []prefixFlag[intChecker]      `long:"body-path" value-name:"PREFIX=BYTES" description:"bytes of an answer's body for paths with a prefix (may be repeated)"`
	Node              string                        `long:"node" value-name:"URL" description:"targets address of the target's node, for example http://127.0.0.1:7300; without it the target does not announce itself"`
	Announce          string                        `long:"announce-address" value-name:"IP:PORT" description:"address to announce instead of the one listened on"`
	TTL               time.Duration                 `long:"ttl" default:"3s" description:"time to live of the announcement"`
	LongestDrain      time.Duration                 `long:"longest-drain" default:"120s" description:"longest wait for work in flight when the target stops"`
}

type linkCommand struct {
	Listen  string `long:"listen" required:"true" description:"TCP and UDP address to listen on"`
	To      string `long:"to" required:"true" description:"address to forward to"`
	Control string `long:"control" required:"true" description:"address of the control calls"`
}

// prefixFlag is a flag of the form PREFIX=VALUE. P checks the value.
type prefixFlag[P valueChecker] struct {
	prefix, raw string
}

// valueChecker returns an error for a value that cannot be parsed.
type valueChecker interface{ check(string) error }

type durationChecker struct{}

func (durationChecker) check(s string) error { _, err := time.ParseDuration(s); return err }

type intChecker struct{}

func (intChecker) check(s string) error { _, err := strconv.Atoi(s); return err }

// UnmarshalFlag parses PREFIX=VALUE and checks the value. The last equals sign
// separates prefix and value, so that a prefix may contain equals signs.
func (f *prefixFlag[P]) UnmarshalFlag(value string) error {
	separator := strings.LastIndex(value, "=")
	if separator < 0 || !strings.HasPrefix(value, "/") {
		return fmt.Errorf("%q: want /PREFIX=VALUE", value)
	}
	f.prefix, f.raw = value[:separator], value[separator+1:]
	var checker P
	return checker.check(f.raw)
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	_, err := parser.Parse()
	var flagError *flags.Error
	switch {
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case opts.Version:
		fmt.Println("siskinvale-standin", version())
		return 0
	case parser.Active == nil:
		fmt.Fprintln(os.Stderr, "want one of the subcommands platform, target or link; see --help")
		return exitUsage
	}
	log := logrus.New()
	level, _ := logrus.ParseLevel(opts.LogLevel) // cannot fail: go-flags rejects other levels
	log.SetLevel(level)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	switch parser.Active.Name {
	case "platform":
		err = opts.Platform.run(ctx, opts, log)
	case "target":
		err = opts.Target.run(ctx, opts, log)
	case "link":
		err = opts.Link.run(ctx, opts, log)
	}
	if err != nil {
		log.WithError(err).Error("stand-in failed")
		return exitFailed
	}
	log.Info("stand-in stopped")
	return 0
}

func (c *platformCommand) run(ctx context.Context, opts options, log *logrus.Logger) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	platform := standin.NewPlatform(standin.PlatformConfig{
		Token: c.Token, ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes, Seed: opts.Seed, Log: log,
	})
	if err := platform.SetFaultsJSON(opts.Faults); err != nil {
		return err
	}
	log.WithField("address", listener.Addr()).Info("platform stand-in is listening")
	return standin.Serve(ctx, listener, platform)
}

func (c *targetCommand) run(ctx context.Context, opts options, log *logrus.Logger) error {
	if c.TTL < time.Second/10 {
		return fmt.Errorf("ttl %v is too short; want at least 100ms", c.TTL)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	entry := log.WithField("target", c.ID)
	entry.WithField("address", listener.Addr()).Info("target stand-in is listening")
	cfg := standin.TargetConfig{
		ID: c.ID, Service: c.Service, Slots: c.Slots, RunTime: c.RunTime, BodyBytes: c.BodyBytes, Seed: opts.Seed, Log: entry,
	}
	for _, f := range c.RunTimeByPrefix {
		runTime, _ := time.ParseDuration(f.raw) // checked by UnmarshalFlag
		cfg.RunTimeByPrefix = append(cfg.RunTimeByPrefix, standin.PrefixValue[time.Duration]{Prefix: f.prefix, Value: runTime})
	}
	for _, f := range c.BodyBytesByPrefix {
		size, _ := strconv.Atoi(f.raw) // checked by UnmarshalFlag
		cfg.BodyBytesByPrefix = append(cfg.BodyBytesByPrefix, standin.PrefixValue[int]{Prefix: f.prefix, Value: size})
	}
	var announcer *standin.Announcer
	if c.Node != "" {
		address := c.Announce
		if address == "" {
			address = listener.Addr().String()
		}
		announcer = &standin.Announcer{
			Node: strings.TrimSuffix(c.Node, "/"), ID: c.ID, Log: entry,
			Announcement: standin.Announcement{
				Service: c.Service, Address: address, Slots: c.Slots, TTL: standin.Duration(c.TTL),
			},
		}
	}
	target := standin.NewTarget(cfg)
	if err := target.SetFaultsJSON(opts.Faults); err != nil {
		return err
	}
	return target.Serve(ctx, listener, announcer, c.LongestDrain)
}

func (c *linkCommand) run(ctx context.Context, opts options, log *logrus.Logger) error {
	tcp, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	udp, err := net.ListenPacket("udp", tcp.Addr().String())
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", c.Control)
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"address": tcp.Addr(), "to": c.To, "control": control.Addr()}).Info("link stand-in is listening")
	link := standin.NewLink(c.To, opts.Seed, log)
	if err := link.SetFaultsJSON(opts.Faults); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- link.Serve(ctx, tcp, udp) }()
	go func() { failed <- standin.Serve(ctx, control, link.Control()) }()
	err = <-failed
	cancel()
	return errors.Join(err, <-failed)
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
