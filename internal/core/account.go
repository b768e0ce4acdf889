package core

// AccountName is the name of a client account.
type AccountName string

// KeyDigest is the SHA-256 digest of a client account's API key. The service keeps no
// key itself.
type KeyDigest [32]byte

// Account is a client account. It is immutable.
type Account struct {
	Name     AccountName
	Priority *int // takes precedence over the priority of a route; nil if the account has none
}

// Accounts are the client accounts of a route table by the digests of their keys. A
// key that an account no longer has is absent. They are immutable.
type Accounts map[KeyDigest]*Account

// Credentials are what a request presents to be admitted.
type Credentials struct {
	Key     KeyDigest // of the request's key; zero if it has none
	Request RequestID // id of the caller's attempt, for logs
}

// HasKey reports whether the request has a key.
func (c Credentials) HasKey() bool { return c.Key != KeyDigest{} }

// Caller is the account that a request is served for.
type Caller struct {
	Account     AccountName // empty if there is none
	HasAccounts bool        // the deployment has client accounts
}

// Admission is the result of admitting a request.
type Admission struct {
	Route  Route
	Caller Caller
}
