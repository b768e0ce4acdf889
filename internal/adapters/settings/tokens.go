package settings

import (
	"fmt"
	"strings"

	"fescuespar/internal/adapters/stricttoml"
)

// minTokenBytes is the length of the shortest token.
const minTokenBytes = 16

// principal is what a token stands for; each has one token at most.
type principal struct {
	role Role
	name string
}

func (l *loader) tokens(readers []*stricttoml.Reader) []Token {
	tokens := make([]Token, len(readers))
	holders := map[principal]int{}
	values := map[Secret]int{}
	for i, r := range readers {
		key := fmt.Sprintf("tokens[%d]", i)
		tokens[i] = l.token(r, key)
		l.unrepeated(key, i, tokens[i], holders, values)
	}
	return tokens
}

func (l *loader) token(r *stricttoml.Reader, key string) Token {
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
	place := key + ".token"
	if path != "" {
		place = key + ".token_file"
		t.Value = l.tokenFile(place, path)
	}
	if len(t.Value) < minTokenBytes && !l.file.Unreadable(place) {
		l.file.Report(place, fmt.Sprintf("a token of %d bytes", len(t.Value)), fmt.Sprintf("at least %d bytes", minTokenBytes))
	}
	return t
}

func (l *loader) tokenFile(key, path string) Secret {
	body, err := l.readFile(l.resolve(path))
	if err != nil {
		l.file.Report(key, err.Error(), "a file that can be read")
		return ""
	}
	return Secret(strings.TrimSpace(string(body)))
}

// unrepeated reports a token that an earlier one contradicts.
func (l *loader) unrepeated(key string, i int, t Token, holders map[principal]int, values map[Secret]int) {
	holder := principal{t.Role, string(t.Name)}
	if earlier, repeated := holders[holder]; repeated && t.Name != "" && t.Role != "" {
		l.file.Report(key+".name", fmt.Sprintf("%s %q again", t.Role, t.Name),
			fmt.Sprintf("one token for each role and name (see tokens[%d])", earlier))
	}
	if earlier, repeated := values[t.Value]; repeated && t.Value != "" {
		l.file.Report(key, "a token that stands for another name too",
			fmt.Sprintf("a token of its own (see tokens[%d])", earlier))
	}
	holders[holder] = i
	values[t.Value] = i
}
