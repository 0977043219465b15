package ingress_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/ingress"
)

// slowReader is a caller that reads nothing of its answer until it is released.
type slowReader struct {
	*httptest.ResponseRecorder
	started, released chan struct{}
	once              *sync.Once
}

func (s slowReader) Write(p []byte) (int, error) {
	s.once.Do(func() { s.started <- struct{}{} })
	<-s.released
	return s.ResponseRecorder.Write(p)
}

var _ = Describe("Held bytes", func() {
	const limit = 1 << 20

	// Guards against a node that exceeds its memory because thousands of callers
	// read their answers slowly, and against answers that are then lost. What
	// exceeds the limit is passed on at the pace of its callers.
	It("stay below the limit with 2,000 slow readers, all of which get their whole answer", func() {
		const readers = 2000
		body := strings.Repeat("x", 48<<10)
		s := newTestIngressWith(func(c *ingress.Config) { c.HeldBytes, c.InFlight = limit, readers }, answered(body))
		started, released := make(chan struct{}, readers), make(chan struct{})
		recorders := make([]*httptest.ResponseRecorder, readers)
		var done sync.WaitGroup
		for i := range readers {
			recorders[i] = httptest.NewRecorder()
			done.Go(func() {
				defer GinkgoRecover()
				req := httptest.NewRequest("GET", "/kits/1", nil)
				req.Header.Set("Siskinvale-Service", "booking")
				req.Header.Set("Siskinvale-Tenant", fmt.Sprint("tenant-", i))
				s.in.ServeHTTP(slowReader{recorders[i], started, released, &sync.Once{}}, req)
			})
			// One request at a time, so that none misses its deadline before its
			// answer has begun.
			select {
			case <-started:
			case <-time.After(10 * time.Second):
				Fail("a request was not answered")
			}
			Expect(s.in.HeldBytes()).To(BeNumerically("<=", limit))
		}
		Expect(s.in.HeldBytes()).To(BeNumerically(">", limit/2))
		close(released)
		done.Wait()
		for _, r := range recorders {
			Expect(r.Body.Len()).To(Equal(len(body)))
		}
		Expect(s.in.HeldBytes()).To(BeZero())
	})

	// Guards against request bodies that fill the memory of a node, and against
	// a refusal that comes after the body was read.
	It("refuse a body that does not fit before any of it is read", func() {
		s := newTestIngressWith(func(c *ingress.Config) { c.HeldBytes = 8 }, answered("ok"))
		body := strings.NewReader("123456789")
		req := httptest.NewRequest("POST", "/notes", body)
		req.Header.Set("Siskinvale-Service", "booking")
		w := httptest.NewRecorder()
		s.in.ServeHTTP(w, req)
		Expect(w.Code).To(Equal(503))
		Expect(w.Header().Get("Siskinvale-Outcome")).To(Equal("not-run"))
		Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(body.Len()).To(Equal(9))
		Expect(s.send("POST", "/notes", "12345678").Code).To(Equal(200))
		Expect(s.in.HeldBytes()).To(BeZero())
	})
})
