package bundle

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
)

// PEM block types and header names of key files.
const (
	privateKeyType = "PRIVATE KEY"
	publicKeyType  = "PUBLIC KEY"
	headerID       = "Key-Id"
	headerRole     = "Role"
)

// SigningKey is the private key of an author or approver.
type SigningKey struct {
	ID      string
	Role    string
	Private ed25519.PrivateKey
}

// Check returns an error that wraps ErrFormat if the identifier or the role is
// not one that a bundle can list.
func (k SigningKey) Check() error {
	if !keyIDFormat.MatchString(k.ID) {
		return fmt.Errorf("%w key identifier %q: use letters, digits and . _ @ -", ErrFormat, k.ID)
	}
	if k.Role != RoleAuthor && k.Role != RoleApprover {
		return fmt.Errorf("%w role %q: use %s or %s", ErrFormat, k.Role, RoleAuthor, RoleApprover)
	}
	return nil
}

// Public returns the public key.
func (k SigningKey) Public() ed25519.PublicKey {
	return k.Private.Public().(ed25519.PublicKey)
}

// EncodePrivate returns the key as PKCS #8 PEM (RFC 5958) with the identifier
// and the role as headers.
func (k SigningKey) EncodePrivate() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k.Private)
	if err != nil {
		return nil, fmt.Errorf("encode private key: %w", err)
	}
	return k.encodePEM(privateKeyType, der), nil
}

// EncodePublic returns the public key as PKIX PEM (RFC 5280) with the
// identifier and the role as headers.
func (k SigningKey) EncodePublic() ([]byte, error) {
	der, err := x509.MarshalPKIXPublicKey(k.Public())
	if err != nil {
		return nil, fmt.Errorf("encode public key: %w", err)
	}
	return k.encodePEM(publicKeyType, der), nil
}

func (k SigningKey) encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type: blockType, Bytes: der, Headers: map[string]string{headerID: k.ID, headerRole: k.Role},
	})
}

// DecodeSigningKey decodes the PEM that EncodePrivate returns. The error wraps
// ErrFormat and never contains key material.
func DecodeSigningKey(data []byte) (SigningKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != privateKeyType {
		return SigningKey{}, fmt.Errorf("%w key file: no PEM block of type %s", ErrFormat, privateKeyType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return SigningKey{}, fmt.Errorf("%w key file: not a PKCS #8 key", ErrFormat)
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return SigningKey{}, fmt.Errorf("%w key file: not an Ed25519 key", ErrFormat)
	}
	key := SigningKey{ID: block.Headers[headerID], Role: block.Headers[headerRole], Private: private}
	return key, key.Check()
}

// EncodePublicKey returns a public key as keyrings contain it: the standard
// base64 encoding of its 32 bytes.
func EncodePublicKey(key ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(key)
}

// DecodePublicKey decodes the base64 that EncodePublicKey returns. The error
// wraps ErrFormat.
func DecodePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("%w public key: want the base64 of %d bytes", ErrFormat, ed25519.PublicKeySize)
	}
	return key, nil
}
