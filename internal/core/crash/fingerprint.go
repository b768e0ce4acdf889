package crash

import (
	"hash/fnv"

	"fescuespar/internal/core"
)

// Fingerprint returns a hash of what identifies a request, the same in every process. A
// nil body counts as absent.
func Fingerprint(body core.Body, parts ...string) uint64 {
	hash := fnv.New64a()
	for i, part := range parts {
		if i > 0 {
			_, _ = hash.Write([]byte{0})
		}
		_, _ = hash.Write([]byte(part))
	}
	if body != nil {
		_, _ = hash.Write([]byte{0})
		for _, piece := range body {
			_, _ = hash.Write(piece)
		}
	}
	return hash.Sum64()
}
