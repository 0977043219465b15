package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"slices"
)

// Roles of signers.
const (
	RoleAuthor   = "author"
	RoleApprover = "approver"
)

// signatureContext is the domain separator of manifest signatures: signatures
// that the same keys made for any other purpose do not verify.
const signatureContext = "siskinvale bundle manifest v1"

// Envelope is a signed manifest, in the form in which the platform stores it
// and peers send it.
type Envelope struct {
	Manifest   Manifest    `json:"manifest"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one Ed25519 signature over the manifest and the role.
type Signature struct {
	Role  string `json:"role"`
	KeyID string `json:"keyId"`
	Value []byte `json:"value"`
}

// Keyring holds the public keys that a node trusts, by identifier.
type Keyring struct {
	Authors   map[string]ed25519.PublicKey
	Approvers map[string]ed25519.PublicKey
}

// key returns the trusted public key with an identifier and a role. The error
// wraps ErrSignature.
func (k Keyring) key(role, id string) (ed25519.PublicKey, error) {
	keys := map[string]map[string]ed25519.PublicKey{RoleAuthor: k.Authors, RoleApprover: k.Approvers}[role]
	key, ok := keys[id]
	if !ok || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("%w: the keyring has no %s key %q", ErrSignature, role, id)
	}
	return key, nil
}

// message returns the bytes that a signer in the given role signs. Equal
// manifests have the same encoding, because the fields have a fixed order.
func (m Manifest) message(role string) ([]byte, error) {
	encoded, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	return slices.Concat([]byte(signatureContext+"\n"+role+"\n"), encoded), nil
}

// Sign adds the signature of a role and replaces an existing signature of that
// role. The error wraps ErrSignature for an unknown role and ErrContent for an
// invalid manifest.
func (e *Envelope) Sign(role, keyID string, key ed25519.PrivateKey) error {
	if role != RoleAuthor && role != RoleApprover {
		return fmt.Errorf("%w: unknown role %q", ErrSignature, role)
	}
	if err := e.Manifest.check(); err != nil {
		return err
	}
	message, err := e.Manifest.message(role)
	if err != nil {
		return err
	}
	e.Signatures = slices.DeleteFunc(e.Signatures, func(s Signature) bool { return s.Role == role })
	e.Signatures = append(e.Signatures, Signature{Role: role, KeyID: keyID, Value: ed25519.Sign(key, message)})
	return nil
}

// Verify checks that exactly one author and one approver, with different keys
// that the keyring holds for their roles, signed the manifest. The error wraps
// ErrSignature or ErrContent. Verify does not check whether the bundle itself
// lists these signers; Open does, because that check needs the content.
func (e *Envelope) Verify(k Keyring) error {
	if err := e.Manifest.check(); err != nil {
		return err
	}
	if len(e.Signatures) != 2 {
		return fmt.Errorf("%w: %d signatures; one author and one approver are needed", ErrSignature, len(e.Signatures))
	}
	keys := make(map[string]ed25519.PublicKey, 2)
	for _, s := range e.Signatures {
		key, err := k.key(s.Role, s.KeyID)
		if err != nil {
			return err
		}
		message, err := e.Manifest.message(s.Role)
		if err != nil {
			return err
		}
		if !ed25519.Verify(key, message, s.Value) {
			return fmt.Errorf("%w: the signature of %s %q is wrong", ErrSignature, s.Role, s.KeyID)
		}
		keys[s.Role] = key
	}
	if len(keys) != 2 {
		return fmt.Errorf("%w: both signatures have the same role", ErrSignature)
	}
	if keys[RoleAuthor].Equal(keys[RoleApprover]) {
		return fmt.Errorf("%w: author and approver use the same key", ErrSignature)
	}
	return nil
}

// VerifySigners checks that the bundle lists each signer in the role of its
// signature. The error wraps ErrSignature.
func (e *Envelope) VerifySigners(b *Bundle) error {
	for _, s := range e.Signatures {
		list := b.Signers.Authors
		if s.Role == RoleApprover {
			list = b.Signers.Approvers
		}
		if !slices.Contains(list, s.KeyID) {
			return fmt.Errorf("%w: the bundle does not list %q as %s", ErrSignature, s.KeyID, s.Role)
		}
	}
	return nil
}

// Open verifies signatures and pieces and returns the bundle and its content.
// The error wraps ErrSignature or ErrContent.
func (e *Envelope) Open(k Keyring, pieces map[string][]byte) (*Bundle, []byte, error) {
	return e.OpenWith(new(IncrementalParser), k, pieces)
}

// OpenWith does the same as Open with an IncrementalParser that may have parsed
// an earlier version, so that only changed services are parsed.
func (e *Envelope) OpenWith(p *IncrementalParser, k Keyring, pieces map[string][]byte) (*Bundle, []byte, error) {
	if err := e.Verify(k); err != nil {
		return nil, nil, err
	}
	content, err := e.Manifest.Join(pieces)
	if err != nil {
		return nil, nil, err
	}
	b, findings := p.Parse("bundle", content)
	if b == nil {
		return nil, nil, fmt.Errorf("%w: %d findings, first: %s", ErrContent, len(findings), findings[0])
	}
	if b.Version != e.Manifest.Version {
		return nil, nil, fmt.Errorf("%w: content has version %d, manifest has version %d", ErrContent, b.Version, e.Manifest.Version)
	}
	if err := e.VerifySigners(b); err != nil {
		return nil, nil, err
	}
	return b, content, nil
}

// Signer returns the key identifier of a role's signature, or "".
func (e *Envelope) Signer(role string) string {
	for _, s := range e.Signatures {
		if s.Role == role {
			return s.KeyID
		}
	}
	return ""
}

// Encode returns the envelope as JSON. Equal envelopes have equal encodings.
func (e *Envelope) Encode() ([]byte, error) {
	encoded, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode envelope: %w", err)
	}
	return append(encoded, '\n'), nil
}

// DecodeEnvelope decodes the JSON that Encode returns. It refuses any other
// encoding of the same envelope, so that equal envelopes have equal bytes. The
// error wraps ErrFormat.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w envelope: %w", ErrFormat, err)
	}
	reencoded, err := e.Encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, data) {
		return nil, fmt.Errorf("%w envelope: its JSON differs from the canonical encoding", ErrFormat)
	}
	return &e, nil
}

// SignedBy reports whether a signature of the given role verifies with key.
func (e *Envelope) SignedBy(role string, key ed25519.PublicKey) bool {
	message, err := e.Manifest.message(role)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(e.Signatures, func(s Signature) bool {
		return s.Role == role && ed25519.Verify(key, message, s.Value)
	})
}
