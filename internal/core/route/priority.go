package route

import "fescuespar/internal/core"

// Priority returns the priority of an account's requests on a route, 0 for the most
// urgent: the account's, or the route's if the account has none.
func Priority(table *core.RouteTable, account core.AccountName, matched *core.Route) int {
	if table == nil || account == "" {
		return matched.Priority
	}
	for _, known := range table.Accounts {
		if known.Name == account && known.Priority != nil {
			return *known.Priority
		}
	}
	return matched.Priority
}
