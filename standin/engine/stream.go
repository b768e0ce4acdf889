package engine

import (
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/backendtest/tokens"
)

// stream is the generation of one answer. It is guarded by Engine.mu.
type stream struct {
	request      enginehttp.GenerateBody
	prefixLength int // number of tokens in the request's prefix
	answerLength int // number of tokens in the complete answer, including the prefix
	finish       core.FinishReason
	arrival      uint64 // order of arrival

	prefillLeft int // bytes of the prompt to process before the first token
	tokens      []string
	versions    []core.WeightVersion // weight version of each token

	readers     int
	expiryTimer *time.Timer // set while the stream has no reader
	removed     bool        // canceled, expired or lost in a crash
	changed     chan struct{}
}

func newStream(body enginehttp.GenerateBody, arrival uint64) *stream {
	length, finish := tokens.Length(body.Prompt, body.Seed, body.MaxTokens)
	return &stream{
		request: body, prefixLength: len(body.Prefix), answerLength: max(length, len(body.Prefix)), finish: finish,
		arrival: arrival, changed: make(chan struct{}),
	}
}

// producedCount returns the number of tokens of the answer so far, including
// the prefix.
func (s *stream) producedCount() int { return s.prefixLength + len(s.tokens) }

func (s *stream) isDone() bool { return s.producedCount() >= s.answerLength }

// notify wakes the stream's readers.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// appendTokens generates up to count tokens, stopping at the position hold
// (zero for no such position), and returns the number of tokens generated.
func (s *stream) appendTokens(count, hold int, version core.WeightVersion) int {
	limit := s.answerLength
	if hold > 0 {
		limit = min(limit, hold)
	}
	added := max(0, min(count, limit-s.producedCount()))
	for range added {
		s.tokens = append(s.tokens, tokens.At(s.request.Prompt, s.request.Seed, s.producedCount()))
		s.versions = append(s.versions, version)
	}
	if added > 0 {
		s.notify()
	}
	return added
}

// lines returns the tokens from an offset on, as one line per run of tokens
// with the same version. It returns at most limit tokens; zero means no limit.
func (s *stream) lines(offset, limit int) []enginehttp.Line {
	var lines []enginehttp.Line
	end := s.producedCount()
	if limit > 0 {
		end = min(end, offset+limit)
	}
	for offset < end {
		version := s.versions[offset-s.prefixLength]
		next := offset + 1
		for next < end && s.versions[next-s.prefixLength] == version {
			next++
		}
		lines = append(lines, enginehttp.Line{
			Offset: offset, Tokens: s.tokens[offset-s.prefixLength : next-s.prefixLength], WeightVersion: version,
		})
		offset = next
	}
	return lines
}
