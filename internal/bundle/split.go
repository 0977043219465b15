package bundle

import (
	"bytes"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPiece is the largest piece in bytes. Four of them fit the platform's
	// largest value (1 MB) and one peer answer.
	MaxPiece = 256 << 10
	// averagePiece is the mean piece size in bytes. A change transfers about
	// one piece and the manifest, which holds 67 bytes per piece. For a bundle
	// of 2 MB the sum is smallest near sqrt(2 MB * 67) = 12 KB.
	averagePiece = 16 << 10
	// minPiece bounds the number of pieces and thereby the manifest.
	minPiece = 1 << 10
	// cutWindow is how many bytes before a line end decide whether the content
	// is cut there. It covers several lines, because single lines of a bundle
	// repeat often.
	cutWindow = 160
)

// Split cuts content into pieces of at most MaxPiece bytes. Cuts are at line
// ends and depend only on the content shortly before them, so that a small
// change leaves all other pieces as they were. A line longer than MaxPiece is
// cut inside. Joining the pieces gives the content again.
func Split(content []byte) [][]byte {
	var pieces [][]byte
	start := 0
	for start < len(content) {
		end := start + pieceLength(content[start:])
		pieces = append(pieces, content[start:end:end])
		start = end
	}
	return pieces
}

// pieceLength returns the length of the first piece of content.
func pieceLength(content []byte) int {
	if len(content) <= minPiece {
		return len(content)
	}
	limit := min(len(content), MaxPiece)
	line, lastEnd := 0, 0
	for {
		n := bytes.IndexByte(content[line:limit], '\n')
		if n < 0 {
			break
		}
		end := line + n + 1
		if end >= minPiece && isCut(content[max(0, end-cutWindow):end], end-line) {
			return end
		}
		line, lastEnd = end, end
	}
	if limit == len(content) {
		return limit
	}
	if lastEnd >= minPiece {
		return lastEnd
	}
	return limit
}

// isCut decides with a probability in proportion to the length of the last
// line, so that the mean piece size does not depend on the length of lines.
func isCut(window []byte, line int) bool {
	if line >= averagePiece {
		return true
	}
	return xxhash.Sum64(window) < math.MaxUint64/averagePiece*uint64(line)
}
