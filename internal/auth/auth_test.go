package auth_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/auth"
)

func TestAuth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "auth")
}

func newKeys(audience string, ids ...string) *auth.Keys {
	var keys []auth.Key
	for _, id := range ids {
		keys = append(keys, auth.Key{ID: id, Secret: auth.Secret(strings.Repeat(id, auth.MinSecretBytes))})
	}
	k, err := auth.NewKeys(audience, keys)
	Expect(err).NotTo(HaveOccurred())
	return k
}

var _ = Describe("Keys", func() {
	now := time.Unix(1_800_000_000, 0)

	// Guards against locking out nodes that still sign with the old key while
	// keys are replaced.
	It("accepts tokens and packets signed with any configured key", func() {
		older, newer := newKeys(auth.AudiencePeer, "a"), newKeys(auth.AudiencePeer, "b", "a")
		h := http.Header{}
		Expect(older.Sign(h, "node-1", now)).To(Succeed())
		Expect(newer.Verify(h, now)).To(Equal("node-1"))
		Expect(newer.Open(older.Seal([]byte("ping")))).To(Equal([]byte("ping")))
	})

	// Guards against an operator's token being accepted from a peer.
	It("refuses a token of another audience, of another key, or that has expired", func() {
		h := http.Header{}
		Expect(newKeys(auth.AudienceOperator, "a").Sign(h, "op", now)).To(Succeed())
		peer := newKeys(auth.AudiencePeer, "a")
		_, err := peer.Verify(h, now)
		Expect(err).To(MatchError(auth.ErrUnauthenticated))

		Expect(peer.Sign(h, "node-1", now)).To(Succeed())
		_, err = newKeys(auth.AudiencePeer, "c").Verify(h, now)
		Expect(err).To(MatchError(auth.ErrUnauthenticated))
		Expect(peer.Verify(h, now)).To(Equal("node-1"))
		_, err = peer.Verify(h, now.Add(2*auth.TokenLifetime))
		Expect(err).To(MatchError(auth.ErrUnauthenticated))
	})

	It("refuses a packet that was modified or is shorter than a tag", func() {
		k := newKeys(auth.AudiencePeer, "a")
		sealed := k.Seal([]byte("ping"))
		sealed[0] ^= 1
		_, err := k.Open(sealed)
		Expect(err).To(MatchError(auth.ErrUnauthenticated))
		_, err = k.Open([]byte("x"))
		Expect(err).To(MatchError(auth.ErrUnauthenticated))
	})

	// Guards against key material in logs.
	It("never prints a secret", func() {
		key := auth.Key{ID: "a", Secret: auth.Secret(strings.Repeat("s", auth.MinSecretBytes))}
		Expect(fmt.Sprintf("%v %+v %#v", key, key, key)).NotTo(ContainSubstring("sss"))
	})

	It("refuses short secrets and empty key lists", func() {
		_, err := auth.NewKeys(auth.AudiencePeer, []auth.Key{{ID: "a", Secret: "short"}})
		Expect(err).To(MatchError(ContainSubstring("at least 32")))
		_, err = auth.NewKeys(auth.AudiencePeer, nil)
		Expect(err).To(HaveOccurred())
	})
})
