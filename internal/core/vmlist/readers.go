package vmlist

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// Source returns the live member that a process asks for the VM list, or false
// when it is to read it for itself. A larger turn leads to the next reader.
func Source(self core.Member, live []core.Member, turn uint32) (reader core.Member, ask bool) {
	if len(live) <= SmallFleet {
		return core.Member{}, false
	}
	first := firstInZone(self, live)
	for i := range first {
		if first[i].VM == self.VM {
			return core.Member{}, false
		}
	}
	if len(first) < ReadersPerZone {
		return core.Member{}, false
	}
	return first[(rank(self.VM)+uint64(turn))%uint64(len(first))], true
}

// firstInZone returns the readers of the process's availability zone, which
// counts as one of its members.
func firstInZone(self core.Member, live []core.Member) []core.Member {
	first := make([]core.Member, 0, ReadersPerZone+1)
	insert := func(m core.Member) {
		at := len(first)
		for at > 0 && rank(m.VM) < rank(first[at-1].VM) {
			at--
		}
		if at == ReadersPerZone {
			return
		}
		first = append(first, core.Member{})
		copy(first[at+1:], first[at:])
		first[at] = m
		first = first[:min(len(first), ReadersPerZone)]
	}
	insert(self)
	for i := range live {
		if live[i].Zone == self.Zone && live[i].Region == self.Region && live[i].VM != self.VM && live[i].PeerAddress != "" {
			insert(live[i])
		}
	}
	return first
}

func rank(vm core.VMID) uint64 { return rendezvous.Rank("vm-list", string(vm)) }
