package roster

import "hash/fnv"

// RendezvousHash ranks an entry among those that may be responsible for a key. The one with the highest
// value is responsible for it.
func RendezvousHash(key, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	// The last bytes of the input hardly change the high bits of its FNV hash.
	return mix(h.Sum64())
}

// mix spreads each bit of a number over all bits. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
