package config_test

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/config"
)

var _ = Describe("Watch", func() {
	// Guards against changes without a signal that go unnoticed, and against
	// wrong notifications while a file is missing during its replacement.
	It("reports changes of the file, but not its removal", func(ctx context.Context) {
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		write := func(content string) {
			Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		}
		write("a")
		var changes atomic.Int64
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go config.Watch(ctx, path, 5*time.Millisecond, func() { changes.Add(1) })
		Consistently(changes.Load, "50ms").Should(BeZero())
		write("longer")
		Eventually(changes.Load).Should(Equal(int64(1)))
		Expect(os.Remove(path)).To(Succeed())
		Consistently(changes.Load, "50ms").Should(Equal(int64(1)))
		write("the third one")
		Eventually(changes.Load).Should(Equal(int64(2)))
	}, SpecTimeout(10*time.Second))
})
