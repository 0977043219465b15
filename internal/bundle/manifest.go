package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strconv"
)

// Errors of manifests and envelopes. Returned errors wrap them.
var (
	// ErrContent means that a manifest or the content is invalid, or that the
	// content does not match the manifest.
	ErrContent = errors.New("bundle content does not match its manifest")
	// ErrSignature means that a signature is missing, does not verify or is not
	// allowed.
	ErrSignature = errors.New("bundle is not properly signed")
	// ErrFormat means that an encoded envelope or key is malformed.
	ErrFormat = errors.New("malformed")
)

// Manifest identifies the content of one bundle version.
type Manifest struct {
	Version uint64 `json:"version"`
	// Digest is the SHA-256 of the whole content in hexadecimal.
	Digest string `json:"digest"`
	// Size is the length of the content in bytes.
	Size int64 `json:"size"`
	// Pieces lists the names of the pieces in order. A name is the SHA-256 of
	// the piece in hexadecimal.
	Pieces []string `json:"pieces"`
}

// PieceName returns the name of a piece: its SHA-256 in hexadecimal.
func PieceName(piece []byte) string {
	sum := sha256.Sum256(piece)
	return hex.EncodeToString(sum[:])
}

// NewManifest returns the manifest of content, with the given bundle version,
// and the pieces of content by name. It does not parse content.
func NewManifest(version uint64, content []byte) (Manifest, map[string][]byte) {
	m := Manifest{Version: version, Digest: PieceName(content), Size: int64(len(content)), Pieces: []string{}}
	pieces := make(map[string][]byte)
	for _, piece := range Split(content) {
		name := PieceName(piece)
		m.Pieces = append(m.Pieces, name)
		pieces[name] = piece
	}
	return m, pieces
}

var digestFormat = regexp.MustCompile(`^[0-9a-f]{64}$`)

// check returns an error that wraps ErrContent for a manifest that no content
// can match. It runs before anything is fetched or allocated for the manifest.
func (m Manifest) check() error {
	switch {
	case m.Version == 0:
		return fmt.Errorf("%w: version 0", ErrContent)
	case m.Size <= 0 || m.Size > MaxSize:
		return fmt.Errorf("%w: size %d is not in 1..%d", ErrContent, m.Size, MaxSize)
	case len(m.Pieces) == 0 || int64(len(m.Pieces)) > m.Size/minPieceSize+1:
		return fmt.Errorf("%w: invalid number of pieces: %d for %d bytes", ErrContent, len(m.Pieces), m.Size)
	case !digestFormat.MatchString(m.Digest):
		return fmt.Errorf("%w: invalid digest %s", ErrContent, strconv.Quote(m.Digest))
	}
	for _, name := range m.Pieces {
		if !digestFormat.MatchString(name) {
			return fmt.Errorf("%w: invalid piece name %s", ErrContent, strconv.Quote(name))
		}
	}
	return nil
}

// Join verifies the pieces and returns the content that they form. The error
// wraps ErrContent.
func (m Manifest) Join(pieces map[string][]byte) ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	content := make([]byte, 0, m.Size)
	for _, name := range m.Pieces {
		piece, ok := pieces[name]
		if !ok {
			return nil, fmt.Errorf("%w: piece %s is missing", ErrContent, name)
		}
		if PieceName(piece) != name {
			return nil, fmt.Errorf("%w: piece %s is damaged", ErrContent, name)
		}
		if int64(len(content)+len(piece)) > m.Size {
			return nil, fmt.Errorf("%w: content is longer than %d bytes", ErrContent, m.Size)
		}
		content = append(content, piece...)
	}
	if int64(len(content)) != m.Size || PieceName(content) != m.Digest {
		return nil, fmt.Errorf("%w: size or digest of the content differs", ErrContent)
	}
	return content, nil
}
