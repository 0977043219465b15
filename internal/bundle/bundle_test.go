package bundle

import (
	"bytes"
	"crypto/ed25519"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/fleet"
)

func TestBundle(t *testing.T) {
	// A fixed seed makes rapid generate the same cases on every run.
	if err := flag.Set("rapid.seed", "20260401"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "bundle")
}

var examples = []string{"../../examples/regie.yaml", "../../examples/magnolia.yaml"}

func readFile(file string) []byte {
	GinkgoHelper()
	content, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	return content
}

func mustParse(content []byte) *Bundle {
	GinkgoHelper()
	b, findings := Parse("test.yaml", content)
	Expect(findings).To(BeEmpty())
	return b
}

// generateBundle returns a bundle with the given number of services and of
// routes in each service.
func generateBundle(services, routesEach int) []byte {
	var b strings.Builder
	b.WriteString("name: planned\nversion: 7\nsigners: {authors: [a], approvers: [b]}\n" +
		"dataCentres: [{name: dc, region: r}]\ntenants: {default: {requestsPerSecond: 1, burst: 1, weight: 1}}\nservices:\n")
	for s := range services {
		fmt.Fprintf(&b, "  - name: service-%d\n    slots: 4\n    expectedTargets: 23\n    floor: 12\n    classes:\n", s)
		b.WriteString("      - {name: lookup, idempotent: true, idempotencyKey: none, priority: interactive, length: short, deadline: 1s, expected: 20ms, attempts: 3, maxBody: 0}\n    routes:\n")
		for r := range routesEach {
			fmt.Fprintf(&b, "      - {method: GET, path: /v1/resource-%d/:id/part-%d, class: lookup}\n", r, s)
		}
	}
	return []byte(b.String())
}

var _ = Describe("Parse", func() {
	It("accepts the examples without findings", func() {
		for _, file := range examples {
			b := mustParse(readFile(file))
			Expect(b.DataCentres).To(HaveLen(4))
			Expect(b.Services).To(HaveLen(2))
		}
	})

	// Guards against a finding that suppresses another one or loses its
	// location, and against an unintended change of its text.
	It("reports every finding of a faulty bundle with its location", func() {
		b, findings := Parse("faulty.yaml", readFile("testdata/faulty.yaml"))
		Expect(b).To(BeNil())
		var out strings.Builder
		for _, f := range findings {
			fmt.Fprintln(&out, f)
		}
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "faulty", []byte(out.String()))
	})

	// Guards against input that exhausts the parser's stack or memory, and
	// against documents whose errors the YAML library reports itself or ignores.
	DescribeTable("refuses documents outside the format",
		func(content, message string) {
			b, findings := Parse("f", []byte(content))
			Expect(b).To(BeNil())
			Expect(fmt.Sprint(findings)).To(ContainSubstring(message))
		},
		Entry("empty", "", "empty"),
		Entry("comment only", "# nothing\n", "empty"),
		Entry("scalar", "5\n", "want named fields"),
		Entry("null", "null\n", "want named fields"),
		Entry("syntax", "name: [a\nversion: }", "f:"),
		Entry("two documents", "name: a\n---\nname: b\n", "second one"),
		Entry("anchor", "name: &a x\nregion: *a\n", "f:1:7: anchors"),
		Entry("merge key", "x:\n  <<: {a: 1}\n", "not supported"),
		Entry("tag", "name: !!str 5\n", "not supported"),
		Entry("deep flow nesting", "name: "+strings.Repeat("[", 1<<20), "nested too deeply"),
		Entry("deep block nesting", strings.Repeat("- ", 1<<16)+"x", "nested too deeply"),
		Entry("too large", strings.Repeat("#", MaxSize+1), "at most 8388608"),
	)

	It("parses an encoded bundle to the same bundle", func() {
		for _, file := range examples {
			b := mustParse(readFile(file))
			encoded, err := b.Encode()
			Expect(err).NotTo(HaveOccurred())
			Expect(mustParse(encoded)).To(Equal(b))
		}
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			b := drawBundle(t)
			encoded, err := b.Encode()
			if err != nil {
				t.Fatal(err)
			}
			again, findings := Parse("t", encoded)
			if len(findings) > 0 {
				t.Fatalf("%v\n%s", findings, encoded)
			}
			if changes := Diff(b, again); len(changes) > 0 {
				t.Fatalf("%v\n%s", changes, encoded)
			}
		})
	})

	It("replaces the version and leaves all other content unchanged", func() {
		content := readFile(examples[0])
		changed, err := WithVersion(content, 42)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(Equal(bytes.Replace(content, []byte("version: 1\n"), []byte("version: 42\n"), 1)))
		Expect(Diff(mustParse(content), mustParse(changed))).To(Equal([]Change{{Path: "version", Old: "1", New: "42"}}))
	})
})

// drawBundle returns a random valid bundle without its index.
func drawBundle(t *rapid.T) *Bundle {
	name := rapid.StringMatching(`[a-z][a-z0-9]{0,8}(-[a-z0-9]{1,4})?`)
	b := &Bundle{
		Name:    name.Draw(t, "name"),
		Version: rapid.Uint64Min(1).Draw(t, "version"),
		Signers: Signers{Authors: []string{"author@1"}, Approvers: []string{"0approver"}},
		Tenants: Tenants{Default: drawLimit(t)},
	}
	for _, n := range rapid.SliceOfNDistinct(name, 1, 3, rapid.ID).Draw(t, "centres") {
		b.DataCentres = append(b.DataCentres, DataCentre{Name: n, Region: name.Draw(t, "region")})
	}
	for _, n := range rapid.SliceOfNDistinct(rapid.StringN(1, 12, -1), 0, 3, rapid.ID).Draw(t, "tenants") {
		// Control characters are not valid in YAML.
		n = strings.Map(func(r rune) rune {
			if r < ' ' || r == 0x7f || r > 0x7f && r < 0xa0 || r == 0x2028 || r == 0x2029 || r == 0xfeff {
				return 'x'
			}
			return r
		}, n)
		b.Tenants.Named = append(b.Tenants.Named, drawOrganisation(t, fmt.Sprintf("%s-%d", n, len(b.Tenants.Named))))
	}
	b.Tenants.RequireKeys = rapid.Bool().Draw(t, "require keys")
	for _, n := range rapid.SliceOfNDistinct(name, 1, 3, rapid.ID).Draw(t, "services") {
		b.Services = append(b.Services, drawService(t, n))
	}
	return b
}

func drawOrganisation(t *rapid.T, name string) NamedLimit {
	o := NamedLimit{Name: name, Limit: drawLimit(t)}
	for i := range rapid.IntRange(0, 2).Draw(t, "keys") {
		o.Keys = append(o.Keys, HashKey(fmt.Sprintf("%s %d", name, i)))
	}
	if rapid.Bool().Draw(t, "has quota") {
		o.Quota = Quota{RequestsPerSecond: rapid.Float64Range(0.001, 1e9).Draw(t, "quota"), Burst: rapid.Float64Range(1, 1e9).Draw(t, "quota burst")}
	}
	if rapid.Bool().Draw(t, "has rank") {
		rank := fleet.Rank(rapid.Uint8().Draw(t, "rank"))
		o.Rank = &rank
	}
	return o
}

func drawLimit(t *rapid.T) Limit {
	return Limit{
		RequestsPerSecond: rapid.Float64Range(0.001, 1e9).Draw(t, "rate"),
		Burst:             rapid.Float64Range(1, 1e9).Draw(t, "burst"),
		Weight:            rapid.IntRange(1, MaxWeight).Draw(t, "weight"),
	}
}

func drawService(t *rapid.T, name string) Service {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	s := Service{
		Name: name, Slots: rapid.IntRange(1, 8).Draw(t, "slots"),
		ExpectedTargets: 20, Floor: rapid.IntRange(1, 20).Draw(t, "floor"),
		Classes: []Class{{Name: "c", Idempotent: idempotent, IdempotencyKey: KeyOptional, Attempts: 1,
			Deadline: Duration(rapid.Int64Range(1e6, 6e10).Draw(t, "deadline")), Expected: 1e6, MaxBody: 5}},
		Operations: Operations{Ranges: rapid.IntRange(MinRanges, MaxRanges).Draw(t, "ranges"), RetryWindow: 6e11},
	}
	for _, p := range rapid.SliceOfNDistinct(rapid.StringMatching(`(/[a-z]{1,3}){1,3}`), 1, 5, rapid.ID).Draw(t, "paths") {
		s.Routes = append(s.Routes, Route{Method: "GET", Path: p, Class: "c"})
	}
	return s
}

var _ = Describe("Match", func() {
	It("applies the first route that matches", func() {
		b := mustParse(readFile(examples[1]))
		for request, want := range map[string]string{
			"GET /v1/inventory/full":     "inventory-feed-full",
			"GET /v1/inventory/full/x":   "inventory-feed",
			"GET /v1/inventory/":         "inventory-feed",
			"GET /v1/inventory":          "",
			"GET /v1/serials/7":          "serial-check",
			"GET /v1/serials/":           "",
			"GET /v1/serials/7/history":  "serial-history",
			"POST /v1/serials/7/history": "",
		} {
			method, path, _ := strings.Cut(request, " ")
			s, class, ok := b.Match("catalog", method, path)
			Expect(s.Name).To(Equal("catalog"))
			Expect(ok).To(Equal(want != ""), request)
			if ok {
				Expect(class.Name).To(Equal(want), request)
			}
		}
		s, _, ok := b.Match("unknown", "GET", "/v1/kits")
		Expect(s).To(BeNil())
		Expect(ok).To(BeFalse())
	})

	// Guards against a path that matches the route of one operation and makes
	// the target run another one.
	DescribeTable("refuses paths that a target may interpret differently",
		func(path string, want bool) { Expect(isCanonical(path)).To(Equal(want)) },
		Entry(nil, "/a/../b", false), Entry(nil, "/a/..", false), Entry(nil, "/./a", false),
		Entry(nil, "/a//b", false), Entry(nil, "//", false), Entry(nil, "/a\\b", false),
		Entry(nil, "/a/%2e%2E/b", false), Entry(nil, "/a%2fb", false), Entry(nil, "/%61", false),
		Entry(nil, "/%", false), Entry(nil, "/%zz", false), Entry(nil, "a", false), Entry(nil, "", false),
		Entry(nil, "/", true), Entry(nil, "/a/", true), Entry(nil, "/a/..b", true), Entry(nil, "/a%20b", true),
		Entry(nil, "/.well-known/x", true), Entry(nil, "/caf%C3%A9", true),
	)

	// Guards against an index that does not choose the first matching route,
	// and against a route that is reported as hidden although it applies.
	It("agrees with a linear search and never chooses a route reported as hidden", func() {
		segment := rapid.SampledFrom([]string{"a", "b", ":x", ":y", ""})
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			s := Service{Name: "s", Classes: []Class{}}
			d := newDecoder("t")
			s.Routes = make([]Route, rapid.IntRange(1, 8).Draw(t, "routes"))
			for i := range s.Routes {
				path := drawPath(t, segment)
				if rapid.Bool().Draw(t, "prefix") {
					path = strings.TrimSuffix(path, "/") + "/*"
				}
				class := fmt.Sprintf("c%d", i)
				s.Routes[i] = Route{Method: "GET", Path: path, Class: class}
				s.Classes = append(s.Classes, Class{Name: class})
				d.Positions[&s.Routes[i].Path] = nil
			}
			hidden := make(map[string]bool)
			trees := make(map[string]*routeNode)
			for i, r := range s.Routes {
				before := d.FindingCount()
				validator{d}.checkHidden(&s, i, trees)
				hidden[r.Class] = d.FindingCount() > before
			}
			linear := &Bundle{Services: []Service{s}}
			indexed := &Bundle{Services: linear.Services}
			indexed.index = newIndex(indexed)
			for range 20 {
				path := drawPath(t, rapid.SampledFrom([]string{"a", "b", "c", ""}))
				_, want, _ := linear.Match("s", "GET", path)
				_, got, _ := indexed.Match("s", "GET", path)
				if want != got {
					t.Fatalf("%s: index gives %v, linear search %v, routes %v", path, got, want, s.Routes)
				}
				if got != nil && hidden[got.Name] {
					t.Fatalf("%s: route of %s applies but was reported as hidden, routes %v", path, got.Name, s.Routes)
				}
			}
		})
	})

	It("does not allocate", func() {
		b := mustParse(readFile(examples[0]))
		Expect(testing.AllocsPerRun(100, func() { b.Match("indices", "GET", "/v1/grids/12/hints/7") })).To(BeZero())
	})
})

// drawPath returns a canonical path: only its last segment may be empty.
func drawPath(t *rapid.T, segment *rapid.Generator[string]) string {
	path := ""
	for _, s := range rapid.SliceOfN(segment, 1, 4).Draw(t, "segments") {
		if s == "" {
			break
		}
		path += "/" + s
	}
	if path == "" || rapid.Bool().Draw(t, "slash") {
		path += "/"
	}
	return path
}

var _ = Describe("Split", func() {
	It("returns pieces within the size limits that join to the content", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			content := make([]byte, rapid.IntRange(0, 3*MaxPieceBytes).Draw(t, "size"))
			lineEvery := rapid.SampledFrom([]int{2, 40, 5000, 1 << 30}).Draw(t, "lineEvery")
			letters := rapid.SampledFrom([]int{1, 20}).Draw(t, "letters")
			for i := range content {
				content[i] = byte('a' + random.IntN(letters))
				if random.IntN(lineEvery) == 0 {
					content[i] = '\n'
				}
			}
			pieces := Split(content)
			if !bytes.Equal(bytes.Join(pieces, nil), content) {
				t.Fatal("the joined pieces differ from the content")
			}
			for i, piece := range pieces {
				if len(piece) > MaxPieceBytes || len(piece) < minPieceSize && i < len(pieces)-1 {
					t.Fatalf("piece %d has %d bytes", i, len(piece))
				}
			}
		})
	})

	// Guards against cuts that depend on all earlier content: each change would
	// then change all later pieces, and nodes would fetch them again.
	It("changes few pieces when one line is inserted", func() {
		content := generateBundle(300, 15)
		_, before := NewManifest(1, content)
		lines := bytes.SplitAfter(content, []byte("\n"))
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			at := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
			inserted := []byte(rapid.StringMatching(`#[a-z]{0,60}\n`).Draw(t, "inserted"))
			changed := bytes.Join([][]byte{bytes.Join(lines[:at], nil), inserted, bytes.Join(lines[at:], nil)}, nil)
			_, after := NewManifest(1, changed)
			added := 0
			for name := range after {
				if before[name] == nil {
					added++
				}
			}
			if added > 3 {
				t.Fatalf("%d of %d pieces are new", added, len(after))
			}
		})
	})
})

// signedBundle is a bundle with its signed envelope and the keys.
type signedBundle struct {
	content  []byte
	envelope *Envelope
	pieces   map[string][]byte
	keyring  Keyring
	author   SigningKey
	approver SigningKey
}

func testKey(id, role string, seed byte) SigningKey {
	return SigningKey{ID: id, Role: role, Private: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))}
}

func signBundle(content []byte, author, approver SigningKey) signedBundle {
	GinkgoHelper()
	b := mustParse(content)
	s := signedBundle{content: content, author: author, approver: approver}
	var m Manifest
	m, s.pieces = NewManifest(b.Version, content)
	s.envelope = &Envelope{Manifest: m}
	Expect(s.envelope.Sign(RoleAuthor, author.ID, author.Private)).To(Succeed())
	Expect(s.envelope.Sign(RoleApprover, approver.ID, approver.Private)).To(Succeed())
	s.keyring = Keyring{
		Authors:   map[string]ed25519.PublicKey{author.ID: author.Public()},
		Approvers: map[string]ed25519.PublicKey{approver.ID: approver.Public()},
	}
	return s
}

func signExample() signedBundle {
	return signBundle(readFile(examples[0]), testKey("regie-author-1", RoleAuthor, 1), testKey("regie-approver-2", RoleApprover, 2))
}

var _ = Describe("Envelope", func() {
	It("opens a bundle that is signed by both roles", func() {
		s := signExample()
		b, content, err := s.envelope.Open(s.keyring, s.pieces)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal(s.content))
		Expect(b.Name).To(Equal("regie"))
	})

	// Guards against an undetected change of an envelope or piece in storage or
	// in transit.
	It("detects any changed byte of an envelope or a piece", func() {
		s := signExample()
		encoded, err := s.envelope.Encode()
		Expect(err).NotTo(HaveOccurred())
		for i := range encoded {
			for _, flip := range []byte{0x01, 0x20, 0x80} {
				changed := bytes.Clone(encoded)
				changed[i] ^= flip
				e, err := DecodeEnvelope(changed)
				if err == nil {
					err = e.Verify(s.keyring)
				}
				Expect(err).To(HaveOccurred(), "byte %d: %s", i, changed)
			}
		}
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			name := rapid.SampledFrom(s.envelope.Manifest.Pieces).Draw(t, "piece")
			pieces := map[string][]byte{}
			for n, piece := range s.pieces {
				pieces[n] = bytes.Clone(piece)
			}
			i := rapid.IntRange(0, len(pieces[name])-1).Draw(t, "byte")
			pieces[name][i] ^= rapid.ByteMin(1).Draw(t, "flip")
			if _, _, err := s.envelope.Open(s.keyring, pieces); err == nil {
				t.Fatal("a damaged piece was accepted")
			}
		})
	})

	// Guards against a rollout that a single person can sign.
	It("requires an author and an approver with different keys that the keyring and the bundle list", func() {
		author, approver := testKey("regie-author-1", RoleAuthor, 1), testKey("regie-approver-1", RoleApprover, 2)
		expectRefused := func(s signedBundle, reason string) {
			GinkgoHelper()
			_, _, err := s.envelope.Open(s.keyring, s.pieces)
			Expect(err).To(MatchError(ErrSignature))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		}
		sameKey := author
		sameKey.ID, sameKey.Role = approver.ID, RoleApprover
		expectRefused(signBundle(readFile(examples[0]), author, sameKey), "same key")

		incomplete := signBundle(readFile(examples[0]), author, approver)
		incomplete.envelope.Signatures = incomplete.envelope.Signatures[:1]
		expectRefused(incomplete, "1 signatures")
		incomplete.envelope.Signatures = append(incomplete.envelope.Signatures, incomplete.envelope.Signatures[0])
		expectRefused(incomplete, "same role")

		unlisted := testKey("someone", RoleApprover, 3)
		expectRefused(signBundle(readFile(examples[0]), author, unlisted), "does not list")

		untrusted := signBundle(readFile(examples[0]), author, approver)
		untrusted.keyring.Approvers = nil
		expectRefused(untrusted, "keyring has no approver")

		// A signature for one role must not count for the other.
		swapped := signBundle(readFile(examples[0]), author, approver)
		swapped.keyring = Keyring{Authors: swapped.keyring.Approvers, Approvers: swapped.keyring.Authors}
		sigs := swapped.envelope.Signatures
		sigs[0].Role, sigs[1].Role = sigs[1].Role, sigs[0].Role
		expectRefused(swapped, "wrong")
	})

	It("refuses content whose version differs from the manifest", func() {
		s := signExample()
		s.envelope.Manifest.Version = 9
		Expect(s.envelope.Sign(RoleAuthor, s.author.ID, s.author.Private)).To(Succeed())
		Expect(s.envelope.Sign(RoleApprover, s.approver.ID, s.approver.Private)).To(Succeed())
		_, _, err := s.envelope.Open(s.keyring, s.pieces)
		Expect(err).To(MatchError(ContainSubstring("content has version 1, manifest has version 9")))
	})

	It("decodes the keys that it encoded", func() {
		key := testKey("ada", RoleAuthor, 4)
		data, err := key.EncodePrivate()
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeSigningKey(data)).To(Equal(key))
		Expect(DecodePublicKey(EncodePublicKey(key.Public()))).To(Equal(key.Public()))
		_, err = DecodeSigningKey([]byte("not a key"))
		Expect(err).To(MatchError(ErrFormat))
	})
})

var _ = Describe("Diff", func() {
	It("lists added, removed and changed values", func() {
		before := mustParse(readFile(examples[0]))
		text := string(readFile(examples[0]))
		text = strings.Replace(text, "floor: 6", "floor: 7", 1)
		text = strings.Replace(text, "  - {name: morlaix, region: finistere}\n", "", 1)
		text = strings.Replace(text, "      - {method: GET, path: /v1/grids, class: grid}\n", "", 1)
		text = strings.Replace(text, "      - {method: GET, path: /v1/packs, class: grid}\n",
			"      - {method: GET, path: /v1/packs, class: grid}\n      - {method: GET, path: /v1/news, class: grid}\n", 1)
		var out strings.Builder
		for _, c := range Diff(before, mustParse([]byte(text))) {
			fmt.Fprintln(&out, c)
		}
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "diff", []byte(out.String()))
		Expect(Diff(before, before)).To(BeEmpty())
	})

	// Guards against a new order of routes that changes the class of requests
	// but is missing from the diff.
	It("reports routes whose order changed", func() {
		before := mustParse(readFile(examples[1]))
		first := "      - {method: GET, path: /v1/kits, class: lookup}\n"
		second := "      - {method: GET, path: /v1/kits/:kit, class: lookup}\n"
		after := mustParse(bytes.Replace(readFile(examples[1]), []byte(first+second), []byte(second+first), 1))
		Expect(Diff(before, after)).To(ConsistOf(HaveField("Path", "services[booking].routes order")))
	})
})

var _ = Describe("Schema", func() {
	It("equals the committed schema file", func() {
		schema, err := Schema()
		Expect(err).NotTo(HaveOccurred())
		const file = "../../schemas/bundle.schema.json"
		if os.Getenv("SISKINVALE_UPDATE") == "1" {
			Expect(os.WriteFile(file, schema, 0o644)).To(Succeed())
		}
		Expect(string(readFile(file))).To(Equal(string(schema)), "run the test with SISKINVALE_UPDATE=1")
	})
})

// FuzzParse guards against panics, and against bundles that are accepted but
// cannot be written and read again.
func FuzzParse(f *testing.F) {
	for _, file := range append(examples, "testdata/faulty.yaml") {
		content, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		b, findings := Parse("f", content)
		if (b == nil) == (len(findings) == 0) {
			t.Fatalf("bundle %v with findings %v", b, findings)
		}
		if b == nil {
			return
		}
		encoded, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if again, findings := Parse("f", encoded); again == nil || len(Diff(b, again)) > 0 {
			t.Fatalf("%v\n%s", findings, encoded)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	// 18,000 routes in 1,200 services, and 18,000 routes in one service.
	for _, size := range []struct{ services, routes int }{{1200, 15}, {1, 18000}} {
		b.Run(fmt.Sprintf("services=%d,routes=%d", size.services, size.routes), func(b *testing.B) {
			bundle, findings := Parse("planned", generateBundle(size.services, size.routes))
			if bundle == nil {
				b.Fatal(findings)
			}
			service := fmt.Sprintf("service-%d", size.services-1)
			path := fmt.Sprintf("/v1/resource-%d/4711/part-%d", size.routes-1, size.services-1)
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := bundle.Match(service, "GET", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkParse(b *testing.B) {
	content := generateBundle(1200, 15)
	b.SetBytes(int64(len(content)))
	b.ReportAllocs()
	for b.Loop() {
		if bundle, findings := Parse("planned", content); bundle == nil {
			b.Fatal(findings)
		}
	}
}

func BenchmarkSplit(b *testing.B) {
	content := generateBundle(1200, 15)
	b.SetBytes(int64(len(content)))
	for b.Loop() {
		Split(content)
	}
	b.ReportMetric(float64(len(Split(content))), "pieces")
}
