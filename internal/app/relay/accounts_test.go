package relay

import (
	"context"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

func digest(n byte) core.KeyDigest { return core.KeyDigest{n} }

func withKey(n byte) core.Credentials { return core.Credentials{Key: digest(n), Request: "r-1"} }

// publishAccounts publishes the next version of the route table, with accounts and the
// first bytes of the digests of their keys.
func (s *environment) publishAccounts(keys map[core.AccountName][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.published.Table
	next.Version++
	next.Accounts, next.AccountNames = core.Accounts{}, map[core.AccountName]*core.Account{}
	for name, numbers := range keys {
		next.AccountNames[name] = &core.Account{Name: name}
		for _, number := range numbers {
			next.Accounts[digest(number)] = next.AccountNames[name]
		}
	}
	s.published.Table = &next
}

// waitVersion waits until a process has the published route table.
func (s *environment) waitVersion(service *Service) {
	s.t.Helper()
	s.eventually("route table in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		current := service.routes.Current()
		return current != nil && current.Version == s.published.Table.Version
	})
}

// TestJobBelongsToItsAccount guards against another account's access to a job, at every
// process and also from the cache, against a removed key that ends a job, and against
// items that run for another account or none.
func TestJobBelongsToItsAccount(t *testing.T) {
	s := newEnvironment(t)
	s.publishAccounts(map[core.AccountName][]byte{"a": {1, 2}, "b": {3}})
	accounts := make(chan core.AccountName, 100)
	s.stream = func(_ core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
		if !request.HasAccounts {
			accounts <- "not marked"
		}
		accounts <- request.Account
		return core.RelayResponse{}, sink.Event(core.Event{ID: request.After + 1, Data: "e", Version: 1})
	}
	scored := make(chan core.RelayRequest, 100)
	s.exchange = func(_ core.VM, request core.RelayRequest) (core.RelayResponse, error) {
		scored <- request
		return core.RelayResponse{Status: 200, Signature: "signed"}, nil
	}
	one, two := s.waitReady(s.start("vm-1")), s.waitReady(s.start("vm-2"))
	ctx := t.Context()
	job := newJob("j", 4)
	job.Account = "a"
	foreign := newJob("j", 2)
	foreign.Account = "b"
	if err := one.Submit(ctx, job); err != nil {
		t.Fatal(err)
	}
	s.eventually("all results", func() bool {
		page, err := two.Results(ctx, withKey(2), "j", 0, 0)
		return err == nil && page.Total == 4 && len(page.Results) == 4
	})
	if body, err := two.ItemBody(ctx, withKey(1), "j", "j-3"); err != nil || string(body) != "j-3" {
		t.Errorf("item body for the job's account: %q, %v", body, err)
	}
	for _, service := range []*Service{one, two} {
		checkForeignCalls(t, service, foreign)
		if err := service.Submit(ctx, job); err != nil {
			t.Errorf("job submitted again by its account: %v", err)
		}
	}
	if objects, err := s.objects.List(ctx, "account-1-b", "", 10); err != nil || len(objects) > 0 {
		t.Errorf("bodies of refused jobs left behind: %v, %v", objects, err)
	}
	s.publishAccounts(map[core.AccountName][]byte{"a": {2}, "b": {3}})
	s.waitVersion(two)
	if _, err := two.Results(ctx, withKey(1), "j", 0, 0); !errkind.Is(err, errkind.Unauthenticated) {
		t.Errorf("results with a removed key: %v, want %s", err, errkind.Unauthenticated)
	}
	if page, err := two.Results(ctx, withKey(2), "j", 0, 0); err != nil || len(page.Results) != 4 {
		t.Errorf("results with the account's other key: %d, %v", len(page.Results), err)
	}
	if err := two.EndJob(ctx, withKey(2), "j"); err != nil {
		t.Errorf("end with the account's other key: %v", err)
	}
	for len(accounts) > 0 {
		if account := <-accounts; account != "a" {
			t.Errorf("an item ran for account %q, want a", account)
		}
	}
	for len(scored) > 0 {
		if call := <-scored; call.Account != "" {
			t.Errorf("a scorer call was sent for account %q", call.Account)
		}
	}
}

// checkForeignCalls checks that account b, with key 3, finds nothing under the id of a
// job of account a.
func checkForeignCalls(t *testing.T, service *Service, foreign core.Job) {
	t.Helper()
	ctx := t.Context()
	_, resultsErr := service.Results(ctx, withKey(3), "j", 0, 0)
	_, bodyErr := service.ItemBody(ctx, withKey(3), "j", "j-3")
	for call, err := range map[string]error{
		"results": resultsErr, "item body": bodyErr, "end": service.EndJob(ctx, withKey(3), "j"), "submission": service.Submit(ctx, foreign),
	} {
		if !errkind.Is(err, errkind.UnknownRequest) {
			t.Errorf("%s by another account: %v, want %s", call, err, errkind.UnknownRequest)
		}
	}
	for call, credentials := range map[string]core.Credentials{"no key": noKey, "an unknown key": withKey(9)} {
		if _, err := service.Results(ctx, credentials, "j", 0, 0); !errkind.Is(err, errkind.Unauthenticated) {
			t.Errorf("results with %s: %v, want %s", call, err, errkind.Unauthenticated)
		}
	}
}

// TestJobsOfExemptRoutes guards against jobs of callers without an account that cannot be
// read, and against jobs of accounts that can be read without a key.
func TestJobsOfExemptRoutes(t *testing.T) {
	s := newEnvironment(t)
	s.publishAccounts(map[core.AccountName][]byte{"a": {1}})
	s.published.Table.Routes = append([]core.Route(nil), s.published.Table.Routes...)
	s.published.Table.Routes[0].AccountExempt = true
	service := s.waitReady(s.start("vm-1"))
	admission, err := service.Admit(t.Context(), host, "/jobs/x", noKey)
	if err != nil || admission.Caller != (core.Caller{HasAccounts: true}) {
		t.Fatalf("submission without a key on an exempt route: %+v, %v", admission.Caller, err)
	}
	owned := newJob("owned", 1)
	owned.Account = "a"
	for _, job := range []core.Job{newJob("open", 1), owned} {
		if err := service.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
	}
	for id, want := range map[core.JobID]errkind.Kind{"open": "", "owned": errkind.Unauthenticated, "none": errkind.Unauthenticated} {
		_, err := service.Results(t.Context(), noKey, id, 0, 0)
		if want == "" && err != nil || want != "" && !errkind.Is(err, want) {
			t.Errorf("results of job %s without a key: %v, want %q", id, err, want)
		}
	}
	if _, err := service.Results(t.Context(), withKey(1), "open", 0, 0); err != nil {
		t.Errorf("results of a job without an account with a key: %v", err)
	}
}

// TestNoConfigurationIsNoRefusal guards against final refusals by a process that has no
// configuration yet.
func TestNoConfigurationIsNoRefusal(t *testing.T) {
	s := newEnvironment(t)
	service := s.create("vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, admitErr := service.Admit(ctx, host, "/nothing/", withKey(1))
	_, resultsErr := service.Results(ctx, withKey(1), "none", 0, 0)
	_, bodyErr := service.ItemBody(ctx, noKey, "none", "i")
	for call, err := range map[string]error{
		"request": admitErr, "results": resultsErr, "item body": bodyErr, "end": service.EndJob(ctx, withKey(1), "none"), "submission": service.Submit(ctx, newJob("j", 1)),
	} {
		if !errkind.Is(err, errkind.Starting) {
			t.Errorf("%s without a configuration: %v, want %s", call, err, errkind.Starting)
		}
	}
}

// TestNewKeyIsLookedUp guards against the final refusal of a key that a newer
// configuration has, and of any key while the newest can't be read.
func TestNewKeyIsLookedUp(t *testing.T) {
	s := newEnvironment(t)
	s.publishAccounts(map[core.AccountName][]byte{"a": {1}})
	service := s.waitReady(s.start("vm-1"))
	admit := func(credentials core.Credentials) (core.AccountName, error) {
		admission, err := service.Admit(t.Context(), host, "/lookup/x", credentials)
		return admission.Caller.Account, err
	}
	for number := byte(2); number < 6; number++ {
		s.publishAccounts(map[core.AccountName][]byte{"a": {1, number}})
		if name, err := admit(withKey(number)); err != nil || name != "a" {
			t.Errorf("key that was just added: account %q, %v", name, err)
		}
		if _, err := admit(withKey(number - 1)); number > 2 && !errkind.Is(err, errkind.Unauthenticated) {
			t.Errorf("key that was removed: %v, want %s", err, errkind.Unauthenticated)
		}
	}
	if _, err := admit(noKey); !errkind.Is(err, errkind.Unauthenticated) {
		t.Errorf("no key: %v, want %s", err, errkind.Unauthenticated)
	}
	s.mu.Lock()
	s.registryErr = errkind.New(errkind.StoreUnavailable, "test")
	s.mu.Unlock()
	for name, credentials := range map[string]core.Credentials{"unknown key": withKey(9), "removed key": withKey(2), "no key": noKey} {
		if _, err := admit(credentials); !errkind.Is(err, errkind.KeyUnconfirmed) {
			t.Errorf("%s while the store is unavailable: %v, want %s", name, err, errkind.KeyUnconfirmed)
		}
	}
	if name, err := admit(withKey(1)); err != nil || name != "a" {
		t.Errorf("known key while the store is unavailable: account %q, %v", name, err)
	}
}

// TestRandomKeysShareReads guards against a store read for each request with a random key.
func TestRandomKeysShareReads(t *testing.T) {
	s := newEnvironment(t)
	s.publishAccounts(map[core.AccountName][]byte{"a": {1}})
	service := s.waitReady(s.start("vm-1"))
	const senders, requests = 50, 4
	s.mu.Lock()
	before := s.publishedReads
	s.mu.Unlock()
	began := time.Now()
	errs := make(chan error, senders*requests)
	for sender := range senders {
		go func() {
			for request := range requests {
				_, err := service.Admit(t.Context(), host, "/lookup/x", core.Credentials{Key: core.KeyDigest{9, byte(sender), byte(request)}})
				errs <- err
			}
		}()
	}
	for range senders * requests {
		if err := <-errs; !errkind.Is(err, errkind.Unauthenticated) {
			t.Errorf("random key: %v, want %s", err, errkind.Unauthenticated)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reads, most := s.publishedReads-before, int(time.Since(began)/keyReadInterval)+2; reads > most {
		t.Errorf("%d reads in %v, want at most %d", reads, time.Since(began), most)
	}
}
