package request

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of the prompt that each further prefix hash
// covers.
const PrefixBlockBytes = 1024

// maxPrefixBlocks bounds the hashes of one prompt.
const maxPrefixBlocks = 64

// PrefixHashes returns the hash of each whole-block prefix of the prompt,
// shortest first, at most 64 of them. Engines name the entries of their prefix
// caches by the same hashes.
func PrefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/PrefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		block := prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes]
		_, _ = digest.WriteString(block)
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
