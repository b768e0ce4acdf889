package account

import (
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Refusal is the reason for which a request is not admitted.
type Refusal string

// The reasons.
const (
	NotRefused    Refusal = ""
	NotConfigured Refusal = "not_configured" // this process has no configuration yet
	NoKey         Refusal = "no_key"
	UnknownKey    Refusal = "unknown_key"
	RemovedKey    Refusal = "removed_key" // an account had the key in an earlier version
	Unconfirmed   Refusal = "unconfirmed" // the key is not known, and no newer version could be read
)

// Decision tells for which account a request is served, or why it is refused.
type Decision struct {
	Caller  core.Caller
	Refusal Refusal
	Removal Removal // with RemovedKey
}

// Authorize decides about a request under a route table, nil if there is none yet.
// Exempt requests need no key, but are served for the account whose key they have.
func Authorize(table *core.RouteTable, removed *RemovedKeys, exempt bool, credentials core.Credentials) Decision {
	if table == nil {
		return Decision{Refusal: NotConfigured}
	}
	if table.Accounts == nil {
		return Decision{}
	}
	caller := core.Caller{HasAccounts: true}
	if holder := table.Accounts[credentials.Key]; holder != nil && credentials.HasKey() {
		caller.Account = holder.Name
		return Decision{Caller: caller}
	}
	if exempt {
		return Decision{Caller: caller}
	}
	if !credentials.HasKey() {
		return Decision{Caller: caller, Refusal: NoKey}
	}
	if removal, known := removed.Find(credentials.Key); known {
		return Decision{Caller: caller, Refusal: RemovedKey, Removal: removal}
	}
	return Decision{Caller: caller, Refusal: UnknownKey}
}

// MayChange reports whether a newer configuration may admit the request.
func (d Decision) MayChange() bool {
	return d.Refusal == NoKey || d.Refusal == UnknownKey || d.Refusal == RemovedKey
}

// Err returns the error of a refusal, or nil. Errors: Starting, Unauthenticated,
// KeyUnconfirmed.
func (d Decision) Err() error {
	switch d.Refusal {
	case NotRefused:
		return nil
	case NotConfigured:
		return errkind.New(errkind.Starting, "this entry process has not loaded the route table yet")
	case Unconfirmed:
		return errkind.New(errkind.KeyUnconfirmed, "the key is not known here, and the newest configuration could not be read")
	case NoKey:
		return errkind.New(errkind.Unauthenticated, "the request has no key")
	case RemovedKey:
		return errkind.New(errkind.Unauthenticated, "the key was removed from account %s by version %d of the route table", d.Removal.Account, d.Removal.Version)
	default:
		return errkind.New(errkind.Unauthenticated, "no account has the key")
	}
}

// ExemptsJobs reports whether jobs may be submitted without a key, so that calls about
// jobs without an account need none either.
func ExemptsJobs(table *core.RouteTable) bool {
	if table == nil {
		return false
	}
	for i := range table.Routes {
		if table.Routes[i].Kind == core.RouteJobs && table.Routes[i].AccountExempt {
			return true
		}
	}
	return false
}

// MayUseJob reports whether a caller may read, end and submit again a job of the given
// owner. A job that was submitted without an account is open to whoever knows its id.
func MayUseJob(owner core.AccountName, caller core.Caller) bool {
	return !caller.HasAccounts || owner == "" || owner == caller.Account
}

// Priority returns the priority of an account's requests on a route: the account's own,
// or else the route's.
func Priority(table *core.RouteTable, route *core.Route, name core.AccountName) int {
	if table != nil {
		if account := table.AccountNames[name]; account != nil && account.Priority != nil {
			return *account.Priority
		}
	}
	return route.Priority
}
