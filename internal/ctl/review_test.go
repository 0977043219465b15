package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/lint"
)

var _ = Describe("bundle review", func() {
	var o *operator
	write := func(name, content string) string {
		Expect(os.WriteFile(o.path(name), []byte(content), 0o644)).To(Succeed())
		return o.path(name)
	}
	example := func() string {
		content, err := os.ReadFile("../../examples/regie.yaml")
		Expect(err).NotTo(HaveOccurred())
		return string(content)
	}
	BeforeEach(func() { o = newOperator(newFakeStore()) })

	// Guards against a program that rolls out a bundle with findings because
	// the exit code does not tell them apart from wrong usage.
	It("exits with 0 without findings, 1 with findings and 2 on wrong usage", func() {
		sound := write("sound.yaml", example())
		Expect(o.run("bundle", "review", sound)).To(Equal(ExitOK), o.stdout.String())
		large := write("large.yaml", regexp.MustCompile(`maxBody: \d+`).ReplaceAllString(example(), "maxBody: 1073741824"))
		Expect(o.run("bundle", "review", large)).To(Equal(ExitOK), o.stdout.String())
		Expect(o.run("bundle", "review", large, "--node-memory", "184")).To(Equal(ExitRefused))
		Expect(o.stdout.String()).To(ContainSubstring(lint.RuleBody))
		Expect(o.run("bundle", "review", o.path("missing.yaml"))).To(Equal(ExitUsage))
		Expect(o.run("bundle", "review", write("broken.yaml", strings.Replace(example(), "floor: 6", "floor: six", 1)))).To(Equal(ExitRefused))
		Expect(o.stdout.String()).To(MatchRegexp(`broken\.yaml:\d+:\d+: `))
	})

	// Guards against a version that can never come into force, and against
	// changes that are shown in the wrong direction.
	It("shows what changes against the version in force", func() {
		before := write("before.yaml", example())
		Expect(o.run("bundle", "review", before, "--against", before)).To(Equal(ExitRefused))
		Expect(o.stdout.String()).To(ContainSubstring("version 1 is not above version 1 in force"))
		after := strings.Replace(strings.Replace(example(), "version: 1\n", "version: 2\n", 1), "attempts: 3", "attempts: 2", 1)
		Expect(after).To(ContainSubstring("attempts: 2"))
		Expect(o.run("bundle", "review", write("after.yaml", after), "--against", before, "--output", "json")).To(Equal(ExitOK))
		var result reviewResult
		Expect(json.Unmarshal(o.stdout.Bytes(), &result)).To(Succeed())
		Expect(result.Errors).To(BeEmpty())
		Expect(result.Effects).To(ConsistOf(HaveField("Message", "a request is sent to up to 2 targets instead of 3")))
	})

	// Guards against faults of a platform's document of which only the first is
	// shown.
	It("lists all faults of a document in the platform's format", func() {
		env := o.env()
		env.ParseConfiguration = func([]byte) (*bundle.Bundle, error) {
			return nil, errors.Join(errors.New("route a"), fmt.Errorf("tenants: %w", errors.Join(errors.New("b"), errors.New("c"))))
		}
		args := []string{"bundle", "review", write("main.json", "{}"), "--format", "configuration"}
		Expect(run(&app{Env: env}, args)).To(Equal(ExitRefused))
		Expect(strings.Count(o.stdout.String(), "error: ")).To(Equal(3))
		o.stdout.Reset()
		Expect(run(&app{Env: o.env()}, args)).To(Equal(ExitUsage))
	})
})
