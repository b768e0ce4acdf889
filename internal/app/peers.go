package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// peerAnswerTimeout is how long a peer's request waits for further tokens of an
// answer.
const peerAnswerTimeout = 2 * time.Second

// HandleAnswer returns a part of an answer in this process to a peer.
func (s *Service) HandleAnswer(ctx context.Context, request core.AnswerRequest) (core.AnswerPart, error) {
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	part, err := s.ReadAnswer(ctx, request.Caller, request.ID, request.Offset)
	if errkind.Is(err, errkind.Canceled) {
		return core.AnswerPart{Found: true}, nil
	}
	return part, err
}

// FindAnswer makes an answer of another entry process readable in this one. It
// looks in this process's table, then asks the process that issued the request
// id, then the engine that the caller's resume point names.
func (s *Service) FindAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, resume *core.ResumePoint) error {
	key := tables.AnswerKey{Caller: caller, ID: id}
	if _, err := s.answers.Read(key, resumeOffset(resume)); err == nil {
		return nil
	}
	if address, ok := s.issuerAddress(id); ok {
		err := s.copyAnswer(ctx, key, address, resume)
		if err == nil || resume == nil {
			return err
		}
	}
	if resume == nil {
		return errkind.New(errkind.UnknownRequest, "no answer is stored for request %s", id)
	}
	return s.resumeFromEngine(key, resume)
}

func resumeOffset(resume *core.ResumePoint) int {
	if resume == nil {
		return 0
	}
	return resume.Offset
}

func (s *Service) issuerAddress(id core.RequestID) (string, bool) {
	vm, ok := issuingVM(id)
	if !ok || vm == s.options.Self.VM {
		return "", false
	}
	member, ok := s.members.Member(vm)
	return member.PeerAddress, ok && member.PeerAddress != ""
}

// copyAnswer copies the rest of an answer from a peer in the background. It
// fails at once if the peer does not have the answer.
func (s *Service) copyAnswer(ctx context.Context, key tables.AnswerKey, address string, resume *core.ResumePoint) error {
	offset := resumeOffset(resume)
	part, err := callOnLane(ctx, s.lanes.peers, controlTimeout, func(ctx context.Context) (core.AnswerPart, error) {
		return s.ports.Peers.Answer(ctx, address, core.AnswerRequest{Caller: key.Caller, ID: key.ID, Offset: offset})
	})
	if err != nil {
		return err
	}
	if created, err := s.answers.Begin(key, offset); err != nil || !created {
		return err
	}
	source := core.AnswerSource{Attempt: s.newAttemptName()}
	if _, _, err := s.answers.StartAttempt(key, source); err != nil {
		return err
	}
	return s.lanes.peers.Go(func(ctx context.Context) { s.copyRemainingAnswer(ctx, key, source, address, part, offset) })
}

// copyRemainingAnswer appends parts until the answer ends or the peer fails.
func (s *Service) copyRemainingAnswer(ctx context.Context, key tables.AnswerKey, source core.AnswerSource,
	address string, part core.AnswerPart, offset int) {
	for {
		for _, chunk := range part.Chunks {
			if err := s.answers.Append(key, source, chunk); err != nil {
				return
			}
			offset = chunk.Offset + len(chunk.Tokens)
		}
		now := s.ports.Clock.Now()
		if part.Finish != "" {
			_ = s.answers.Finish(key, source, core.StreamEnd{Finish: part.Finish, Tokens: offset}, now)
			return
		}
		var err error
		part, err = s.ports.Peers.Answer(ctx, address, core.AnswerRequest{Caller: key.Caller, ID: key.ID, Offset: offset})
		if err != nil {
			s.answers.Fail(key, errkind.Wrap(errkind.AnswerIncomplete, err, "the entry VM that holds the rest of the answer does not answer"), now)
			return
		}
	}
}

// resumeFromEngine continues the engine's stream that a resume point names.
func (s *Service) resumeFromEngine(key tables.AnswerKey, resume *core.ResumePoint) error {
	c := &completion{
		key: key,
		request: core.CompletionRequest{
			ID: key.ID, Caller: key.Caller, Class: core.ClassInteractive,
			Deadline: s.ports.Clock.Now().Add(s.options.AnswerRetention),
		},
		onEnd: func(error) { s.lifecycle.EndRequest() },
	}
	return s.beginAnswer(c, resume)
}
