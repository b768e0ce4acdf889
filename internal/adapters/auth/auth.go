// Package auth maps bearer tokens to the names and roles of who sent them.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	"fescuespar/internal/errkind"
)

// Role says which interface a token opens.
type Role string

// The roles.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
)

// Identity is who a token belongs to.
type Identity struct {
	Role Role
	Name string
}

// Token is one accepted token.
type Token struct {
	Identity Identity
	Secret   string
}

type entry struct {
	identity Identity
	digest   [sha256.Size]byte
}

// Tokens checks bearer tokens. It never changes and holds digests only.
type Tokens struct {
	entries []entry
}

// New returns a checker for the tokens.
func New(tokens []Token) *Tokens {
	t := &Tokens{}
	for _, token := range tokens {
		t.entries = append(t.entries, entry{token.Identity, sha256.Sum256([]byte(token.Secret))})
	}
	return t
}

const bearerPrefix = "Bearer "

// Identify returns who sent an Authorization header. It compares with every
// token in constant time. Errors: Unauthenticated.
func (t *Tokens) Identify(header string) (Identity, error) {
	secret, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok {
		return Identity{}, errkind.New(errkind.Unauthenticated, "an Authorization header with a bearer token is needed")
	}
	digest := sha256.Sum256([]byte(secret))
	found := -1
	for i := range t.entries {
		if subtle.ConstantTimeCompare(t.entries[i].digest[:], digest[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Identity{}, errkind.New(errkind.Unauthenticated, "the bearer token is not known")
	}
	return t.entries[found].identity, nil
}

// Require returns the identity if it has one of the roles. Errors:
// Unauthenticated, Forbidden.
func (t *Tokens) Require(header string, roles ...Role) (Identity, error) {
	identity, err := t.Identify(header)
	if err != nil {
		return Identity{}, err
	}
	if !slices.Contains(roles, identity.Role) {
		return Identity{}, errkind.New(errkind.Forbidden, "this call needs a token of role %v", roles)
	}
	return identity, nil
}
