package settings

import (
	"fmt"
	"strings"

	"fescuespar/internal/adapters/stricttoml"
)

// minTokenBytes is the smallest allowed length of a token.
const minTokenBytes = 16

// principal is the role and name of the holder of a token; each principal may
// have only one token.
type principal struct {
	role Role
	name string
}

func (l *loader) readTokens(readers []*stricttoml.Reader) []Token {
	tokens := make([]Token, len(readers))
	indexByPrincipal := map[principal]int{}
	indexByValue := map[Secret]int{}
	for i, r := range readers {
		key := fmt.Sprintf("tokens[%d]", i)
		tokens[i] = l.readToken(r, key)
		l.checkUnique(key, i, tokens[i], indexByPrincipal, indexByValue)
	}
	return tokens
}

func (l *loader) readToken(r *stricttoml.Reader, key string) Token {
	var t Token
	var inline Secret
	path := ""
	stricttoml.OneOf(r, "role", &t.Role, stricttoml.Required, RoleOperator, RoleTrainer, RoleCaller)
	stricttoml.String(r, "name", &t.Name, stricttoml.Required)
	stricttoml.Secret(r, "token", &inline, stricttoml.Optional)
	stricttoml.String(r, "token_file", &path, stricttoml.Optional)
	r.Finish()
	if l.file.Unreadable(key+".token") || l.file.Unreadable(key+".token_file") {
		return t
	}
	if (inline == "") == (path == "") {
		l.file.Report(key, "both or neither of token and token_file", "exactly one of token and token_file")
		return t
	}
	t.Value = inline
	valueKey := key + ".token"
	if path != "" {
		valueKey = key + ".token_file"
		t.Value = l.readTokenFile(valueKey, path)
	}
	if len(t.Value) < minTokenBytes && !l.file.Unreadable(valueKey) {
		l.file.Report(valueKey, fmt.Sprintf("a token of %d bytes", len(t.Value)), fmt.Sprintf("at least %d bytes", minTokenBytes))
	}
	return t
}

func (l *loader) readTokenFile(key, path string) Secret {
	body, err := l.readFile(l.resolve(path))
	if err != nil {
		l.file.Report(key, err.Error(), "a file that can be read")
		return ""
	}
	return Secret(strings.TrimSpace(string(body)))
}

// checkUnique reports a token whose principal or value an earlier token has.
func (l *loader) checkUnique(key string, i int, t Token, indexByPrincipal map[principal]int, indexByValue map[Secret]int) {
	holder := principal{t.Role, string(t.Name)}
	if earlier, repeated := indexByPrincipal[holder]; repeated && t.Name != "" && t.Role != "" {
		l.file.Report(key+".name", fmt.Sprintf("%s %q again", t.Role, t.Name),
			fmt.Sprintf("one token for each role and name (see tokens[%d])", earlier))
	}
	if earlier, repeated := indexByValue[t.Value]; repeated && t.Value != "" {
		l.file.Report(key, "the same token as for another name",
			fmt.Sprintf("a different token for each name (see tokens[%d])", earlier))
	}
	indexByPrincipal[holder] = i
	indexByValue[t.Value] = i
}
