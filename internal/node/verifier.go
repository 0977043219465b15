package node

import (
	"crypto/ed25519"
	"sync/atomic"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/config"
	"siskinvale.dev/siskinvale/internal/rollout"
)

// verifier checks envelopes against the public keys in the settings. It
// implements rollout.Verifier.
//
// Its reader keeps the parsed services of the last bundle, so that the control
// goroutine parses only the changed services of a new version and not the whole
// document.
type verifier struct {
	keyring atomic.Pointer[bundle.Keyring]
	reader  bundle.IncrementalParser // used only by the control goroutine
}

func newVerifier(t config.Trust) (*verifier, error) {
	v := &verifier{}
	return v, v.replace(t)
}

func (v *verifier) replace(t config.Trust) error {
	authors, err := publicKeys(t.Authors)
	if err != nil {
		return err
	}
	approvers, err := publicKeys(t.Approvers)
	if err != nil {
		return err
	}
	v.keyring.Store(&bundle.Keyring{Authors: authors, Approvers: approvers})
	return nil
}

func publicKeys(keys []config.PublicKey) (map[string]ed25519.PublicKey, error) {
	out := make(map[string]ed25519.PublicKey, len(keys))
	for _, k := range keys {
		key, err := k.Decode()
		if err != nil {
			return nil, err
		}
		out[k.ID] = key
	}
	return out, nil
}

// bundleVerifier returns the verifier that decides which bundles may come into
// force.
func (n *Node) bundleVerifier() rollout.Verifier {
	if n.adapter != nil {
		return unsignedVerifier{n.adapter}
	}
	return n.verifier
}

// seeds returns the peer addresses at which membership starts probing.
func (n *Node) seeds() []string {
	s := n.settings.Load()
	if s.Deployment == nil {
		return s.Peers
	}
	return append(seedPeers(s.Deployment.Seeds, s.Listen.Peers), s.Peers...)
}

// Verify checks the signatures of an encoded envelope and returns the contents
// of its manifest.
func (v *verifier) Verify(encoded []byte) (version uint64, digest string, pieces []string, err error) {
	e, err := bundle.DecodeEnvelope(encoded)
	if err != nil {
		return 0, "", nil, err
	}
	if err := e.Verify(*v.keyring.Load()); err != nil {
		return 0, "", nil, err
	}
	return e.Manifest.Version, e.Manifest.Digest, e.Manifest.Pieces, nil
}

// Assemble joins the pieces and parses the bundle. The result is a
// *bundle.Bundle.
func (v *verifier) Assemble(encoded []byte, pieces map[string][]byte) (any, error) {
	e, err := bundle.DecodeEnvelope(encoded)
	if err != nil {
		return nil, err
	}
	b, _, err := e.OpenWith(&v.reader, *v.keyring.Load(), pieces)
	if err != nil {
		return nil, err
	}
	return b, nil
}
