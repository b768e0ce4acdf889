package crash

import "hash/fnv"

// Fingerprint returns a hash of what identifies a request, the same in every process.
func Fingerprint(parts ...string) uint64 {
	hash := fnv.New64a()
	for i, part := range parts {
		if i > 0 {
			_, _ = hash.Write([]byte{0})
		}
		_, _ = hash.Write([]byte(part))
	}
	return hash.Sum64()
}
