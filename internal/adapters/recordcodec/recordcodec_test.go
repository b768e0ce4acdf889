package recordcodec

import (
	"bytes"
	"testing"

	"fescuespar/internal/core"
)

// TestMembersWithoutUsageHaveNoField guards against more bytes in the announcements of
// deployments that report no usage.
func TestMembersWithoutUsageHaveNoField(t *testing.T) {
	plain, err := Encode(core.TableMember, core.MemberRecord{Beat: 1})
	if err != nil || bytes.Contains(plain, []byte("Usage")) {
		t.Errorf("row without usage %q, %v", plain, err)
	}
}
