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
