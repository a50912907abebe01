package link

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests that one connection carries, so that what it remembers of them takes no more
// memory than its read buffer.
const maxCarried = readBufferSize / 8

// idSeed is the seed of the hashes of identifiers.
var idSeed = maphash.MakeSeed()

// carriedIDs holds the hashes of the identifiers of the requests that a connection has carried.
type carriedIDs []uint64

func (c carriedIDs) has(id string) bool { return slices.Contains(c, maphash.String(idSeed, id)) }

func (c *carriedIDs) add(id string) { *c = append(*c, maphash.String(idSeed, id)) }
