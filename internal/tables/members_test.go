package tables

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestMembersReceiveConcurrentHeartbeats(t *testing.T) {
	const senders = 20
	table := NewMembers(core.Member{VM: "self", Incarnation: 1}, nil, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1e9, 0)
	var all sync.WaitGroup
	for i := range senders {
		all.Go(func() {
			vm := core.VMID(fmt.Sprintf("entry-%02d", i))
			sender := core.Member{VM: vm, Incarnation: 1, PeerAddress: "10.0.0.1:1", Generation: core.Generation(i)}
			table.ReceiveHeartbeat(now, core.Heartbeat{Sender: sender})
			table.BeginRound(now)
			table.State()
		})
	}
	all.Wait()
	state := table.State()
	if len(state.Members) != senders+1 || state.Newest != senders-1 {
		t.Errorf("%d members, newest generation %d, want %d and %d", len(state.Members), state.Newest, senders+1, senders-1)
	}
	if _, err := json.Marshal(state); err != nil {
		t.Error(err)
	}
}
