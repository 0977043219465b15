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
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"siskinvale.dev/siskinvale/platform/storetest"
)

// ports are the ports of a node, the same on all machines.
type ports struct{ callers, peers, targets, operators, readiness, app int }

// fleet is a small deployment on loopback addresses: the store, and machines
// with one node process and one server each.
type fleet struct {
	rec     *recorder
	dir     string
	binary  string
	network string
	ports   ports
	store   *storetest.Store
	// away makes the store reset all calls.
	away     atomic.Bool
	machines []*machine
	closers  []func()
}

// machine is one VM with its node process and its server.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	service string
	server  *server
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	// storeAddr is the address at which this machine reaches the store.
	storeAddr string
	// turned makes the store turn this machine away. calledStore is the time
	// of its last call, in Unix nanoseconds.
	turned      atomic.Bool
	calledStore atomic.Int64
}

// serveStore serves the store to this machine, at an address of its own, so
// that the store can tell machines apart.
func (m *machine) serveStore() error {
	l, err := net.Listen("tcp", m.fleet.network+".250:0")
	if err != nil {
		return err
	}
	m.storeAddr = l.Addr().String()
	s := &http.Server{Handler: m}
	go s.Serve(l)
	m.fleet.closers = append(m.fleet.closers, func() { s.Close() })
	return nil
}

// ServeHTTP answers this machine's calls to the store.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.calledStore.Store(time.Now().UnixNano())
	switch {
	case m.fleet.away.Load():
		panic(http.ErrAbortHandler)
	case m.turned.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		m.fleet.store.ServeHTTP(w, r)
	}
}

func (m *machine) setTurnedAway(turned bool) { m.turned.Store(turned) }

func (m *machine) lastStoreCall() time.Time { return time.Unix(0, m.calledStore.Load()) }

// newFleet starts the store and reserves addresses. The platform's bounds are
// those of the site grilles-qpr.
func newFleet(rec *recorder, binary string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "siskinvale-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, binary: binary, store: storetest.New()}
	f.closers = append(f.closers, func() { os.RemoveAll(dir) })
	f.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	return f, nil
}

// storeDown takes the platform's store away or brings it back.
func (f *fleet) storeDown(down bool) {
	f.away.Store(down)
	f.rec.log("the store is away: %t", down)
}

// choosePorts picks ports that are free on the first machines' addresses.
func (f *fleet) choosePorts() error {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		free := true
		for i := range 6 {
			for host := 1; host <= 20 && free; host++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.network, host, base+i))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
			return nil
		}
	}
	return errors.New("no free ports")
}

// addMachine adds a machine whose server belongs to a service. Nothing is
// started yet.
func (f *fleet) addMachine(service string) *machine {
	n := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%d", n), ip: fmt.Sprintf("%s.%d", f.network, n), service: service}
	m.server = newServer(m, fmt.Sprintf("i-%s-%d", service, n))
	f.machines = append(f.machines, m)
	return m
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings renders what deploy/settings.yaml renders on the platform.
func (m *machine) settings() string {
	p := m.fleet.ports
	var seeds []string
	for _, other := range m.fleet.machines {
		if other != m && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", other.addr(p.targets)))
		}
	}
	return fmt.Sprintf(`node:
  id: %q
  region: "finistere"
  dataCentre: "quimper-a"
listen:
  callers: %q
  peers: %q
  targets: %q
  operators: %q
platform:
  address: "http://%s"
deployment:
  readiness: %q
  service: %q
  target: %q
  seeds: [%s]
  firstStart: %t
  announceInterval: "1500ms"
  floorShare: 0.7
repeats:
  ratio: 0.2
  allowance: 56
  window: "10s"
drain:
  longestWait: "6s"
  notice: 2500ms
`, m.name, m.addr(p.callers), m.addr(p.peers), m.addr(p.targets), m.addr(p.operators),
		m.storeAddr, m.addr(p.readiness), m.service, m.addr(p.app), strings.Join(seeds, ", "), m.starts == 0)
}

// start starts the node process with the command of deploy/system.toml.
func (m *machine) start() error {
	path := filepath.Join(m.fleet.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.starts++
	m.process = exec.Command(m.fleet.binary, "--config", path)
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.fleet.rec.log("node %s started (start %d)", m.name, m.starts)
	exited := make(chan struct{})
	m.exited = exited
	go func(cmd *exec.Cmd) {
		cmd.Wait()
		close(exited)
	}(m.process)
	return nil
}

// kill ends the node process with SIGKILL and waits for its end.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	m.process.Process.Signal(syscall.SIGKILL)
	<-m.exited
	m.process = nil
	m.fleet.rec.log("node %s killed", m.name)
}

// ready reports whether the node answers the platform's readiness probe.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(m.fleet.ports.readiness) + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all servers and nodes and waits until the nodes are ready and
// traffic may start.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := errors.Join(m.serveStore(), m.server.listen()); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		go m.server.beatUntilStopped()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
		m.server.close()
	}
	for _, c := range f.closers {
		c()
	}
}
