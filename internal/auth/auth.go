// Package auth authenticates nodes and operators to a node.
//
// Nodes share fleet keys and operators share operator keys, both from the
// settings. HTTP requests carry a JWT (RFC 7519, HS256) that is valid for one
// minute. UDP packets carry an HMAC-SHA256 tag. Several keys can be accepted at
// once and the first one signs, so that keys can be replaced without downtime.
package auth

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

const (
	// TokenLifetime is how long a token is valid.
	TokenLifetime = time.Minute
	// tokenReuse is how long a signed token is reused for further requests. It
	// is well below TokenLifetime, so that no token expires in flight.
	tokenReuse = 20 * time.Second
	// maxClockSkew is the accepted difference between the clocks of two nodes.
	maxClockSkew = 10 * time.Second
	// MinSecretBytes is the length of the shortest accepted secret in bytes,
	// the minimum key size of HS256 in RFC 7518 section 3.2.
	MinSecretBytes = 32
	// TagSize is the length of a packet's tag in bytes.
	TagSize = sha256.Size
	// maxVerifiedTokens bounds the number of cached verified tokens.
	maxVerifiedTokens = 8192
)

// Audiences of tokens.
const (
	AudiencePeer     = "siskinvale-peer"
	AudienceOperator = "siskinvale-operator"
)

// ErrUnauthenticated is returned for a request without a valid token and for a
// packet without a valid tag.
var ErrUnauthenticated = errors.New("not authenticated")

// Key is a shared secret with its identifier. Printing a Key does not show the
// secret.
type Key struct {
	ID     string
	Secret Secret
}

// Secret holds key material that must not be printed.
type Secret string

// String returns a placeholder in place of the secret.
func (Secret) String() string { return "(hidden)" }

// GoString returns a placeholder for the verb %#v.
func (Secret) GoString() string { return "(hidden)" }

// MarshalText returns a placeholder for encoders such as JSON.
func (Secret) MarshalText() ([]byte, error) { return []byte("(hidden)"), nil }

// Keys is a set of keys for one audience. It signs with the first key and
// accepts signatures of every key. It is safe for concurrent use.
type Keys struct {
	audience string
	// unauthenticated disables signing and verification. It is set by
	// NewUnauthenticated.
	unauthenticated bool
	mu              sync.Mutex
	keys            []Key
	token           string
	signedAt        time.Time
	verified        map[string]verifiedToken
}

type verifiedToken struct {
	subject string
	expires time.Time
}

// NewKeys returns the keys for one audience. It returns an error if keys is
// empty or a secret is shorter than MinSecretBytes.
func NewKeys(audience string, keys []Key) (*Keys, error) {
	k := &Keys{audience: audience}
	if err := k.Replace(keys); err != nil {
		return nil, err
	}
	return k, nil
}

// NewUnauthenticated returns keys that sign nothing and accept every request
// and packet. They are for deployments without a shared secret, whose network
// admits only the fleet's own VMs.
func NewUnauthenticated(audience string) *Keys {
	return &Keys{audience: audience, unauthenticated: true}
}

// Replace replaces all keys at once, for example after the settings were read
// again. It returns an error and keeps the old keys if keys is empty or a
// secret is shorter than MinSecretBytes. Keys from NewUnauthenticated accept an
// empty list, which changes nothing.
func (k *Keys) Replace(keys []Key) error {
	if k.unauthenticated && len(keys) == 0 {
		return nil
	}
	if len(keys) == 0 {
		return errors.New("at least one key is required")
	}
	for _, key := range keys {
		if len(key.Secret) < MinSecretBytes {
			return fmt.Errorf("secret of key %q is %d bytes long; at least %d are required", key.ID, len(key.Secret), MinSecretBytes)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = append([]Key(nil), keys...)
	k.token = ""
	k.verified = make(map[string]verifiedToken)
	return nil
}

// Token returns a signed token for subject. A token that was signed less than
// tokenReuse ago is returned again, so subject must not vary between calls.
func (k *Keys) Token(subject string, now time.Time) (string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.token != "" && now.Sub(k.signedAt) < tokenReuse && !now.Before(k.signedAt) {
		return k.token, nil
	}
	claims := jwt.RegisteredClaims{
		Subject:   subject,
		Audience:  jwt.ClaimStrings{k.audience},
		IssuedAt:  jwt.NewNumericDate(now),
		ExpiresAt: jwt.NewNumericDate(now.Add(TokenLifetime)),
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims)
	token.Header["kid"] = k.keys[0].ID
	signed, err := token.SignedString([]byte(k.keys[0].Secret))
	if err != nil {
		return "", fmt.Errorf("sign token: %w", err)
	}
	k.token, k.signedAt = signed, now
	return signed, nil
}

// Sign sets the Authorization header of h to a token for subject.
func (k *Keys) Sign(h http.Header, subject string, now time.Time) error {
	if k.unauthenticated {
		return nil
	}
	token, err := k.Token(subject, now)
	if err != nil {
		return err
	}
	h.Set("Authorization", "Bearer "+token)
	return nil
}

// Verify checks the Authorization header of a request and returns the subject
// of its token, which is empty for keys from NewUnauthenticated. The error
// wraps ErrUnauthenticated.
func (k *Keys) Verify(h http.Header, now time.Time) (subject string, err error) {
	if k.unauthenticated {
		return "", nil
	}
	raw, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return "", fmt.Errorf("%w: no bearer token", ErrUnauthenticated)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if v, ok := k.verified[raw]; ok && now.Before(v.expires) {
		return v.subject, nil
	}
	var claims jwt.RegisteredClaims
	_, err = jwt.ParseWithClaims(raw, &claims, k.secret,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithAudience(k.audience),
		jwt.WithExpirationRequired(),
		jwt.WithLeeway(maxClockSkew),
		jwt.WithTimeFunc(func() time.Time { return now }))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnauthenticated, err)
	}
	if len(k.verified) >= maxVerifiedTokens {
		clear(k.verified)
	}
	k.verified[raw] = verifiedToken{subject: claims.Subject, expires: claims.ExpiresAt.Time}
	return claims.Subject, nil
}

// secret returns the secret of the key that a token names in its kid header.
// The caller holds k.mu.
func (k *Keys) secret(token *jwt.Token) (any, error) {
	id, _ := token.Header["kid"].(string)
	for _, key := range k.keys {
		if key.ID == id {
			return []byte(key.Secret), nil
		}
	}
	return nil, fmt.Errorf("unknown key %q", id)
}

// Seal appends a tag to packet.
func (k *Keys) Seal(packet []byte) []byte {
	if k.unauthenticated {
		return packet
	}
	k.mu.Lock()
	secret := k.keys[0].Secret
	k.mu.Unlock()
	return append(packet, tag(secret, packet)...)
}

// Open checks and removes the tag of a sealed packet. The error is
// ErrUnauthenticated.
func (k *Keys) Open(sealed []byte) ([]byte, error) {
	if k.unauthenticated {
		return sealed, nil
	}
	if len(sealed) < TagSize {
		return nil, ErrUnauthenticated
	}
	packet, received := sealed[:len(sealed)-TagSize], sealed[len(sealed)-TagSize:]
	k.mu.Lock()
	keys := k.keys
	k.mu.Unlock()
	for _, key := range keys {
		if hmac.Equal(received, tag(key.Secret, packet)) {
			return packet, nil
		}
	}
	return nil, ErrUnauthenticated
}

func tag(secret Secret, packet []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(packet)
	return mac.Sum(nil)
}
