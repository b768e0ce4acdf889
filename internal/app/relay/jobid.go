package relay

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"fescuespar/internal/core"
)

const (
	// maxPlainJobID is the number of bytes up to which an id is used in keys as it is. A key
	// of a result has 15 more, and the store accepts 200.
	maxPlainJobID = 64
	// digestMark begins the digest of any other id. No id that is used as it is contains it.
	digestMark = "~"

	plainJobIDBytes = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_."
)

// storedJobID returns the id under which a job is stored, given the one by which its caller
// names it: the same, or a digest of it (SHA-256) if it is long or has other bytes than
// letters, digits and "-_.". It is part of keys, where a separator would put a job's rows
// between those of another one.
func storedJobID(named core.JobID) core.JobID {
	isPlain := named != "" && len(named) <= maxPlainJobID && strings.Trim(string(named), plainJobIDBytes) == ""
	if isPlain {
		return named
	}
	digest := sha256.Sum256([]byte(named))
	return core.JobID(digestMark + hex.EncodeToString(digest[:]))
}
