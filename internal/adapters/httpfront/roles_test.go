package httpfront_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/errkind"
)

// accessRow is one row of the access table in docs/SECURITY.md.
type accessRow struct {
	method, path string
	cells        []string // caller, trainer, operator, no token
}

func readAccessTable(t *testing.T) []accessRow {
	t.Helper()
	page, err := os.ReadFile("../../../docs/SECURITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []accessRow
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(line, "| \n"), " | ")
		method, path, ok := strings.Cut(strings.Trim(cells[0], "`"), " /")
		if ok && len(cells) == 5 {
			rows = append(rows, accessRow{method, "/" + path, cells[1:]})
		}
	}
	return rows
}

// TestAccessTableMatchesRoutes checks every cell of the access table in
// docs/SECURITY.md against the front ends, and its rows against their routes.
func TestAccessTableMatchesRoutes(t *testing.T) {
	s := &fakeService{}
	s.plainResponse.Status = 200
	server := s.start(t)
	rows := readAccessTable(t)
	tokens := []string{secrets[auth.RoleCaller], secrets[auth.RoleTrainer], secrets[auth.RoleOperator], ""}
	var listed []string
	for _, row := range rows {
		listed = append(listed, row.method+" "+row.path)
		path := strings.NewReplacer("{deployment}", "coach", "{path}", "x", "{id}", "known").Replace(row.path)
		for i, cell := range row.cells {
			response, body, err := call{method: row.method, path: path, token: tokens[i]}.send(t, server)
			if err != nil {
				t.Fatal(err)
			}
			if got := accessCell(response.StatusCode); got != cell {
				t.Errorf("%s %s, column %d: access %s (%s), the table has %s", row.method, row.path, i+1, got, body, cell)
			}
		}
	}
	var routed []string
	for _, route := range newFront(s).App.GetRoutes() {
		if route.Method == "" { // handler of an error status
			continue
		}
		routed = append(routed, route.Method+" "+strings.Replace(route.Tmpl().Src, "{path:path}", "{path}", 1))
	}
	slices.Sort(listed)
	slices.Sort(routed)
	if !slices.Equal(listed, routed) {
		t.Errorf("rows of the table:\n%s\nregistered routes:\n%s", strings.Join(listed, "\n"), strings.Join(routed, "\n"))
	}
}

// accessCell returns the table cell that corresponds to a status.
func accessCell(status int) string {
	switch status {
	case errkind.AnswerTo(errkind.New(errkind.Unauthenticated, "")).Status:
		return string(errkind.Unauthenticated)
	case errkind.AnswerTo(errkind.New(errkind.Forbidden, "")).Status:
		return string(errkind.Forbidden)
	default:
		return "yes"
	}
}

// TestTokensAreNotShown searches for tokens in every error answer and in the
// printed form of the token checker and its errors.
func TestTokensAreNotShown(t *testing.T) {
	s := &fakeService{}
	server := s.start(t)
	var output strings.Builder
	for _, e := range endpoints {
		for _, r := range errorCases(e) {
			response, body, err := r.call.send(t, server)
			fmt.Fprintf(&output, "%v %s %v\n", response.Header, body, err)
		}
	}
	var tokens []auth.Token
	for role, secret := range secrets {
		tokens = append(tokens, auth.Token{Identity: auth.Identity{Role: role}, Secret: secret})
	}
	checker := auth.New(tokens)
	_, unknown := checker.Authenticate("Bearer " + secrets[auth.RoleCaller] + "x")
	encoded, _ := json.Marshal(httpfront.NewErrorBody(unknown, ""))
	fmt.Fprintf(&output, "%+v %#v %+v %s", checker, checker, unknown, encoded)
	for role, secret := range secrets {
		if strings.Contains(output.String(), secret) {
			t.Errorf("output contains the token of role %s", role)
		}
	}
}
