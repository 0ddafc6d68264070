package request

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the block size in bytes of the prompt. Each prefix hash
// covers one block more than the one before.
const PrefixBlockBytes = 1024

// maxPrefixBlocks limits the number of prefix hashes of one prompt.
const maxPrefixBlocks = 64

// PrefixHashes returns the hash of each prefix of the prompt that consists of
// complete blocks, shortest first, for at most 64 prefixes. Engines identify the
// entries of their prefix caches by the same hashes.
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
