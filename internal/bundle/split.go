package bundle

import (
	"bytes"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPieceBytes is the size of the largest piece. Four such pieces fit into
	// the largest platform value (1 MB) and into one answer of a peer.
	MaxPieceBytes = 256 << 10
	// averagePieceSize is the mean piece size in bytes. After a small change a
	// node fetches about one piece and the manifest, which holds 67 bytes per
	// piece. For a bundle of 2 MB the sum is smallest near
	// sqrt(2 MB * 67 B) = 12 KB.
	averagePieceSize = 16 << 10
	// minPieceSize is the smallest size in bytes of any piece but the last. It
	// bounds the number of pieces and thereby the size of the manifest.
	minPieceSize = 1 << 10
	// cutWindow is how many bytes before the end of a line determine whether
	// the content is cut there. It covers several lines, because single lines
	// of a bundle repeat often.
	cutWindow = 160
)

// Split cuts content into pieces of at most MaxPieceBytes bytes. Cuts are at
// line ends and depend only on the content shortly before them, so that a small
// change leaves most pieces unchanged. A line longer than MaxPieceBytes is cut
// within the line. The concatenated pieces are equal to content.
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
	if len(content) <= minPieceSize {
		return len(content)
	}
	limit := min(len(content), MaxPieceBytes)
	lineStart, lastLineEnd := 0, 0
	for {
		n := bytes.IndexByte(content[lineStart:limit], '\n')
		if n < 0 {
			break
		}
		end := lineStart + n + 1
		if end >= minPieceSize && isCutPoint(content[max(0, end-cutWindow):end], end-lineStart) {
			return end
		}
		lineStart, lastLineEnd = end, end
	}
	if limit == len(content) {
		return limit
	}
	if lastLineEnd >= minPieceSize {
		return lastLineEnd
	}
	return limit
}

// isCutPoint reports whether the content is cut after the line that ends the
// window. The hash of the window decides. The probability is proportional to
// the length of the line, so that the mean piece size does not depend on the
// lengths of the lines.
func isCutPoint(window []byte, lineLength int) bool {
	if lineLength >= averagePieceSize {
		return true
	}
	return xxhash.Sum64(window) < math.MaxUint64/averagePieceSize*uint64(lineLength)
}
