package job

import (
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Bounds of what a submitted job may name. A job beyond them can't be served, or would cost
// memory or time out of proportion to its size.
const (
	// MaxItemTokens bounds the tokens of an item and of its prompt. The longest context of
	// published models is 10 million tokens.
	MaxItemTokens = 1 << 24
	// MaxPromptParts bounds the parts of a prompt. A part takes 16 times the bytes that name
	// it.
	MaxPromptParts = 1024
	// MaxNameBytes bounds the names of items, groups and models, which are kept in rows,
	// tables and log lines. A row of the smallest store takes 64 KiB.
	MaxNameBytes = 1024
)

// CheckItem checks an item on its own. Errors: BadRequest, which names the value and its
// bound.
func CheckItem(item *core.JobItem) error {
	switch {
	case len(item.ID) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "id of an item has %d bytes, at most %d are allowed", len(item.ID), MaxNameBytes)
	case len(item.Group) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "group of item %s has %d bytes, at most %d are allowed", item.ID, len(item.Group), MaxNameBytes)
	case item.Tokens < 0 || item.Tokens > MaxItemTokens:
		return errkind.New(errkind.BadRequest, "item %s has %d tokens, want 0 to %d", item.ID, item.Tokens, MaxItemTokens)
	case len(item.Parts) > MaxPromptParts:
		return errkind.New(errkind.BadRequest, "prompt of item %s has %d parts, at most %d are allowed", item.ID, len(item.Parts), MaxPromptParts)
	}
	prompt := 0
	for _, part := range item.Parts {
		if part.Tokens < 0 || part.Tokens > MaxItemTokens-prompt {
			return errkind.New(errkind.BadRequest, "prompt of item %s has a part of %d tokens, want 0 to %d in all", item.ID, part.Tokens, MaxItemTokens)
		}
		prompt += part.Tokens
	}
	return nil
}

// CheckJob checks a job without its items. Errors: BadRequest.
func CheckJob(job *core.Job) error {
	if len(job.Model) > MaxNameBytes {
		return errkind.New(errkind.BadRequest, "name of the model has %d bytes, at most %d are allowed", len(job.Model), MaxNameBytes)
	}
	return nil
}

// ClampLength returns an estimate of an answer's length that lies between zero, for none,
// and the tokens of the item. Estimates are often wrong, so that one outside is no error.
func ClampLength(estimate, tokens int) int {
	if tokens <= 0 {
		tokens = MaxItemTokens
	}
	return min(max(0, estimate), tokens)
}
