package link_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// endlessBody counts the bytes that are read from it.
type endlessBody struct{ read *atomic.Int64 }

func (b endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (endlessBody) Close() error { return nil }

var _ = Describe("Answers that nobody reads", func() {
	// Guards against an ingress that runs out of memory because the link buffers
	// answers without end for callers that read slowly. The smallest VMs have
	// 184 MB, a quarter of which is for bodies.
	It("take no more memory than a node has for bodies, and delay no other answer", func() {
		const answers, bodyMemory = 100, 184 << 20 / 4
		var read atomic.Int64
		peer := startPeer(link.NewHandler(newKeys(), forwarderFunc(func(_ context.Context, call *link.Call) *link.Reply {
			reply := &link.Reply{AttemptID: call.AttemptID, Outcome: fleet.Answered, Status: http.StatusOK, Body: endlessBody{&read}, ContentLength: -1}
			if call.Path == "/short" {
				reply.Body, reply.ContentLength = io.NopCloser(io.LimitReader(endlessBody{new(atomic.Int64)}, 1<<20)), 1<<20
			}
			return reply
		}), func(string, error) { Fail("refused credentials") }))
		remote := &link.Remote{Self: "n1", Pool: link.NewPool(link.DefaultConfig()), Keys: newKeys()}
		DeferCleanup(remote.Pool.Close)
		for range answers {
			reply := remote.Forward(context.Background(), peer, fleet.Short, newCall())
			Expect(reply.Outcome).To(Equal(fleet.Answered))
			DeferCleanup(reply.Body.Close)
		}
		Eventually(func() bool {
			before := read.Load()
			time.Sleep(200 * time.Millisecond)
			return read.Load() == before
		}, "20s").Should(BeTrue(), "the link stops reading")
		Expect(read.Load()).To(BeNumerically("<", bodyMemory))

		call := newCall()
		call.Path = "/short"
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		reply := remote.Forward(ctx, peer, fleet.Short, call)
		defer reply.Body.Close()
		Expect(io.Copy(io.Discard, reply.Body)).To(BeEquivalentTo(1 << 20))
	})
})
