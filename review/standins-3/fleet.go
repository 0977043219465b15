package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/platform/storetest"
)

// Ports that are the same on all machines.
const (
	portPeers = 17380 + iota
	portOperators
	portReadiness
	portControl
	portOutbound
	portApp
	portStore
)

const (
	// heartbeatInterval and graceSeconds are those of the small sites.
	heartbeatInterval = 1500 * time.Millisecond
	graceSeconds      = 6
)

// fleet is a small deployment: a store, and machines with a node and a server
// each.
type fleet struct {
	rec      *record
	dir      string
	base     string // the first three numbers of the addresses
	store    *storetest.Store
	storeURL string
	machines []*machine
	away     gate

	mu        sync.Mutex
	stopped   bool
	processes []process // all that were started
}

// process is one process of a node.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// machine has one node, which is a process of its own, and one server.
type machine struct {
	fleet        *fleet
	name, zone   string
	ip           string
	server       *server
	firstStart   bool
	cmd          *exec.Cmd
	exited       chan struct{}
	settingsFile string
	starts       int
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// gate is a switch that a handler reads.
type gate struct {
	mu sync.Mutex
	on bool
}

func (g *gate) set(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on = on
}

func (g *gate) get() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.on
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, base: fmt.Sprintf("127.%d.%d", 64+rand.IntN(60), 1+rand.IntN(250)), store: storetest.New()}
	address := fmt.Sprintf("%s.250:%d", f.base, portStore)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.storeURL = "http://" + address
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.away.get() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			f.store.ServeHTTP(w, r)
		}))
	}()
	return f, nil
}

// addMachine adds a machine whose server belongs to service. The node is not
// started.
func (f *fleet) addMachine(zone, service string, s *server) (*machine, error) {
	n := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", f.base, n), server: s, firstStart: true}
	s.id, s.service, s.addr, s.machine, s.rec = fmt.Sprintf("i-%08x", rand.Uint32()), service, m.addr(portApp), m, f.rec
	s.born = time.Now().UnixMilli()
	if err := s.listen(); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// settings follow deploy/settings.yaml, with the figures of a small site.
func (m *machine) settings() string {
	return fmt.Sprintf(`node:
  id: %q
  region: "finistere"
  dataCentre: %q
listen:
  callers: %q
  peers: %q
  targets: %q
  operators: %q
platform:
  address: %q
deployment:
  readiness: %q
  service: %q
  target: %q
  seeds: [%q]
  firstStart: %v
  announceInterval: "1500ms"
  floorShare: 0.7
repeats:
  ratio: 0.2
  allowance: 56
  window: "10s"
limits:
  memoryMiB: 284
drain:
  longestWait: "%ds"
  notice: 2500ms
organisations:
  revokeWithin: "0ms"
  quotaWindow: "0s"
  quotaExcess: 0
  quotaSlack: 0
`, m.name, m.zone, m.addr(portOutbound), m.addr(portPeers), m.addr(portControl), m.addr(portOperators), m.fleet.storeURL,
		m.addr(portReadiness), m.server.service, m.server.addr, m.fleet.machines[0].addr(portControl), m.firstStart, graceSeconds)
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	m.settingsFile = filepath.Join(m.fleet.dir, m.name+".yaml")
	if err := os.WriteFile(m.settingsFile, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	m.starts++
	log, err := os.Create(filepath.Join(m.fleet.dir, fmt.Sprintf("%s-%d.log", m.name, m.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/siskinvale-node", "--config", m.settingsFile)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINVALE_SETTINGS=" + m.settingsFile}
	cmd.Stdout, cmd.Stderr = log, log
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.stopped {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	m.fleet.processes = append(m.fleet.processes, process{cmd, exited})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.fleet.rec.log("%s: node started", m.name)
	return nil
}

// ready asks the node as the platform does.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.addr(portReadiness) + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all nodes at the same moment.
func (f *fleet) killAll() {
	for _, m := range f.machines {
		_ = m.cmd.Process.Kill()
		m.firstStart = false
	}
	for _, m := range f.machines {
		<-m.exited
	}
	f.rec.log("all nodes are killed")
}

func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.rec.log("all nodes are ready")
	return nil
}

// stop ends all processes and removes the files, which are kept if KEEP is set.
// No process starts after it.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	processes := f.processes
	f.mu.Unlock()
	for _, m := range f.machines {
		m.server.stop()
	}
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
