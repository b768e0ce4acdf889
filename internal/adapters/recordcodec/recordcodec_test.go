package recordcodec

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"fescuespar/internal/core"
)

// TestJobRowsWithoutAccount guards against rows of earlier programs that do not decode,
// and against rows that change in deployments without accounts.
func TestJobRowsWithoutAccount(t *testing.T) {
	earlier, err := cbor.Marshal(struct {
		Service string
		Items   int
		Body    string
		Ended   bool
	}{"s", 3, "job-j", true})
	if err != nil {
		t.Fatal(err)
	}
	want := core.JobRecord{Service: "s", Items: 3, Body: "job-j", Ended: true}
	if got, err := Decode(core.TableJob, earlier); err != nil || got != want {
		t.Errorf("row of an earlier program: %+v, %v, want %+v", got, err, want)
	}
	if encoded, err := Encode(core.TableJob, want); err != nil || !bytes.Equal(encoded, earlier) {
		t.Errorf("row without an account: %x, %v, want %x", encoded, err, earlier)
	}
	want.Account = "a"
	encoded, err := Encode(core.TableJob, want)
	if got, decodeErr := Decode(core.TableJob, encoded); err != nil || decodeErr != nil || got != want {
		t.Errorf("row with an account: %+v, %v, %v", got, err, decodeErr)
	}
}

// TestMembersWithoutUsageHaveNoField guards against more bytes in the announcements of
// deployments that report no usage.
func TestMembersWithoutUsageHaveNoField(t *testing.T) {
	plain, err := Encode(core.TableMember, core.MemberRecord{Beat: 1})
	if err != nil || bytes.Contains(plain, []byte("Usage")) {
		t.Errorf("row without usage %q, %v", plain, err)
	}
}
