package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// startResume takes up a stream that another entry process started. Its tokens
// before the offset are not known here, so it can't move to another engine.
func (s *Service) startResume(c *completion, resume *core.ResumePoint) {
	server, ok := s.servers.Server(resume.Source.Server)
	if !ok {
		s.fail(c, errkind.New(errkind.AnswerIncomplete, "server %s of the answer is gone", resume.Source.Server))
		return
	}
	if _, _, err := s.answers.StartAttempt(c.key, resume.Source); err != nil {
		s.fail(c, err)
		return
	}
	stream := c.streamID(resume.Source)
	err := s.lanes.streams.Go(func(ctx context.Context) {
		end, err := s.stream(ctx, c, resume.Source, func(ctx context.Context, sink func(core.Chunk) error) (core.StreamEnd, error) {
			return s.ports.Engine.Resume(ctx, server, stream, resume.Offset, sink)
		})
		s.pool.MustEnqueue(c.request.Class, func() { s.resumeEnded(c, resume.Source, end, err) })
	})
	if err != nil {
		s.fail(c, err)
	}
}

func (s *Service) resumeEnded(c *completion, source core.AnswerSource, end core.StreamEnd, err error) {
	if err == nil {
		err = s.answers.Finish(c.key, source, end, s.ports.Clock.Now())
	}
	if err != nil {
		s.fail(c, errkind.Wrap(errkind.AnswerIncomplete, err, "the rest of the answer could not be had from %s", source.Server))
		return
	}
	c.ended(nil)
}
