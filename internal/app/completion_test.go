package app_test

import (
	"strings"
	"testing"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/internal/ports/backendtest/tokens"
)

func newCompletion(id core.RequestID) core.CompletionRequest {
	return core.CompletionRequest{
		ID: id, Caller: donor, Deployment: model, Class: core.ClassInteractive,
		Prompt: "how do I mend it", MaxTokens: 30, Seed: 7,
	}
}

func (c *cluster) setEngineFaults(f backendtest.EngineFaults) {
	for _, id := range []core.ServerID{"engine-1", "engine-2", "engine-3"} {
		c.engine.Server(id).SetFaults(f)
	}
}

// readAnswer reads an answer to its end and checks that its chunks are
// contiguous.
func (c *cluster) readAnswer(s *app.Service, id core.RequestID, from int) (string, error) {
	c.t.Helper()
	var text strings.Builder
	offset := from
	for {
		part, err := s.ReadAnswer(c.ctx, donor, id, offset)
		if err != nil {
			return text.String(), err
		}
		for _, chunk := range part.Chunks {
			if chunk.Offset != offset {
				c.t.Fatalf("chunk at %d after %d tokens", chunk.Offset, offset)
			}
			text.WriteString(strings.Join(chunk.Tokens, ""))
			offset += len(chunk.Tokens)
		}
		if part.Finish != "" {
			return text.String(), nil
		}
	}
}

// TestAnswersAreCompleteUnderFaults checks that answers are complete although
// streams are cut and engines crash.
func TestAnswersAreCompleteUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"every engine cuts a stream once", func(c *cluster) { c.setEngineFaults(backendtest.EngineFaults{CutAfter: 5}) }},
		{"one engine refuses", func(c *cluster) {
			c.engine.Server("engine-1").SetFaults(backendtest.EngineFaults{Refuse: true})
		}},
		{"two engines refuse", func(c *cluster) {
			c.engine.Server("engine-1").SetFaults(backendtest.EngineFaults{Refuse: true})
			c.engine.Server("engine-2").SetFaults(backendtest.EngineFaults{Refuse: true})
		}},
		{"two engines refuse, one cuts a stream", func(c *cluster) {
			c.engine.Server("engine-1").SetFaults(backendtest.EngineFaults{Refuse: true})
			c.engine.Server("engine-2").SetFaults(backendtest.EngineFaults{Refuse: true})
			c.engine.Server("engine-3").SetFaults(backendtest.EngineFaults{CutAfter: 5})
		}},
		{"one engine crashed", func(c *cluster) { c.engine.Server("engine-2").Crash() }},
	}
	request := newCompletion("")
	want := tokens.Text(request.Prompt, request.Seed, request.MaxTokens)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 1)
			for _, id := range []core.RequestID{"a", "b", "c", "d"} {
				test.fault(c)
				if err := c.services[0].Complete(c.ctx, newCompletion(id), nil); err != nil {
					t.Fatal(err)
				}
				got, err := c.readAnswer(c.services[0], id, 0)
				if err != nil || got != want {
					t.Errorf("request %s: %v, %q, want %q", id, err, got, want)
				}
			}
		})
	}
}

// TestAnswerIsReadThroughPeer reads an answer from another entry process,
// starting in the middle, and checks that another caller cannot read it.
func TestAnswerIsReadThroughPeer(t *testing.T) {
	c := newCluster(t, 2)
	first, second := c.services[0], c.services[1]
	id := first.NewRequestID()
	if err := first.Complete(c.ctx, newCompletion(id), nil); err != nil {
		t.Fatal(err)
	}
	full, err := c.readAnswer(first, id, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := second.FindAnswer(c.ctx, donor, id, &core.ResumePoint{Offset: 10}); err != nil {
		t.Fatal(err)
	}
	rest, err := c.readAnswer(second, id, 10)
	if err != nil || !strings.HasSuffix(full, rest) || rest == "" || rest == full {
		t.Errorf("rest %q of %q: %v", rest, full, err)
	}
	if err := second.FindAnswer(c.ctx, "another caller", id, nil); !errkind.Is(err, errkind.UnknownRequest) {
		t.Errorf("another caller requested the answer: got %v, want kind unknown_request", err)
	}
}

// TestAnswerResumesAfterEntryProcessLoss resumes an engine's stream from
// another entry process while the first one is unreachable.
func TestAnswerResumesAfterEntryProcessLoss(t *testing.T) {
	c := newCluster(t, 2)
	c.setEngineFaults(backendtest.EngineFaults{HoldAfter: 8})
	id := c.services[0].NewRequestID()
	if err := c.services[0].Complete(c.ctx, newCompletion(id), nil); err != nil {
		t.Fatal(err)
	}
	part, err := c.services[0].ReadAnswer(c.ctx, donor, id, 0)
	if err != nil || len(part.Chunks) == 0 {
		t.Fatal(err)
	}
	received := len(part.Chunks[0].Tokens)
	c.network.setCut("peer-1", true)
	resume := &core.ResumePoint{Offset: received, Source: part.Source}
	if err := c.services[1].Complete(c.ctx, newCompletion(id), resume); err != nil {
		t.Fatal(err)
	}
	c.setEngineFaults(backendtest.EngineFaults{})
	rest, err := c.readAnswer(c.services[1], id, received)
	want := strings.Join(tokens.Answer("how do I mend it", 7, 30)[received:], "")
	if err != nil || rest != want {
		t.Errorf("rest %q, %v, want %q", rest, err, want)
	}
	foreign := newCompletion(id)
	foreign.Caller = family
	if err := c.services[1].Complete(c.ctx, foreign, resume); err != nil {
		t.Fatal(err)
	}
	part, err = c.services[1].ReadAnswer(c.ctx, family, id, received)
	if !errkind.Is(err, errkind.AnswerIncomplete) {
		t.Errorf("another caller resumed the stream: got %+v, %v, want kind answer_incomplete", part, err)
	}
}

// TestRefusedRequestsAreNotRun checks the kinds of refusals and that they
// report the request as not run.
func TestRefusedRequestsAreNotRun(t *testing.T) {
	c := newCluster(t, 1)
	unknown, foreign := newCompletion("x"), newCompletion("y")
	unknown.Deployment = "nobody"
	foreign.Caller = "stranger"
	for _, test := range []struct {
		request core.CompletionRequest
		want    errkind.Kind
	}{{unknown, errkind.UnknownDeployment}, {foreign, errkind.Forbidden}} {
		err := c.services[0].Complete(c.ctx, test.request, nil)
		if !errkind.Is(err, test.want) || errkind.AnswerTo(err).Execution != errkind.NotRun {
			t.Errorf("got %v, want %s", err, test.want)
		}
	}
	if _, err := c.services[0].ReadAnswer(c.ctx, donor, "x", 0); !errkind.Is(err, errkind.UnknownRequest) {
		t.Errorf("answer of a refused request: got %v, want kind unknown_request", err)
	}
}
