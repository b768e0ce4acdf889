package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// resumeStream continues a stream that another entry process started. The
// tokens before the offset are unknown here, so the answer cannot move to
// another engine.
func (s *Service) resumeStream(c *completion, resume *core.ResumePoint) {
	server, ok := s.servers.Server(resume.Source.Server)
	if !ok {
		s.failCompletion(c, errkind.New(errkind.AnswerIncomplete, "server %s, which holds the answer, is no longer in the VM list", resume.Source.Server))
		return
	}
	if _, _, err := s.answers.StartAttempt(c.key, resume.Source); err != nil {
		s.failCompletion(c, err)
		return
	}
	stream := c.streamID(resume.Source)
	err := s.lanes.streams.Go(func(ctx context.Context) {
		end, err := s.runStream(ctx, c, resume.Source, func(ctx context.Context, sink func(core.Chunk) error) (core.StreamEnd, error) {
			return s.ports.Engine.Resume(ctx, server, stream, resume.Offset, sink)
		})
		s.pool.MustEnqueue(c.request.Class, func() { s.handleResumeEnd(c, resume.Source, end, err) })
	})
	if err != nil {
		s.failCompletion(c, err)
	}
}

func (s *Service) handleResumeEnd(c *completion, source core.AnswerSource, end core.StreamEnd, err error) {
	if err == nil {
		err = s.answers.Finish(c.key, source, end, s.ports.Clock.Now())
	}
	if err != nil {
		s.failCompletion(c, errkind.Wrap(errkind.AnswerIncomplete, err, "cannot read the rest of the answer from server %s", source.Server))
		return
	}
	c.onEnd(nil)
}
