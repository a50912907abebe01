package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	minChunkBytes = 4 << 10
	maxChunkBytes = 64 << 10
	// chunkMask sets the average chunk size to about 16 KB, counted above the minimum.
	chunkMask = 1<<13 - 1
	// chunkHashBytes is the length of the truncated hash that identifies a chunk. A short hash is enough,
	// since the joined content is checked against its own full hash.
	chunkHashBytes = 16
)

// gear maps each byte to a pseudo-random word for the rolling hash (a gear hash).
var gear = func() [256]uint64 {
	var g [256]uint64
	for i := range g {
		g[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return g
}()

// chunk is a content-defined piece of a configuration. Its boundaries depend only on the content near them,
// so a change in one place leaves the other chunks unchanged.
type chunk struct {
	hash    string
	content []byte
}

// split splits content into chunks at the boundaries that the rolling hash selects.
func split(content []byte) []chunk {
	var out []chunk
	start, rolling := 0, uint64(0)
	for i, b := range content {
		rolling = rolling<<1 + gear[b]
		size := i + 1 - start
		if (size >= minChunkBytes && rolling&chunkMask == 0) || size >= maxChunkBytes {
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

// chunkSet maps the hash of each chunk to its content.
type chunkSet map[string][]byte

func newChunkSet(chunks []chunk) chunkSet {
	p := chunkSet{}
	for _, c := range chunks {
		p[c.hash] = c.content
	}
	return p
}

// errMissingChunks is wrapped by join when no source has a chunk.
var errMissingChunks = errors.New("chunk not at hand")

// join assembles content from the chunks in the given sources. missing lists the hashes that no source has.
func join(hashes []string, sources ...chunkSet) (content []byte, missing []string, err error) {
	for _, h := range hashes {
		b, ok := findChunk(h, sources)
		if !ok {
			missing = append(missing, h)
			continue
		}
		content = append(content, b...)
	}
	if len(missing) > 0 {
		return nil, missing, fmt.Errorf("%w: %d of %d", errMissingChunks, len(missing), len(hashes))
	}
	return content, nil, nil
}

func findChunk(hash string, sources []chunkSet) ([]byte, bool) {
	for _, p := range sources {
		if b, ok := p[hash]; ok {
			return b, true
		}
	}
	return nil, false
}
