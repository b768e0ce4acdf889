// Package auth maps bearer tokens to the names and roles of their holders.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	"fescuespar/internal/errkind"
)

// Role is the interface to which a token gives access.
type Role string

// The roles.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
)

// Identity is the role and name of the holder of a token.
type Identity struct {
	Role Role
	Name string
}

// Token is one accepted token and the identity of its holder.
type Token struct {
	Identity Identity
	Secret   string
}

type tokenEntry struct {
	identity Identity
	digest   [sha256.Size]byte
}

// Tokens checks bearer tokens. It is immutable and stores only their digests.
type Tokens struct {
	entries []tokenEntry
}

// New returns a checker for the tokens.
func New(tokens []Token) *Tokens {
	t := &Tokens{}
	for _, token := range tokens {
		t.entries = append(t.entries, tokenEntry{token.Identity, sha256.Sum256([]byte(token.Secret))})
	}
	return t
}

const bearerPrefix = "Bearer "

// Authenticate returns the identity for the value of an Authorization header. It
// compares with every token in constant time. Errors: Unauthenticated.
func (t *Tokens) Authenticate(header string) (Identity, error) {
	secret, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok {
		return Identity{}, errkind.New(errkind.Unauthenticated, "the request has no Authorization header with a bearer token")
	}
	digest := sha256.Sum256([]byte(secret))
	found := -1
	for i := range t.entries {
		if subtle.ConstantTimeCompare(t.entries[i].digest[:], digest[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Identity{}, errkind.New(errkind.Unauthenticated, "unknown bearer token")
	}
	return t.entries[found].identity, nil
}

// Authorize returns the identity for the value of an Authorization header if it
// has one of the roles. Errors: Unauthenticated, Forbidden.
func (t *Tokens) Authorize(header string, roles ...Role) (Identity, error) {
	identity, err := t.Authenticate(header)
	if err != nil {
		return Identity{}, err
	}
	if !slices.Contains(roles, identity.Role) {
		return Identity{}, errkind.New(errkind.Forbidden, "a token of role %s was sent; this call requires one of %v", identity.Role, roles)
	}
	return identity, nil
}
