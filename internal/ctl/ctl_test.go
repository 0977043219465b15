package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/bundle"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/control/v1/controlv1connect"
	"siskinvale.dev/siskinvale/internal/platform"
)

func TestCtl(t *testing.T) {
	// A fixed seed makes rapid generate the same cases on every run.
	if err := flag.Set("rapid.seed", "20260402"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// fakeStore is an in-memory platform. nextFault is called before each call and
// selects the fault to inject into it; with any fault, Get returns
// platform.ErrUnavailable.
type fakeStore struct {
	objects   map[string]platform.Object
	version   uint64
	nextFault func(call, key string) fault
	history   []uint64 // versions of bundle/active in order
}

type fault int

const (
	noFault     fault = iota
	unavailable       // the call fails without effect
	lostRequest       // the result is uncertain; the write has no effect
	lostAnswer        // the result is uncertain; the write takes effect unless it conflicts
	hung              // the write takes effect; the call then blocks until its context ends
)

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]platform.Object), nextFault: func(string, string) fault { return noFault }}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	if s.nextFault("get", key) != noFault {
		return platform.Object{}, platform.ErrUnavailable
	}
	object, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (platform.Object, error) {
	f := s.nextFault("put", key)
	switch {
	case f == unavailable:
		return platform.Object{}, platform.ErrUnavailable
	case f == lostRequest:
		return platform.Object{}, platform.ErrWriteUncertain
	case s.objects[key].Version != ifVersion:
		if f == lostAnswer {
			return platform.Object{}, platform.ErrWriteUncertain
		}
		return platform.Object{}, platform.ErrConflict
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Version: s.version, Value: bytes.Clone(value)}
	if key == activeKey {
		e, err := bundle.DecodeEnvelope(value)
		Expect(err).NotTo(HaveOccurred())
		s.history = append(s.history, e.Manifest.Version)
	}
	switch f {
	case lostAnswer:
		return platform.Object{}, platform.ErrWriteUncertain
	case hung:
		<-ctx.Done()
		return platform.Object{}, ctx.Err()
	}
	return s.objects[key], nil
}

// operator runs commands in its own directory against a fake store and a fake
// node. Its clock advances only while a command sleeps.
type operator struct {
	dir    string
	store  *fakeStore
	node   controlv1connect.OperatorServiceClient
	now    time.Time
	stdout bytes.Buffer
	stderr bytes.Buffer
}

func newOperator(store *fakeStore) *operator {
	return &operator{dir: GinkgoT().TempDir(), store: store, now: time.Unix(1_800_000_000, 0)}
}

func (o *operator) env() Env {
	return Env{
		Context: context.Background(), Stdout: &o.stdout, Stderr: &o.stderr, HTTP: http.DefaultClient,
		OpenStore: func(string, string) (Store, error) { return o.store, nil },
		Now:       func() time.Time { return o.now },
		Sleep:     func(_ context.Context, d time.Duration) error { o.now = o.now.Add(d); return nil },
	}
}

func (o *operator) run(args ...string) int {
	o.stdout.Reset()
	o.stderr.Reset()
	return run(&app{Env: o.env(), clientOverride: o.node}, append([]string{"--platform", "platform:1"}, args...))
}

func (o *operator) path(name string) string { return filepath.Join(o.dir, name) }

// mustRun runs a command and fails the test unless the command succeeds.
func (o *operator) mustRun(args ...string) {
	GinkgoHelper()
	Expect(o.run(args...)).To(Equal(ExitOK), "%v: %s", args, o.stderr.String())
}

// writeSignedBundle writes the example bundle with the given version and floor
// to bundle.yaml, and its envelope with both signatures to envelope. It creates
// missing keys.
func (o *operator) writeSignedBundle(version, floor int, author, approver string) {
	GinkgoHelper()
	content, err := os.ReadFile("../../examples/regie.yaml")
	Expect(err).NotTo(HaveOccurred())
	text := strings.Replace(string(content), "version: 1\n", fmt.Sprintf("version: %d\n", version), 1)
	text = strings.Replace(text, "floor: 6", fmt.Sprintf("floor: %d", floor), 1)
	Expect(os.WriteFile(o.path("bundle.yaml"), []byte(text), 0o644)).To(Succeed())
	for role, id := range map[string]string{"author": author, "approver": approver} {
		if _, err := os.Stat(o.path(id + ".pem")); err != nil {
			o.mustRun("keys", "new", "--id", id, "--role", role, "--out", o.path(id))
		}
	}
	o.mustRun("bundle", "sign", o.path("bundle.yaml"), "--key", o.path(author+".pem"), "--out", o.path("envelope"))
	o.mustRun("bundle", "approve", o.path("envelope"), "--key", o.path(approver+".pem"), "--file", o.path("bundle.yaml"))
}

// rollout rolls out the files of writeSignedBundle without waiting for nodes.
func (o *operator) rollout(args ...string) int {
	return o.run(append([]string{"bundle", "rollout", o.path("bundle.yaml"), o.path("envelope"), "--no-wait"}, args...)...)
}

var _ = Describe("keys and signatures", func() {
	It("creates keys that only their owner can read and never overwrites them", func() {
		o := newOperator(newFakeStore())
		o.mustRun("keys", "new", "--id", "ada", "--role", "author", "--out", o.path("ada"))
		info, err := os.Stat(o.path("ada.pem"))
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		id, public, _ := strings.Cut(strings.TrimSpace(o.stdout.String()), ": ")
		Expect(id).To(Equal("ada"))
		key, err := readKey(o.path("ada.pem"), bundle.RoleAuthor)
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.DecodePublicKey(public)).To(Equal(key.Public()))
		Expect(o.run("keys", "new", "--id", "ada", "--role", "author", "--out", o.path("ada"))).To(Equal(ExitUsage))
	})

	// Guards against one person who signs as author and approver.
	It("refuses keys of the wrong role, signers that the bundle does not list, and the author's key as approver", func() {
		o := newOperator(newFakeStore())
		o.writeSignedBundle(1, 6, "regie-author-1", "regie-approver-1")
		Expect(o.run("bundle", "sign", o.path("bundle.yaml"), "--key", o.path("regie-approver-1.pem"), "--out", o.path("x"))).To(Equal(ExitRefused))
		o.mustRun("keys", "new", "--id", "eve", "--role", "author", "--out", o.path("eve"))
		Expect(o.run("bundle", "sign", o.path("bundle.yaml"), "--key", o.path("eve.pem"), "--out", o.path("x"))).To(Equal(ExitRefused))
		Expect(o.stderr.String()).To(ContainSubstring(`does not list "eve"`))

		data, err := os.ReadFile(o.path("regie-author-1.pem"))
		Expect(err).NotTo(HaveOccurred())
		relabelled := strings.NewReplacer("regie-author-1", "regie-approver-2", "Role: author", "Role: approver").Replace(string(data))
		Expect(os.WriteFile(o.path("same.pem"), []byte(relabelled), 0o600)).To(Succeed())
		Expect(o.run("bundle", "approve", o.path("envelope"), "--key", o.path("same.pem"))).To(Equal(ExitRefused))
		Expect(o.stderr.String()).To(ContainSubstring("different key"))
	})

	It("refuses an approver missing from the keyring and a bundle that differs from the envelope, and writes nothing", func() {
		o := newOperator(newFakeStore())
		o.writeSignedBundle(1, 6, "regie-author-1", "regie-approver-1")
		author, err := readKey(o.path("regie-author-1.pem"), bundle.RoleAuthor)
		Expect(err).NotTo(HaveOccurred())
		keyring := fmt.Sprintf("authors:\n  regie-author-1: %s\napprovers: {}\n", bundle.EncodePublicKey(author.Public()))
		Expect(os.WriteFile(o.path("ring"), []byte(keyring), 0o644)).To(Succeed())
		Expect(o.rollout("--keyring", o.path("ring"))).To(Equal(ExitRefused))
		Expect(o.stderr.String()).To(ContainSubstring(`no approver key "regie-approver-1"`))

		Expect(os.Rename(o.path("envelope"), o.path("old"))).To(Succeed())
		o.writeSignedBundle(1, 7, "regie-author-1", "regie-approver-1")
		Expect(os.Rename(o.path("old"), o.path("envelope"))).To(Succeed())
		Expect(o.rollout()).To(Equal(ExitRefused))
		Expect(o.stderr.String()).To(ContainSubstring("is not the bundle that was signed"))
		Expect(o.store.objects).To(BeEmpty())
	})
})

var _ = Describe("bundle rollout", func() {
	var store *fakeStore
	var ada, bob *operator
	BeforeEach(func() {
		store = newFakeStore()
		ada, bob = newOperator(store), newOperator(store)
		ada.writeSignedBundle(1, 6, "regie-author-1", "regie-approver-1")
		Expect(ada.rollout()).To(Equal(ExitOK))
		ada.writeSignedBundle(2, 7, "regie-author-1", "regie-approver-1")
		bob.writeSignedBundle(2, 8, "regie-author-2", "regie-approver-2")
	})

	// Guards against two concurrent rollouts that both report success. Bob's
	// whole rollout runs before each platform call of Ada's rollout in turn.
	DescribeTable("lets exactly one of two concurrent rollouts win and names the winner to the loser",
		func(version int) {
			bob.writeSignedBundle(version, 8, "regie-author-2", "regie-approver-2")
			for callsBefore := 0; ; callsBefore++ {
				sharedStore := newFakeStore()
				for key, object := range store.objects {
					sharedStore.objects[key] = object
				}
				sharedStore.version = store.version
				ada.store, bob.store = sharedStore, sharedStore
				calls, bobCode, bobRan := 0, -1, false
				sharedStore.nextFault = func(string, string) fault {
					if calls++; calls == callsBefore+1 && !bobRan {
						bobRan = true
						bobCode = bob.rollout()
					}
					return noFault
				}
				adaCode := ada.rollout()
				if !bobRan {
					break
				}
				Expect([]int{adaCode, bobCode}).To(ConsistOf(ExitOK, ExitRefused), "bob before call %d", callsBefore)
				loser, winner := ada, "version 2 is active, signed by author regie-author-1 and approver regie-approver-1"
				if adaCode == ExitRefused {
					winner = fmt.Sprintf("version %d is active, signed by author regie-author-2 and approver regie-approver-2", version)
				} else {
					loser = bob
				}
				Expect(strings.Replace(loser.stderr.String(), "is already taken", "is active", 1)).To(ContainSubstring(winner))
				Expect(sharedStore.history).To(HaveLen(1))
			}
		},
		Entry("with the same version", 2),
		Entry("with a higher version", 3),
	)

	// Guards against a rollout that wrongly reports success after lost answers,
	// and against a second rollout that replaces the active version 2.
	It("never reports a false success or activates two bundles of one version when calls fail at random", func() {
		initialObjects, initialVersion := store.objects, store.version
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			sharedStore := newFakeStore()
			for key, object := range initialObjects {
				sharedStore.objects[key] = object
			}
			sharedStore.version = initialVersion
			ada.store, bob.store = sharedStore, sharedStore
			faults := rapid.SampledFrom([]fault{noFault, noFault, noFault, unavailable, lostRequest, lostAnswer})
			start := rapid.IntRange(0, 20).Draw(t, "start")
			calls, bobCode := 0, -1
			sharedStore.nextFault = func(string, string) fault {
				if calls++; calls == start+1 {
					bobCode = bob.rollout()
				}
				return faults.Draw(t, "fault")
			}
			adaCode := ada.rollout()
			sharedStore.nextFault = func(string, string) fault { return noFault }
			if adaCode == ExitOK && bobCode == ExitOK {
				t.Fatalf("both won: %v", sharedStore.history)
			}
			if len(sharedStore.history) > 1 {
				t.Fatalf("two versions 2 were active: %v", sharedStore.history)
			}
			active, _ := bundle.DecodeEnvelope(sharedStore.objects[activeKey].Value)
			winner := active.Signer(bundle.RoleAuthor)
			if adaCode == ExitOK && winner != "regie-author-1" || bobCode == ExitOK && winner != "regie-author-2" {
				t.Fatalf("exit codes %d and %d, but %s is active", adaCode, bobCode, winner)
			}
		})
	})

	// Guards against a rollout that took effect but is reported as failed.
	DescribeTable("succeeds after a lost request or answer by reading back",
		func(injected fault, keyPrefix string) {
			pending := true
			store.nextFault = func(call, key string) fault {
				if call == "put" && strings.HasPrefix(key, keyPrefix) && pending {
					pending = false
					return injected
				}
				return noFault
			}
			Expect(ada.rollout("--call-timeout", "50ms")).To(Equal(ExitOK))
			Expect(pending).To(BeFalse())
			Expect(store.history).To(Equal([]uint64{1, 2}))
		},
		Entry("when the answer to the update of the active version is lost", lostAnswer, activeKey),
		Entry("when the update of the active version hangs", hung, activeKey),
		Entry("when the creation of a piece hangs", hung, piecePrefix),
		Entry("when the update of the active version is lost", lostRequest, activeKey),
		Entry("when the answer to the creation of the version is lost", lostAnswer, versionPrefix),
		Entry("when the answer to the creation of a piece is lost", lostAnswer, piecePrefix),
	)

	It("exits with 3 when the platform is unavailable, and says when the outcome is unknown", func() {
		started := ada.now
		store.nextFault = func(string, string) fault { return unavailable }
		Expect(ada.rollout()).To(Equal(ExitUnreachable))
		Expect(ada.now.Sub(started)).To(Equal(3100 * time.Millisecond))
		answerLost := false
		store.nextFault = func(call, key string) fault {
			if call == "put" && key == activeKey {
				answerLost = true
				return lostAnswer
			}
			if answerLost {
				return unavailable
			}
			return noFault
		}
		Expect(ada.rollout()).To(Equal(ExitUnreachable))
		Expect(ada.stderr.String()).To(ContainSubstring("run the same command again, which is safe"))
		store.nextFault = func(string, string) fault { return noFault }
		Expect(ada.rollout()).To(Equal(ExitOK))
		Expect(store.history).To(Equal([]uint64{1, 2}))
	})

	// Guards against two envelopes for one version: one stored by a rollout
	// that was then interrupted, and one made active by another rollout.
	It("reserves a version for the interrupted rollout that stored it, which can be completed later", func() {
		store.nextFault = func(call, key string) fault {
			if call == "put" && key == activeKey {
				return unavailable
			}
			return noFault
		}
		Expect(ada.rollout()).To(Equal(ExitUnreachable))
		store.nextFault = func(string, string) fault { return noFault }
		Expect(bob.rollout()).To(Equal(ExitRefused))
		Expect(bob.stderr.String()).To(ContainSubstring("version 2 is already taken, signed by author regie-author-1"))
		Expect(ada.rollout()).To(Equal(ExitOK))
		Expect(store.history).To(Equal([]uint64{1, 2}))
		Expect(store.objects[versionKey(2)].Value).To(Equal(store.objects[activeKey].Value))
	})

	It("rolls back by writing the old content under a new version", func() {
		Expect(ada.rollout()).To(Equal(ExitOK))
		ada.mustRun("bundle", "rollback", "--to", "1", "--out", ada.path("back.yaml"))
		ada.mustRun("bundle", "check", ada.path("back.yaml"))
		ada.mustRun("bundle", "diff", ada.path("bundle.yaml"), ada.path("back.yaml"), "--output", "json")
		Expect(ada.stdout.String()).To(MatchJSON(`{"changes": [
			{"path": "version", "old": "2", "new": "3"},
			{"path": "services[indices].floor", "old": "7", "new": "6"}]}`))
		Expect(ada.run("bundle", "rollback", "--to", "9", "--out", ada.path("x"))).To(Equal(ExitRefused))
	})
})

// fakeNode answers like a node. versions holds the bundle versions that node-3
// reports: each Status call drops the first element, unless it is the last one,
// and reports the next.
type fakeNode struct {
	controlv1connect.UnimplementedOperatorServiceHandler
	controlv1connect.OperatorServiceClient
	versions   []uint64
	err        error
	drainCalls []string // Drain and Undrain calls in order
	explain    *controlv1.ExplainRequest
}

func (n *fakeNode) Status(context.Context, *controlv1.StatusRequest) (*controlv1.StatusResponse, error) {
	if n.err != nil {
		return nil, n.err
	}
	if len(n.versions) > 1 {
		n.versions = n.versions[1:]
	}
	node := func(id, dc string, state controlv1.NodeState, version uint64) *controlv1.Node {
		return &controlv1.Node{Id: id, Region: "finistere", DataCentre: dc, State: state, BundleVersion: version,
			CallerAddr: "10.0.0.1:8000", OperatorAddr: "10.0.0.1:8002"}
	}
	return &controlv1.StatusResponse{
		Self: node("node-1", "brest", controlv1.NodeState_NODE_STATE_ALIVE, 2),
		Nodes: []*controlv1.Node{
			node("node-3", "quimper", controlv1.NodeState_NODE_STATE_SUSPECT, n.versions[0]),
			node("node-1", "brest", controlv1.NodeState_NODE_STATE_ALIVE, 1),
			node("node-2", "brest", controlv1.NodeState_NODE_STATE_DEAD, 1),
		},
		BundleVersion: 2, BundleDigest: "abc", BundleName: "regie", PlatformReachable: true, InFlight: 3, LogLevel: "info",
	}, nil
}

func (n *fakeNode) Drain(_ context.Context, r *controlv1.DrainRequest) (*controlv1.DrainResponse, error) {
	n.drainCalls = append(n.drainCalls, "drain "+r.Target)
	return &controlv1.DrainResponse{}, nil
}

func (n *fakeNode) Undrain(_ context.Context, r *controlv1.UndrainRequest) (*controlv1.UndrainResponse, error) {
	n.drainCalls = append(n.drainCalls, "undrain "+r.Target)
	return &controlv1.UndrainResponse{}, nil
}

func (n *fakeNode) ListTargets(context.Context, *controlv1.ListTargetsRequest) (*controlv1.ListTargetsResponse, error) {
	return &controlv1.ListTargetsResponse{Targets: []*controlv1.TargetStatus{{
		Target: &controlv1.Target{Id: "t-1", Service: "indices", Node: "node-1", DataCentre: "brest", Slots: 4,
			State: controlv1.TargetState_TARGET_STATE_SERVING},
		Verdict: "probation", Share: 0.05, InFlight: 1, Queued: 2, Reason: "oldest work is 12 times the usual age",
	}}}, nil
}

func (n *fakeNode) Explain(_ context.Context, r *controlv1.ExplainRequest) (*controlv1.ExplainResponse, error) {
	n.explain = r
	return &controlv1.ExplainResponse{Service: r.Service, Class: "hint", BundleVersion: 2, Lines: []string{"class hint", "target t-1"}}, nil
}

func (n *fakeNode) ReleaseOperations(context.Context, *controlv1.ReleaseOperationsRequest) (*controlv1.ReleaseOperationsResponse, error) {
	return &controlv1.ReleaseOperationsResponse{}, nil
}

func (n *fakeNode) SetLogLevel(context.Context, *controlv1.SetLogLevelRequest) (*controlv1.SetLogLevelResponse, error) {
	return &controlv1.SetLogLevelResponse{Previous: "info"}, nil
}

var _ = Describe("waiting for nodes", func() {
	var o *operator
	var node *fakeNode
	BeforeEach(func() {
		o = newOperator(newFakeStore())
		node = &fakeNode{versions: []uint64{1, 1, 1, 2}}
		o.node = node
		o.writeSignedBundle(2, 7, "regie-author-1", "regie-approver-1")
	})
	rollout := func(args ...string) int {
		return o.run(append([]string{"bundle", "rollout", o.path("bundle.yaml"), o.path("envelope")}, args...)...)
	}

	It("ends when all usable nodes have the version in force", func() {
		started := o.now
		Expect(rollout()).To(Equal(ExitOK))
		Expect(o.now.Sub(started)).To(Equal(2 * pollInterval))
		Expect(o.stdout.String()).To(Equal("version 2 is in force on 2 of 2 nodes\n"))
		Expect(o.stderr.String()).To(ContainSubstring("nodes with version 2"))
	})

	It("names the nodes that lag behind the version at the timeout", func() {
		node.versions = []uint64{1}
		Expect(rollout("--timeout", "1s", "--output", "json")).To(Equal(ExitRefused))
		var p progress
		Expect(json.Unmarshal(o.stdout.Bytes(), &p)).To(Succeed())
		Expect(p).To(Equal(progress{Version: 2, Nodes: 2, InForce: 1,
			Lagging: []laggingNode{{Node: "node-3", DataCentre: "quimper", State: "suspect", Version: 1}}}))
		Expect(o.run("bundle", "status")).To(Equal(ExitRefused))
	})

	It("exits with 3 when no node answers", func() {
		node.err = connect.NewError(connect.CodeUnavailable, nil)
		Expect(rollout("--timeout", "1s")).To(Equal(ExitUnreachable))
		Expect(o.store.history).To(Equal([]uint64{2}))
	})
})

var _ = Describe("node commands", func() {
	It("call the node with an operator token and print tables", func() {
		secret := strings.Repeat("s", auth.MinSecretBytes)
		keys, err := auth.NewKeys(auth.AudienceOperator, []auth.Key{{ID: "op", Secret: auth.Secret(secret)}})
		Expect(err).NotTo(HaveOccurred())
		o := newOperator(newFakeStore())
		node := &fakeNode{versions: []uint64{2}}
		_, handler := controlv1connect.NewOperatorServiceHandler(node)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if subject, err := keys.Verify(r.Header, o.now); err != nil || subject != "op" {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			handler.ServeHTTP(w, r)
		}))
		defer server.Close()
		Expect(os.WriteFile(o.path("secret"), []byte(secret+"\n"), 0o600)).To(Succeed())
		call := func(args ...string) int {
			return o.run(append([]string{"--node", server.Listener.Addr().String(), "--operator-key-id", "op",
				"--operator-secret-file", o.path("secret")}, args...)...)
		}
		var out strings.Builder
		for _, args := range []string{"node status", "bundle status", "targets", "node drain --target t-1", "node undrain --target t-1",
			"node log-level DEBUG", "operations release indices --yes", "explain get http://indices.example:8000/v1/grids/1%202?x=y --tenant app"} {
			Expect(call(strings.Fields(args)...)).To(Equal(ExitOK), o.stderr.String())
			shown := strings.ReplaceAll(o.stdout.String(), server.Listener.Addr().String(), "NODE")
			fmt.Fprintf(&out, "$ siskinvalectl %s\n%s\n", args, shown)
		}
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "node", []byte(out.String()))
		Expect(node.drainCalls).To(Equal([]string{"drain t-1", "undrain t-1"}))
		Expect(node.explain.Path).To(Equal("/v1/grids/1%202"))
		Expect(node.explain.Service + node.explain.Method).To(Equal("indicesGET"))
		Expect(call("targets", "--output", "json")).To(Equal(ExitOK))
		Expect(json.Valid(o.stdout.Bytes())).To(BeTrue())

		Expect(os.WriteFile(o.path("secret"), []byte(strings.Repeat("x", auth.MinSecretBytes)), 0o600)).To(Succeed())
		Expect(call("targets")).To(Equal(ExitRefused))
		server.Close()
		Expect(call("targets")).To(Equal(ExitUnreachable))
	})
})

var _ = Describe("usage", func() {
	DescribeTable("returns the documented exit codes",
		func(code int, args ...string) {
			o := newOperator(newFakeStore())
			Expect(o.run(args...)).To(Equal(code), o.stderr.String())
		},
		Entry(nil, ExitOK, "--help"), Entry(nil, ExitOK, "--version"), Entry(nil, ExitOK, "bundle", "check", "--help"),
		Entry(nil, ExitUsage), Entry(nil, ExitUsage, "bundle"), Entry(nil, ExitUsage, "frob"), Entry(nil, ExitUsage, "targets", "--frob"),
		Entry(nil, ExitUsage, "bundle", "check"), Entry(nil, ExitUsage, "bundle", "check", "missing.yaml"),
		Entry(nil, ExitUsage, "operations", "release", "indices"), Entry(nil, ExitUsage, "node", "log-level", "fatal"),
		Entry(nil, ExitUsage, "node", "status"), Entry(nil, ExitUsage, "explain", "GET", "http://10.0.0.1/x"),
		Entry(nil, ExitOK, "bundle", "check", "../../examples/regie.yaml", "../../examples/magnolia.yaml"),
		Entry(nil, ExitRefused, "bundle", "check", "../bundle/testdata/faulty.yaml"),
		Entry(nil, ExitRefused, "bundle", "check", "--output", "json", "../bundle/testdata/faulty.yaml"),
	)
})
