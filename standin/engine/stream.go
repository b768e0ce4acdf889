package engine

import (
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/backendtest/tokens"
)

// stream is one attempt. The engine's lock guards it.
type stream struct {
	request enginehttp.GenerateBody
	base    int // tokens of the prefix
	length  int // tokens of the whole answer
	finish  core.FinishReason
	arrival uint64 // order of arrival

	prefill  int // bytes still to process before the first token
	tokens   []string
	versions []core.WeightVersion // of each token

	readers int
	expiry  *time.Timer // set while there is no reader
	gone    bool        // canceled, expired or lost in a crash
	changed chan struct{}
}

func newStream(body enginehttp.GenerateBody, arrival uint64) *stream {
	length, finish := tokens.Length(body.Prompt, body.Seed, body.MaxTokens)
	return &stream{
		request: body, base: len(body.Prefix), length: max(length, len(body.Prefix)), finish: finish,
		arrival: arrival, changed: make(chan struct{}),
	}
}

// produced returns the number of tokens of the answer so far.
func (s *stream) produced() int { return s.base + len(s.tokens) }

func (s *stream) done() bool { return s.produced() >= s.length }

// notify wakes the stream's readers.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// grow adds up to count tokens but none from the hold position on (zero holds
// nowhere), and returns how many it added.
func (s *stream) grow(count, hold int, version core.WeightVersion) int {
	limit := s.length
	if hold > 0 {
		limit = min(limit, hold)
	}
	added := max(0, min(count, limit-s.produced()))
	for range added {
		s.tokens = append(s.tokens, tokens.At(s.request.Prompt, s.request.Seed, s.produced()))
		s.versions = append(s.versions, version)
	}
	if added > 0 {
		s.notify()
	}
	return added
}

// lines returns the tokens from an offset on, a line for each run of one
// version, at most limit tokens in all (zero for no limit).
func (s *stream) lines(offset, limit int) []enginehttp.Line {
	var lines []enginehttp.Line
	end := s.produced()
	if limit > 0 {
		end = min(end, offset+limit)
	}
	for offset < end {
		version := s.versions[offset-s.base]
		next := offset + 1
		for next < end && s.versions[next-s.base] == version {
			next++
		}
		lines = append(lines, enginehttp.Line{
			Offset: offset, Tokens: s.tokens[offset-s.base : next-s.base], WeightVersion: version,
		})
		offset = next
	}
	return lines
}
