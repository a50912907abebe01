package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	minChunk = 4 << 10
	maxChunk = 64 << 10
	// chunkMask makes chunks of about 16 KB on average above the minimum.
	chunkMask = 1<<13 - 1
	// chunkHashBytes is enough to tell chunks apart; the whole content is
	// checked by its own full hash.
	chunkHashBytes = 16
)

// gear maps bytes to random words for the rolling hash.
var gear = func() [256]uint64 {
	var g [256]uint64
	for i := range g {
		g[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return g
}()

// chunk is a piece of a configuration; its bounds depend on the content around
// them alone, so a change in one place leaves the other pieces as they are.
type chunk struct {
	hash    string
	content []byte
}

// split cuts content into chunks.
func split(content []byte) []chunk {
	var out []chunk
	start, rolling := 0, uint64(0)
	for i, b := range content {
		rolling = rolling<<1 + gear[b]
		size := i + 1 - start
		if (size >= minChunk && rolling&chunkMask == 0) || size >= maxChunk {
			out = append(out, newChunk(content[start:i+1]))
			start, rolling = i+1, 0
		}
	}
	if start < len(content) {
		out = append(out, newChunk(content[start:]))
	}
	return out
}

func newChunk(content []byte) chunk {
	sum := sha256.Sum256(content)
	return chunk{hash: hex.EncodeToString(sum[:chunkHashBytes]), content: content}
}

// parts is chunks by their hashes.
type parts map[string][]byte

func partsOf(chunks []chunk) parts {
	p := parts{}
	for _, c := range chunks {
		p[c.hash] = c.content
	}
	return p
}

// errMissing is returned by join when a chunk is not at hand.
var errMissing = errors.New("chunk not at hand")

// join puts content together from chunks found in the given places. missing
// lists those found nowhere.
func join(hashes []string, places ...parts) (content []byte, missing []string, err error) {
	for _, h := range hashes {
		b, ok := find(h, places)
		if !ok {
			missing = append(missing, h)
			continue
		}
		content = append(content, b...)
	}
	if len(missing) > 0 {
		return nil, missing, fmt.Errorf("%w: %d of %d", errMissing, len(missing), len(hashes))
	}
	return content, nil, nil
}

func find(hash string, places []parts) ([]byte, bool) {
	for _, p := range places {
		if b, ok := p[hash]; ok {
			return b, true
		}
	}
	return nil, false
}
