// Package rendezvous implements rendezvous hashing: each key has an order of its own of
// all nodes, and a change of one node moves no other.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Rank returns the nodes in the order of the key, the first one first. The address of a
// node identifies it.
func Rank[T any](key string, nodes []T, address func(T) string) []T {
	weights := make(map[string]uint64, len(nodes))
	for _, n := range nodes {
		weights[address(n)] = weight(key, address(n))
	}
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b T) int {
		return cmp.Or(cmp.Compare(weights[address(b)], weights[address(a)]), cmp.Compare(address(a), address(b)))
	})
	return ranked
}

// weight returns a hash of a key and an address. FNV alone distributes addresses that
// differ in their last bytes unevenly in the high bits; the finalizer of SplitMix64
// mixes them.
func weight(key, address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(address))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
