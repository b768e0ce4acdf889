package httpfront_test

import (
	"strings"
	"testing"

	"fescuespar/internal/adapters/auth"
)

// TestPublishRecordsOperatorOfToken publishes with operator names that differ
// from the token's.
func TestPublishRecordsOperatorOfToken(t *testing.T) {
	for _, stated := range []string{"", "somebody-else", string(auth.RoleOperator)} {
		s := &fakeService{}
		c := call{method: "POST", path: "/v1/configuration", token: secrets[auth.RoleOperator],
			body: `{"base":0,"operator":"` + stated + `","deployments":[]}`}
		response, body, err := c.send(t, s.start(t))
		if err != nil || response.StatusCode != 200 || s.operator != string(auth.RoleOperator) {
			t.Errorf("stated %q: %v, %v, recorded %q", stated, response, err, s.operator)
		}
		if !strings.Contains(string(body), `"operator":"operator"`) {
			t.Errorf("stated %q: answer %s does not name the operator", stated, body)
		}
	}
}
