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
	// ErrContent means that the content is not the one of the manifest.
	ErrContent = errors.New("bundle content does not match its manifest")
	// ErrSignature means that a signature is missing, wrong or not allowed.
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
	// Pieces names the pieces in order; a name is the SHA-256 of the piece in
	// hexadecimal.
	Pieces []string `json:"pieces"`
}

// PieceName returns the name of a piece.
func PieceName(piece []byte) string {
	sum := sha256.Sum256(piece)
	return hex.EncodeToString(sum[:])
}

// NewManifest describes content, whose version is version, and returns its
// pieces by name.
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

// check refuses manifests that no content can match, before anything is
// fetched or allocated for them.
func (m Manifest) check() error {
	switch {
	case m.Version == 0:
		return fmt.Errorf("%w: version 0", ErrContent)
	case m.Size <= 0 || m.Size > MaxSize:
		return fmt.Errorf("%w: size %d is not in 1..%d", ErrContent, m.Size, MaxSize)
	case len(m.Pieces) == 0 || int64(len(m.Pieces)) > m.Size/minPiece+1:
		return fmt.Errorf("%w: %d pieces for %d bytes", ErrContent, len(m.Pieces), m.Size)
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

// Join verifies the pieces and returns the content. The error wraps
// ErrContent.
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
			return nil, fmt.Errorf("%w: longer than %d bytes", ErrContent, m.Size)
		}
		content = append(content, piece...)
	}
	if int64(len(content)) != m.Size || PieceName(content) != m.Digest {
		return nil, fmt.Errorf("%w: size or digest differs", ErrContent)
	}
	return content, nil
}
