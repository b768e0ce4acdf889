package account

import (
	"cmp"
	"maps"
	"slices"

	"fescuespar/internal/core"
)

// maxRemovedKeys bounds the removed keys that a process remembers: some hours of two
// keys replaced by each of the 3,800 changes of configuration a day.
const maxRemovedKeys = 1024

// Removal is the removal of a key from an account.
type Removal struct {
	Account core.AccountName
	Version uint64 // of the first route table seen without the key
}

// RemovedKeys are the keys that accounts had in earlier route tables of this process and
// that no account has now. They only explain refusals. They are immutable; nil is empty.
type RemovedKeys struct {
	removals map[core.KeyDigest]Removal
}

// Find returns the removal of a key.
func (r *RemovedKeys) Find(key core.KeyDigest) (Removal, bool) {
	if r == nil {
		return Removal{}, false
	}
	removal, found := r.removals[key]
	return removal, found
}

// After returns the removed keys once a route table has replaced another one, which may
// be nil. Beyond maxRemovedKeys it leaves out those of the oldest versions.
func (r *RemovedKeys) After(replaced, current *core.RouteTable) *RemovedKeys {
	next := &RemovedKeys{removals: make(map[core.KeyDigest]Removal)}
	if r != nil {
		maps.Copy(next.removals, r.removals)
	}
	if replaced != nil {
		for key, holder := range replaced.Accounts {
			next.removals[key] = Removal{holder.Name, current.Version}
		}
	}
	maps.DeleteFunc(next.removals, func(key core.KeyDigest, _ Removal) bool { return current.Accounts[key] != nil })
	if excess := len(next.removals) - maxRemovedKeys; excess > 0 {
		keys := slices.SortedFunc(maps.Keys(next.removals), func(a, b core.KeyDigest) int {
			return cmp.Compare(next.removals[a].Version, next.removals[b].Version)
		})
		for _, key := range keys[:excess] {
			delete(next.removals, key)
		}
	}
	return next
}

// CountRemoved returns how many keys each account lost between two route tables.
func CountRemoved(replaced, current *core.RouteTable) map[core.AccountName]int {
	lost := make(map[core.AccountName]int)
	if replaced == nil {
		return lost
	}
	for key, holder := range replaced.Accounts {
		if current.Accounts[key] == nil {
			lost[holder.Name]++
		}
	}
	return lost
}
