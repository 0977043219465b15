package event_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

const docs = "../../docs"

var _ = Describe("Catalogue", func() {
	// Guards against events that are not documented.
	It("equals docs/events.md", func() {
		file := filepath.Join(docs, "events.md")
		if os.Getenv("SISKINVALE_UPDATE") == "1" {
			Expect(os.WriteFile(file, []byte(event.Markdown()), 0o644)).To(Succeed())
		}
		content, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal(event.Markdown()), "run the test with SISKINVALE_UPDATE=1")
	})

	It("has unique names, numbers in a known group and messages", func() {
		names := make(map[string]int)
		for _, e := range event.All() {
			Expect(names).NotTo(HaveKey(e.Name))
			names[e.Name] = e.Number
			Expect(e.Number).To(And(BeNumerically(">=", 1000), BeNumerically("<", 7000)))
			Expect(e.Message).NotTo(BeEmpty())
		}
	})

	// Guards against alarms without instructions for the operator.
	It("has a page with instructions for each alarm, and no page without an alarm", func() {
		alarmPages := make(map[string]bool)
		for _, e := range event.All() {
			if !e.Alarm {
				continue
			}
			alarmPages[e.AlarmPage()] = true
			content, err := os.ReadFile(filepath.Join(docs, "operations", e.AlarmPage()))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(content)).To(HavePrefix(fmt.Sprintf("# Alarm %d: %s\n", e.Number, e.Name)))
			checkSections(e, string(content))
		}
		pages, err := filepath.Glob(filepath.Join(docs, "operations", "alarm-*.md"))
		Expect(err).NotTo(HaveOccurred())
		for _, page := range pages {
			Expect(alarmPages).To(HaveKey(filepath.Base(page)))
		}
	})
})

// link matches the target of a Markdown link.
var link = regexp.MustCompile(`\]\(([^)\s]+)\)`)

var _ = Describe("Documentation", func() {
	// Guards against links to pages that were moved or removed or never existed.
	It("has no relative link to a missing file", func() {
		pages := []string{filepath.Join(docs, "..", "README.md")}
		Expect(filepath.WalkDir(docs, func(path string, _ os.DirEntry, err error) error {
			if filepath.Ext(path) == ".md" {
				pages = append(pages, path)
			}
			return err
		})).To(Succeed())
		Expect(len(pages)).To(BeNumerically(">", 10))
		var missing []string
		for _, page := range pages {
			content, err := os.ReadFile(page)
			Expect(err).NotTo(HaveOccurred())
			for _, match := range link.FindAllStringSubmatch(string(content), -1) {
				target, _, _ := strings.Cut(match[1], "#")
				if target == "" || strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
					continue
				}
				if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
					missing = append(missing, page+": "+match[1])
				}
			}
		}
		Expect(missing).To(BeEmpty())
	})

	// Guards against pages that an operator cannot find from the index.
	It("lists every alarm and task page in the index of docs/operations", func() {
		index, err := os.ReadFile(filepath.Join(docs, "operations", "README.md"))
		Expect(err).NotTo(HaveOccurred())
		pages, err := filepath.Glob(filepath.Join(docs, "operations", "*.md"))
		Expect(err).NotTo(HaveOccurred())
		for _, page := range pages {
			if name := filepath.Base(page); name != "README.md" {
				Expect(string(index)).To(ContainSubstring("(" + name + ")"))
			}
		}
	})
})

// checkSections checks that an alarm's page has exactly the required sections,
// in order, and that none is empty.
func checkSections(e event.Event, content string) {
	GinkgoHelper()
	sections := strings.Split(content, "\n## ")[1:]
	Expect(sections).To(HaveLen(3), e.Name)
	for i, title := range []string{"What it means", "What to check", "What to do"} {
		text, ok := strings.CutPrefix(sections[i], title+"\n")
		Expect(ok).To(BeTrue(), "%s: section %q", e.Name, title)
		Expect(strings.TrimSpace(text)).NotTo(BeEmpty(), "%s: section %q", e.Name, title)
	}
}
