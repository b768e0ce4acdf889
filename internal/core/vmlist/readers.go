package vmlist

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// SelectReader returns the live member that a process asks for changes of the
// VM list, or false when the process must read the list itself. Incrementing
// turn selects the next reader.
func SelectReader(self core.Member, live []core.Member, turn uint32) (reader core.Member, ask bool) {
	if len(live) <= SmallFleetSize {
		return core.Member{}, false
	}
	readers := zoneReaders(self, live)
	for i := range readers {
		if readers[i].VM == self.VM {
			return core.Member{}, false
		}
	}
	if len(readers) < ReadersPerZone {
		return core.Member{}, false
	}
	return readers[(rank(self.VM)+uint64(turn))%uint64(len(readers))], true
}

// zoneReaders returns the readers of the process's availability zone: the members
// with the lowest ranks, including the process itself.
func zoneReaders(self core.Member, live []core.Member) []core.Member {
	readers := make([]core.Member, 0, ReadersPerZone+1)
	insert := func(m core.Member) {
		index := len(readers)
		for index > 0 && rank(m.VM) < rank(readers[index-1].VM) {
			index--
		}
		if index == ReadersPerZone {
			return
		}
		readers = append(readers, core.Member{})
		copy(readers[index+1:], readers[index:])
		readers[index] = m
		readers = readers[:min(len(readers), ReadersPerZone)]
	}
	insert(self)
	for i := range live {
		if live[i].Zone == self.Zone && live[i].Region == self.Region && live[i].VM != self.VM && live[i].PeerAddress != "" {
			insert(live[i])
		}
	}
	return readers
}

func rank(vm core.VMID) uint64 { return rendezvous.Rank("vm-list", string(vm)) }
