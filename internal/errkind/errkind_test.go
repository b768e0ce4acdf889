package errkind

import (
	"context"
	"errors"
	"fmt"
	"testing"
)

func TestEveryKindRoundTripsAndHasAnAnswer(t *testing.T) {
	for _, kind := range Kinds() {
		err := New(kind, "message %d", 1)
		if Of(err) != kind || AnswerTo(err).Status < 400 {
			t.Errorf("kind %s: Of = %s, answer = %+v", kind, Of(err), AnswerTo(err))
		}
		if wrapped := Wrap(kind, errors.New("cause"), "wrapped"); Of(wrapped) != kind {
			t.Errorf("kind %s: Of(Wrap) = %s", kind, Of(wrapped))
		}
		if outer := fmt.Errorf("outer: %w", err); Of(outer) != kind {
			t.Errorf("kind %s: Of(fmt.Errorf) = %s", kind, Of(outer))
		}
	}
}

func TestOfErrorsOfOtherPackages(t *testing.T) {
	cases := []struct {
		err  error
		want Kind
	}{
		{context.Canceled, Canceled},
		{context.DeadlineExceeded, Timeout},
		{errors.New("other"), Internal},
	}
	for _, c := range cases {
		if got := Of(c.err); got != c.want {
			t.Errorf("Of(%v) = %s, want %s", c.err, got, c.want)
		}
	}
}

func TestWrapOfNilIsNil(t *testing.T) {
	if Wrap(Internal, nil, "x") != nil {
		t.Error("Wrap(nil) is not nil")
	}
}
