package account

import (
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

func key(n byte) core.KeyDigest { return core.KeyDigest{n} }

// newTable returns a route table in which accounts hold keys.
func newTable(version uint64, holders map[core.KeyDigest]core.AccountName) *core.RouteTable {
	table := &core.RouteTable{Version: version, Accounts: core.Accounts{}, AccountNames: map[core.AccountName]*core.Account{}}
	for digest, name := range holders {
		if table.AccountNames[name] == nil {
			table.AccountNames[name] = &core.Account{Name: name}
		}
		table.Accounts[digest] = table.AccountNames[name]
	}
	return table
}

// TestAuthorize guards against requests that run without a valid key, and against final
// refusals of requests that are valid.
func TestAuthorize(t *testing.T) {
	old := newTable(4, map[core.KeyDigest]core.AccountName{key(1): "a", key(2): "b"})
	table := newTable(5, map[core.KeyDigest]core.AccountName{key(1): "a"})
	table.AccountNames["b"] = &core.Account{Name: "b"}
	var none *RemovedKeys
	removed := none.After(old, table)
	cases := []struct {
		name    string
		table   *core.RouteTable
		exempt  bool
		key     core.KeyDigest
		want    Refusal
		account core.AccountName
		kind    errkind.Kind // of the error; empty for none
	}{
		{"no configuration, no key", nil, false, core.KeyDigest{}, NotConfigured, "", errkind.Starting},
		{"no configuration, a key", nil, false, key(1), NotConfigured, "", errkind.Starting},
		{"no accounts", &core.RouteTable{}, false, key(9), NotRefused, "", ""},
		{"a key", table, false, key(1), NotRefused, "a", ""},
		{"no key", table, false, core.KeyDigest{}, NoKey, "", errkind.Unauthenticated},
		{"an unknown key", table, false, key(9), UnknownKey, "", errkind.Unauthenticated},
		{"a removed key", table, false, key(2), RemovedKey, "", errkind.Unauthenticated},
		{"exempt, no key", table, true, core.KeyDigest{}, NotRefused, "", ""},
		{"exempt, a removed key", table, true, key(2), NotRefused, "", ""},
		{"exempt, a key", table, true, key(1), NotRefused, "a", ""},
		{"accounts without keys", newTable(6, nil), false, key(1), UnknownKey, "", errkind.Unauthenticated},
	}
	for _, c := range cases {
		got := Authorize(c.table, removed, c.exempt, core.Credentials{Key: c.key})
		if got.Refusal != c.want || got.Caller.Account != c.account {
			t.Errorf("%s: refusal %q, account %q; want %q, %q", c.name, got.Refusal, got.Caller.Account, c.want, c.account)
		}
		if err := got.Err(); c.kind == "" && err != nil || c.kind != "" && !errkind.Is(err, c.kind) {
			t.Errorf("%s: error %v, want kind %q", c.name, err, c.kind)
		}
		if want := c.table != nil && c.table.Accounts != nil; got.Caller.HasAccounts != want {
			t.Errorf("%s: deployment with accounts %t, want %t", c.name, got.Caller.HasAccounts, want)
		}
	}
}

// TestRemovedKeysAreBounded guards against a memory that grows with each change of
// configuration, and against a key that counts as removed after it was added again.
func TestRemovedKeysAreBounded(t *testing.T) {
	var removed *RemovedKeys
	table := newTable(0, nil)
	numbered := func(n int) core.KeyDigest { return core.KeyDigest{1, byte(n), byte(n >> 8)} }
	for version := range maxRemovedKeys + 100 {
		next := newTable(uint64(version+1), map[core.KeyDigest]core.AccountName{numbered(version): "a"})
		table, removed = next, removed.After(table, next)
	}
	if len(removed.removals) != maxRemovedKeys {
		t.Errorf("%d removed keys remembered, want %d", len(removed.removals), maxRemovedKeys)
	}
	if _, found := removed.Find(numbered(0)); found {
		t.Error("the key removed first is still remembered, so later ones were forgotten")
	}
	last := numbered(maxRemovedKeys + 98)
	if removal, found := removed.Find(last); !found || removal != (Removal{"a", maxRemovedKeys + 100}) {
		t.Errorf("last removal %+v, found %t", removal, found)
	}
	again := newTable(9999, map[core.KeyDigest]core.AccountName{last: "b"})
	if _, found := removed.After(table, again).Find(last); found {
		t.Error("a key that was added again counts as removed")
	}
	if lost := CountRemoved(table, again); lost["a"] != 1 || len(lost) != 1 {
		t.Errorf("keys lost by account %v, want one of a", lost)
	}
}

func TestPriorityOfAccountPrecedesRoutes(t *testing.T) {
	urgent := 0
	table := newTable(1, map[core.KeyDigest]core.AccountName{key(1): "a", key(2): "b"})
	table.AccountNames["a"].Priority = &urgent
	route := &core.Route{Priority: 3}
	for name, want := range map[core.AccountName]int{"a": 0, "b": 3, "": 3, "gone": 3} {
		if got := Priority(table, route, name); got != want {
			t.Errorf("priority of account %q is %d, want %d", name, got, want)
		}
	}
}

// TestJobsBelongToAccounts guards against one account's access to another's jobs.
func TestJobsBelongToAccounts(t *testing.T) {
	for _, c := range []struct {
		owner  core.AccountName
		caller core.Caller
		want   bool
	}{
		{"a", core.Caller{Account: "a", HasAccounts: true}, true},
		{"a", core.Caller{Account: "b", HasAccounts: true}, false},
		{"a", core.Caller{HasAccounts: true}, false},
		{"", core.Caller{Account: "b", HasAccounts: true}, true},
		{"", core.Caller{HasAccounts: true}, true},
		{"a", core.Caller{}, true}, // the deployment has no accounts any more
	} {
		if got := MayUseJob(c.owner, c.caller); got != c.want {
			t.Errorf("job of %q used by %+v: %t, want %t", c.owner, c.caller, got, c.want)
		}
	}
}
