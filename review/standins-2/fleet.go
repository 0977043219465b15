package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskinvale.dev/siskinvale/platform/storetest"
)

// bounds are those of the small sites.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
	"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "outer_ms": 5000,
	"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 56, "recovery_s": 15, "probes_per_s": 3,
	"min_share": 0.7,
}

const (
	contact    = 3 * time.Second
	grace      = 6 * time.Second
	beatPeriod = 1500 * time.Millisecond
)

// fleet is a small deployment on loopback addresses: a store, machines with one
// node and one server each, and clients.
type fleet struct {
	record   *record
	dir      string
	template string
	command  []string // the words of `run` in the deploy file
	store    *storetest.Store
	machines []*machine
	closers  []func()
}

// machine is one machine with its node process and its server.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	ports   map[string]int
	server  *server
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
	// storeAddr is the address of the store as this machine knows it, and
	// storeBusy makes the store answer 503 to this machine alone.
	storeAddr string
	storeBusy atomic.Bool
	// seeds are the addresses that the settings name at the next start.
	seeds []any
}

// serveStore opens the store's listener for this machine.
func (m *machine) serveStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.storeBusy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.fleet.store.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	m.fleet.closers = append(m.fleet.closers, func() { server.Close() })
	m.storeAddr = listener.Addr().String()
	return nil
}

// newFleet starts a store and one machine with a server for each service named.
func newFleet(rec *record, config string, services ...string) (*fleet, error) {
	f := &fleet{record: rec}
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	f.template = string(template)
	if f.command, err = deployCommand("deploy/system.toml"); err != nil {
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	f.store = storetest.New()
	f.store.Write("config", "main", []byte(config))
	second := 32 + os.Getpid()%200
	for i, service := range services {
		m := &machine{
			fleet: f, name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", second, os.Getpid()/200%200+1, i+1),
			zone: fmt.Sprintf("zone-%c", 'a'+i%2), ports: make(map[string]int),
		}
		for _, use := range []string{"inbound", "outbound", "ready", "control_plane", "peers", "operators"} {
			if m.ports[use], err = freePort(m.ip); err != nil {
				return nil, err
			}
		}
		if i > 0 {
			m.ports = f.machines[0].ports // ports are the same on all machines of a day
		}
		if err := m.serveStore(); err != nil {
			return nil, err
		}
		if m.server, err = newServer(m, fmt.Sprintf("i-%d", i+1), service); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		m.server.beginHeartbeats()
	}
	return f, f.awaitReady(10 * time.Second)
}

// close ends everything that the fleet has started.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
		m.server.close()
	}
	for _, c := range f.closers {
		c()
	}
	os.RemoveAll(f.dir)
}

func (f *fleet) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", m.name, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	// All nodes know all targets.
	for _, m := range f.machines {
		for !strings.Contains(m.metrics(), fmt.Sprintf("siskinvale_known_targets %d\n", len(f.machines))) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not know all targets after %v", m.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (m *machine) addr(use string) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[use]) }

// fields are the fields of the platform's settings file.
func (m *machine) fields(firstStart bool) map[string]any {
	return map[string]any{
		"node_name": m.name, "role": "siskinvale", "machine_class": "sidecar", "ip": m.ip, "zone": m.zone, "region": "region",
		"listen": map[string]any{
			"inbound": m.addr("inbound"), "outbound": m.addr("outbound"), "ready": m.addr("ready"), "control_plane": m.addr("control_plane"),
		},
		"internal_port_range": []any{m.ports["peers"], m.ports["operators"]}, "seeds": append([]any{}, m.seeds...), "first_start": firstStart,
		"limits":       map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"heartbeat_ms": beatPeriod.Milliseconds(), "bounds": bounds, "app_addr": m.server.addr, "service": m.server.service,
		"platform": map[string]any{"address": m.storeAddr, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
	}
}

// start starts the node process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	settings := render(m.fleet.template, m.fields(m.starts == 0))
	path := filepath.Join(m.fleet.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append([]string{}, m.fleet.command[1:]...)
	for i, a := range args {
		if a == "/etc/siskinvale/local.yaml" {
			args[i] = path
		}
	}
	cmd := exec.Command(m.fleet.command[0], args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.dir, "SISKINVALE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	m.process, m.ended = cmd, ended
	m.starts++
	m.fleet.record.event("start", "machine", m.name)
	return nil
}

// signal sends a signal to the node process.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.fleet.record.event("signal", "machine", m.name, "signal", sig.String())
	_ = m.process.Process.Signal(sig)
}

// kill ends the node process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (m *machine) ready() bool {
	resp, err := plainClient.Get("http://" + m.addr("ready") + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) metrics() string {
	resp, err := plainClient.Get("http://" + m.addr("operators") + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var b strings.Builder
	_, _ = copyTo(&b, resp.Body)
	return b.String()
}

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// deployCommand returns the words of `run` of the only role.
func deployCommand(path string) ([]string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run line")
}

// render fills in a template as the platform does: values, values as JSON and
// sections that are rendered if there is a value or if there is none.
func render(template string, fields map[string]any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		template = after
		if tag[0] == '#' || tag[0] == '^' {
			inner, following, _ := strings.Cut(after, "{{/"+tag[1:]+"}}")
			template = following
			value, ok := lookup(fields, tag[1:])
			if present := ok && value != false; present == (tag[0] == '#') {
				out.WriteString(render(inner, fields))
			}
			continue
		}
		name, asJSON := strings.CutSuffix(tag, "|json")
		value, ok := lookup(fields, name)
		switch {
		case asJSON:
			raw, _ := json.Marshal(value)
			out.Write(raw)
		case ok:
			fmt.Fprint(&out, value)
		}
	}
}

func lookup(fields any, name string) (any, bool) {
	for part := range strings.SplitSeq(name, ".") {
		switch at := fields.(type) {
		case map[string]any:
			value, ok := at[part]
			if !ok {
				return nil, false
			}
			fields = value
		case []any:
			i := int(part[0] - '0')
			if i >= len(at) {
				return nil, false
			}
			fields = at[i]
		default:
			return nil, false
		}
	}
	return fields, true
}
