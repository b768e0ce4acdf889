package relay

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
)

// TestAllMembersAreRead has more members than one read of the table service returns.
func TestAllMembersAreRead(t *testing.T) {
	const members = 2*tablePageRows + 100
	s := newEnvironment(t)
	for i := range members {
		_, err := s.tables.Commit(t.Context(), core.Commit{
			Attempt: core.AttemptID(fmt.Sprint("a", i)),
			Writes: []core.Write{{
				Key:    core.RowKey{Table: core.TableMember, ID: fmt.Sprintf("%svm-%04d", membersPrefix, i)},
				Record: core.MemberRecord{CallAddress: fmt.Sprint("address-", i), Beat: 1},
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	rows, err := s.start("vm-x").readMembers(t.Context())
	if err != nil || len(rows) < members {
		t.Errorf("%d rows, error %v, want all %d", len(rows), err, members)
	}
}
