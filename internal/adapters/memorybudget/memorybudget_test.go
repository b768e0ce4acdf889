package memorybudget

import "testing"

func TestMemoryBudget(t *testing.T) {
	budget := New(100)
	if !budget.Reserve(60) || budget.Reserve(60) {
		t.Error("budget of 100 bytes: want one of two reservations of 60 bytes to succeed")
	}
	budget.Release(60)
	if !budget.Reserve(100) {
		t.Error("released bytes are not available again")
	}
}

// TestGrowLeavesMemoryForOthers lets bodies grow in turn until none may take more.
func TestGrowLeavesMemoryForOthers(t *testing.T) {
	const size = 3000
	for _, bodies := range []int{1, 2, 10} {
		budget, held := New(size), make([]int64, bodies)
		for grown := true; grown; {
			grown = false
			for i := range held {
				if budget.Grow(held[i], 1) {
					held[i]++
					grown = true
				}
			}
		}
		free := int64(size / (1 + bodies*maxHeldPerFree))
		if got := budget.Free(); got < free {
			t.Errorf("%d bodies leave %d of %d bytes free, want %d at least", bodies, got, size, free)
		}
		for i := range held {
			if held[i] < free {
				t.Errorf("body %d of %d may hold %d bytes, want %d at least", i, bodies, held[i], free)
			}
		}
		if !budget.Grow(0, free/2) {
			t.Errorf("no memory for a small body beside %d large ones", bodies)
		}
	}
}
