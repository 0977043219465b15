package node_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/config"
	"siskinvale.dev/siskinvale/internal/node"
	"siskinvale.dev/siskinvale/internal/platform"
	"siskinvale.dev/siskinvale/internal/rollout"
	"siskinvale.dev/siskinvale/internal/standin"
)

const testBundle = `
name: test
version: %d
signers: {authors: [a1], approvers: [b1]}
dataCentres:
  - {name: dc1, region: r}
  - {name: dc2, region: r}
services:
  - name: booking
    slots: 4
    expectedTargets: 3
    floor: 1
    operations: {ranges: 64, retryWindow: 10m}
    classes:
      - {name: lookup, idempotent: true, idempotencyKey: none, priority: interactive, length: short, deadline: 2s, expected: 5ms, attempts: 3, maxBody: 1024}
      - {name: hold, idempotent: false, idempotencyKey: required, priority: interactive, length: short, deadline: 3s, expected: 5ms, attempts: 1, maxBody: 1024}
      - {name: history, idempotent: true, idempotencyKey: none, priority: background, length: long, deadline: 10s, expected: 400ms, attempts: 2, maxBody: 0}
    routes:
      - {method: GET, path: /kits/:id, class: lookup}
      - {method: POST, path: /holds, class: hold}
      - {method: GET, path: /history/*, class: history}
tenants:
  default: {requestsPerSecond: 1000, burst: 1000, weight: 1}
  named:
    - {name: small, requestsPerSecond: 1, burst: 2, weight: 1}
`

// testFleet is a fleet of nodes in this process, each with one target.
type testFleet struct {
	network  int
	platform *standin.Platform
	client   platform.Client
	url      string
	author   ed25519.PrivateKey
	approver ed25519.PrivateKey
	nodes    []*testNode
}

type testNode struct {
	id     string
	ip     string // without port
	stop   context.CancelFunc
	done   chan error
	target *standin.Target
	node   *node.Node
	logs   *logBuffer
}

// logBuffer collects the log lines of one node.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// startFleet starts the platform stand-in and n nodes; nodes with odd numbers
// are in dc1, the others in dc2.
func startFleet(n int) *testFleet {
	f := &testFleet{network: 100 + os.Getpid()%100}
	var err error
	_, f.author, err = ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	_, f.approver, err = ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	f.platform = standin.NewPlatform(standin.PlatformConfig{Token: "t", Log: discardLogger()})
	f.url = serve(f.platform)
	f.client = platform.NewHTTP(f.url, "t", platform.DefaultBudget())
	for i := range n {
		f.nodes = append(f.nodes, f.startNode(i+1))
	}
	return f
}

// serve serves h on a free loopback port until the test ends.
func serve(h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return "http://" + listener.Addr().String()
}

func (f *testFleet) settings(number int) string {
	key := func(k ed25519.PrivateKey) string {
		return base64.StdEncoding.EncodeToString(k.Public().(ed25519.PublicKey))
	}
	ip := f.nodeIP(number)
	return fmt.Sprintf(`
node: {id: n%d, region: r, dataCentre: dc%d}
listen: {callers: "%[3]s:7001", peers: "%[3]s:7002", targets: "%[3]s:7003", operators: "%[3]s:7004"}
peers: ["%[4]s:7002"]
platform: {address: %[5]q, token: t}
keys:
  fleet: [{id: f, secret: 0123456789abcdef0123456789abcdef}]
  operators: [{id: o, secret: 0123456789abcdef0123456789abcdef}]
trust:
  authors: [{id: a1, publicKey: %[6]q}]
  approvers: [{id: b1, publicKey: %[7]q}]
drain: {longestWait: 20s}
`, number, 2-number%2, ip, f.nodeIP(1), f.url, key(f.author), key(f.approver))
}

func (f *testFleet) nodeIP(number int) string { return fmt.Sprintf("127.%d.7.%d", f.network, number) }

func (f *testFleet) startNode(number int) *testNode {
	s, findings := config.Parse("settings", []byte(f.settings(number)))
	Expect(findings).To(BeEmpty())
	t := &testNode{id: fmt.Sprintf("n%d", number), ip: f.nodeIP(number), done: make(chan error, 1), logs: &logBuffer{}}
	logger := logrus.New()
	logger.SetOutput(t.logs)
	logger.SetFormatter(&logrus.JSONFormatter{})
	var err error
	t.node, err = node.New(s, logger, nil)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	go func() { t.done <- t.node.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(t.done, "25s").Should(Receive())
		if CurrentSpecReport().Failed() {
			fmt.Fprintf(GinkgoWriter, "log of %s:\n%s\n", t.id, t.logs)
		}
	})
	t.target = standin.NewTarget(standin.TargetConfig{
		ID: "t" + t.id, Service: "booking", Slots: 4, RunTime: 3 * time.Millisecond, Log: discardLogger(),
		RunTimeByPrefix: []standin.PrefixValue[time.Duration]{{Prefix: "/history/", Value: 400 * time.Millisecond}},
	})
	address := strings.TrimPrefix(serve(t.target), "http://")
	announcer := &standin.Announcer{
		Node: "http://" + t.ip + ":7003", ID: "t" + t.id, Log: discardLogger(),
		Announcement: standin.Announcement{Service: "booking", Address: address, Slots: 4, TTL: standin.Duration(3 * time.Second)},
	}
	announcer.Start()
	DeferCleanup(announcer.Stop)
	return t
}

// activateBundle signs the test bundle with a version and makes it the active
// bundle.
func (f *testFleet) activateBundle(version uint64) {
	manifest, pieces := bundle.NewManifest(version, fmt.Appendf(nil, testBundle, version))
	e := &bundle.Envelope{Manifest: manifest}
	Expect(e.Sign(bundle.RoleAuthor, "a1", f.author)).To(Succeed())
	Expect(e.Sign(bundle.RoleApprover, "b1", f.approver)).To(Succeed())
	encoded, err := e.Encode()
	Expect(err).NotTo(HaveOccurred())
	ctx := context.Background()
	for name, piece := range pieces {
		_, err := f.client.Put(ctx, rollout.PieceKey(name), piece, 0)
		Expect(err).NotTo(HaveOccurred())
	}
	active, err := f.client.Get(ctx, rollout.ActiveKey)
	if err != nil {
		Expect(err).To(MatchError(platform.ErrNotFound))
	}
	_, err = f.client.Put(ctx, rollout.ActiveKey, encoded, active.Version)
	Expect(err).NotTo(HaveOccurred())
}

// waitReady waits until every node is ready, knows all targets and answers
// callers.
func (f *testFleet) waitReady() {
	for _, n := range f.nodes {
		Eventually(n.node.Ready, "15s", "20ms").Should(BeTrue(), n.id)
		// A node must know the other targets before a spec stops it, or it
		// would have no node to hand its key ranges to.
		Eventually(n.metrics, "15s", "50ms").Should(ContainSubstring(fmt.Sprintf("siskinvale_known_targets %d\n", len(f.nodes))), n.id)
		Eventually(func() int { return n.status(http.MethodGet, "/kits/1") }, "15s", "50ms").Should(Equal(200), n.id)
		Eventually(func() string { return n.hold(newKey()).outcome }, "15s", "50ms").Should(Equal("answered"), n.id)
	}
}

func (n *testNode) metrics() string {
	resp, err := http.Get("http://" + n.ip + ":7004/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// callerClient keeps as many idle connections as requests run at a time. With
// the default of two per host, most requests of a burst would open a connection
// of their own.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

type answer struct {
	status  int
	outcome string
	header  http.Header
	body    string
	err     error
}

func (n *testNode) send(method, path string, header http.Header, body string) answer {
	req, err := http.NewRequest(method, "http://"+n.ip+":7001"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if req.Header.Get("Siskinvale-Service") == "" {
		req.Header.Set("Siskinvale-Service", "booking")
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Siskinvale-Outcome"), resp.Header, string(content), err}
}

func (n *testNode) status(method, path string) int { return n.send(method, path, nil, "").status }

// hold sends an operation with a key, as a first attempt or as a retry.
func (n *testNode) hold(key string) answer {
	return n.send(http.MethodPost, "/holds", http.Header{"Idempotency-Key": {key}}, "kit 7")
}

type lookup struct {
	start    time.Time
	duration time.Duration
	answer   answer
	node     string
}

// startLookups sends lookups through every node, one per interval and node,
// until stop is closed. It closes results when all lookups are answered.
func (f *testFleet) startLookups(interval time.Duration) (stop chan struct{}, results chan lookup) {
	stop, results = make(chan struct{}), make(chan lookup, 100_000)
	var work sync.WaitGroup
	for _, n := range f.nodes {
		work.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					work.Go(func() {
						start := time.Now()
						a := n.send(http.MethodGet, "/kits/7", nil, "")
						results <- lookup{start, time.Since(start), a, n.id}
					})
				}
			}
		})
	}
	go func() { work.Wait(); close(results) }()
	return stop, results
}

// runCount returns how often an operation was run, over all targets.
func (f *testFleet) runCount(key string) int {
	count := 0
	for _, n := range f.nodes {
		for _, op := range n.target.Operations() {
			if op.Key == key {
				count++
			}
		}
	}
	return count
}
