package vmlist

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkVMListChanges measures applying a list that a process read, and
// answering another process when nothing changed and when one VM changed.
func BenchmarkVMListChanges(b *testing.B) {
	for _, vms := range []int{20, 670, 6710} {
		list := sortedByID(nil)
		for i := range vms {
			list = append(list, vm(i, "live"))
		}
		changed := append(list[:0:0], list...)
		changed[0].State = "leaving"
		reader := NewList()
		reader.ApplyList(list, testStart)
		before := reader.Digest()
		reader.ApplyList(changed, testStart)
		b.Run(fmt.Sprintf("read/vms=%d", vms), func(b *testing.B) {
			for i := range b.N {
				reader.ApplyList(changed, testStart.Add(time.Duration(i)))
			}
		})
		b.Run(fmt.Sprintf("news-unchanged/vms=%d", vms), func(b *testing.B) {
			for range b.N {
				reader.ChangesSince(reader.Digest(), testStart)
			}
		})
		b.Run(fmt.Sprintf("news-one-change/vms=%d", vms), func(b *testing.B) {
			for range b.N {
				reader.ChangesSince(before, testStart)
			}
		})
	}
}
