package config_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const valid = `node: {id: n1, region: gulf, dataCentre: mobile}
listen:
  callers: 127.0.0.1:7001
  peers: 127.0.0.1:7002
  targets: 127.0.0.1:7003
  operators: 127.0.0.1:7004
peers: [127.0.0.1:7102]
platform: {address: "http://127.0.0.1:7000", token: t}
keys:
  fleet: [{id: f1, secret: 0123456789abcdef0123456789abcdef}]
  operators: [{id: o1, secret: 0123456789abcdef0123456789abcdef}]
trust:
  authors: [{id: a1, publicKey: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}]
  approvers: [{id: b1, publicKey: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}]
drain: {longestWait: 30s}
`

var _ = Describe("Parse", func() {
	It("reads valid settings and fills in defaults", func() {
		s, findings := config.Parse("node.yaml", []byte(valid))
		Expect(findings).To(BeEmpty())
		Expect(s.Drain.Timeout).To(Equal(30 * time.Second))
		Expect(s.Log.Level).To(Equal("info"))
		Expect(s.Limits.MaxInFlight).To(BeNumerically(">", 0))
	})

	// Guards against a check that stops at the first problem, so that an
	// operator has to correct a file one error at a time.
	It("reports every problem with its position", func() {
		broken := strings.NewReplacer(
			"callers: 127.0.0.1:7001", "callers: localhost",
			"operators: 127.0.0.1:7004", "operators: 127.0.0.1:7003",
			"id: n1, ", "",
			"fleet: [{id: f1, secret: 0123456789abcdef0123456789abcdef}]", "fleet: [{id: f1, secret: short}]",
		).Replace(valid)
		_, findings := config.Parse("node.yaml", []byte(broken))
		var lines []string
		for _, f := range findings {
			lines = append(lines, f.String())
		}
		Expect(lines).To(ConsistOf(
			HavePrefix("node.yaml:1:"),
			"node.yaml:3:12: listen.callers: \"localhost\" is not ip:port",
			"node.yaml:6:14: listen.operators: 127.0.0.1:7003 is already used by $.listen.targets",
			ContainSubstring("node.yaml:10:"),
		))
		Expect(strings.Join(lines, "\n")).NotTo(ContainSubstring("short}"))
	})

	// Guards against a percentage where a fraction is meant, which would double
	// the load of a service.
	It("rejects a ratio of second copies that is not between 0 and 1", func() {
		s, findings := config.Parse("node.yaml", []byte(valid+"hedging: {ratio: 0.05}\n"))
		Expect(findings).To(BeEmpty())
		Expect(s.Hedging.Ratio).To(Equal(0.05))
		_, findings = config.Parse("node.yaml", []byte(valid+"hedging: {ratio: 5}\n"))
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].String()).To(Equal("node.yaml:16:18: hedging.ratio: 5 is not between 0 and 1"))
	})

	It("rejects unknown fields and malformed YAML with their position", func() {
		_, findings := config.Parse("node.yaml", []byte(valid+"drian: {}\n"))
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].String()).To(SatisfyAll(HavePrefix("node.yaml:16:1:"), ContainSubstring("drian")))
		_, findings = config.Parse("node.yaml", []byte("node: [\n"))
		Expect(findings).NotTo(BeEmpty())
	})

	// Guards against a decoder that stops at the first error, and against
	// findings that print a secret written into the wrong field.
	It("reports all unknown fields with similar names and all wrong types, without values", func() {
		broken := strings.NewReplacer(
			"callers: 127.0.0.1:7001", "caller: 127.0.0.1:7001",
			"peers: [127.0.0.1:7102]", "peers: 127.0.0.1:7102",
			"id: f1, secret: 0123456789abcdef0123456789abcdef", "id: f1, secret: 123456789",
			"operators: [{id: o1, secret: 0123456789abcdef0123456789abcdef}]", "operators: [sesame]",
			"longestWait: 30s", "longestWait: 30, longestwait: 1s",
		).Replace(valid) + "limits: {inFlight: many}\nlog:\n"
		_, findings := config.Parse("node.yaml", []byte(broken))
		var lines []string
		for _, f := range findings {
			lines = append(lines, f.String())
		}
		Expect(lines).To(Equal([]string{
			"node.yaml:3:3: listen.callers: a value is needed",
			"node.yaml:3:3: unknown field caller; did you mean callers?",
			"node.yaml:7:8: peers: want a list, found something else",
			"node.yaml:10:28: secret: want a string (quote it if it looks like a number), found something else",
			"node.yaml:11:15: entry of operators: want named fields, found something else",
			`node.yaml:15:22: longestWait: invalid duration "30": want a number with a unit, such as 1.5s or 200ms`,
			"node.yaml:15:26: unknown field longestwait; did you mean longestWait?",
			"node.yaml:16:20: inFlight: want a whole number in range, found something else",
		}))
	})
})
