package event_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/event"
)

var _ = Describe("Log volume", func() {
	// Guards against a log volume that grows with the request rate.
	It("limits the lines of one event and reports how many were suppressed", func() {
		var out bytes.Buffer
		base := logrus.New()
		base.SetOutput(&out)
		base.SetFormatter(&logrus.JSONFormatter{})
		l := event.NewLogger(base, nil)
		started := time.Now()
		const calls = 20_000
		for i := range calls {
			l.Log(event.RequestRefused, event.Fields{"request": fmt.Sprint(i)})
		}
		maxLines := event.LinesBurst + int(time.Since(started).Seconds()*event.LinesPerSecond) + 1
		lines := strings.Count(out.String(), "\n")
		Expect(lines).To(BeNumerically("<=", maxLines))
		Expect(l.Dropped()).To(Equal(uint64(calls - lines)))
		Eventually(func() string {
			out.Reset()
			l.Log(event.RequestRefused, nil)
			return out.String()
		}, "2s", "50ms").Should(ContainSubstring(`"leftOut":`))
	})

	// Guards against requests that block on a log line because the pipe behind
	// the log is full.
	It("does not block when the reader of the log does not read", func() {
		reader, pipe := io.Pipe()
		w := event.NewWriter(pipe)
		line := []byte("line\n")
		started := time.Now()
		const lines = 100_000
		for range lines {
			_, err := w.Write(line)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
		Expect(w.Dropped()).To(BeNumerically(">", lines/2))
		Expect(reader.Close()).To(Succeed())
		w.Close(time.Second)
	})
})
