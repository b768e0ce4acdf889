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

// routeRow is a row of the page's table of who may call what.
type routeRow struct {
	method, path string
	cells        []string // caller, trainer, operator, no token
}

func readRoutes(t *testing.T) []routeRow {
	t.Helper()
	page, err := os.ReadFile("../../../docs/SECURITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []routeRow
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(line, "| \n"), " | ")
		method, path, ok := strings.Cut(strings.Trim(cells[0], "`"), " /")
		if ok && len(cells) == 5 {
			rows = append(rows, routeRow{method, "/" + path, cells[1:]})
		}
	}
	return rows
}

// TestPageSaysWhoMayCallWhat holds every cell of the table in docs/SECURITY.md
// against the front ends, and the table's rows against their routes.
func TestPageSaysWhoMayCallWhat(t *testing.T) {
	s := &service{}
	s.plain.Status = 200
	server := s.start(t)
	rows := readRoutes(t)
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
			if got := access(response.StatusCode); got != cell {
				t.Errorf("%s %s, column %d: %s (%s), the page says %s", row.method, row.path, i+1, got, body, cell)
			}
		}
	}
	var routed []string
	for _, route := range frontOf(s).App.GetRoutes() {
		if route.Method == "" { // the handler of an error's status
			continue
		}
		routed = append(routed, route.Method+" "+strings.Replace(route.Tmpl().Src, "{path:path}", "{path}", 1))
	}
	slices.Sort(listed)
	slices.Sort(routed)
	if !slices.Equal(listed, routed) {
		t.Errorf("the page lists\n%s\nthe routes are\n%s", strings.Join(listed, "\n"), strings.Join(routed, "\n"))
	}
}

// access returns the cell that stands for a status.
func access(status int) string {
	switch status {
	case errkind.AnswerTo(errkind.New(errkind.Unauthenticated, "")).Status:
		return string(errkind.Unauthenticated)
	case errkind.AnswerTo(errkind.New(errkind.Forbidden, "")).Status:
		return string(errkind.Forbidden)
	default:
		return "yes"
	}
}

// TestAnswersAndPrintsHoldNoToken looks for tokens in every refusal and in what
// printing the front and its tokens gives.
func TestAnswersAndPrintsHoldNoToken(t *testing.T) {
	s := &service{}
	server := s.start(t)
	var seen strings.Builder
	for _, e := range endpoints {
		for _, r := range refusals(e) {
			response, body, err := r.call.send(t, server)
			fmt.Fprintf(&seen, "%v %s %v\n", response.Header, body, err)
		}
	}
	var tokens []auth.Token
	for role, secret := range secrets {
		tokens = append(tokens, auth.Token{Identity: auth.Identity{Role: role}, Secret: secret})
	}
	checker := auth.New(tokens)
	_, unknown := checker.Identify("Bearer " + secrets[auth.RoleCaller] + "x")
	encoded, _ := json.Marshal(httpfront.ErrorOf(unknown, ""))
	fmt.Fprintf(&seen, "%+v %#v %+v %s", checker, checker, unknown, encoded)
	for role, secret := range secrets {
		if strings.Contains(seen.String(), secret) {
			t.Errorf("the token of role %s is shown", role)
		}
	}
}
