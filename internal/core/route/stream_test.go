package route

import "testing"

func TestStreamSteps(t *testing.T) {
	fresh := StreamProgress{Resumable: true, MaxAttempts: 3, Attempts: 1}
	begun := fresh
	begun.Begun = true
	lastAttempt := begun
	lastAttempt.Attempts = 3
	once := StreamProgress{MaxAttempts: 3, Attempts: 1}
	onceRun := once
	onceRun.PossiblyRun = true
	cases := []struct {
		name     string
		progress StreamProgress
		outcome  StreamOutcome
		want     StreamStep
	}{
		{"complete", begun, StreamCompleted, EndStream},
		{"error before the stream", fresh, StreamError, RetryStream},
		{"error before the stream, last attempt", StreamProgress{Resumable: true, MaxAttempts: 1, Attempts: 1}, StreamError, PassResponse},
		{"error before a stream that may run once", once, StreamError, PassResponse},
		{"rejection before the stream", fresh, StreamRejected, PassResponse},
		{"error within the stream", begun, StreamError, RetryStream},
		{"error within the stream, last attempt", lastAttempt, StreamError, AbortStream},
		{"rejection within the stream", begun, StreamRejected, RetryStream},
		{"rejection within the stream, last attempt", lastAttempt, StreamRejected, AbortStream},
		{"broken", begun, StreamBroken, RetryStream},
		{"broken, last attempt", lastAttempt, StreamBroken, AbortStream},
		{"broken, may run once", once, StreamBroken, AbortStream},
		{"refused, may run once", once, StreamRefused, RetryStream},
		{"refused after an attempt that may have run, may run once", onceRun, StreamRefused, AbortStream},
		{"no server within the stream", begun, StreamUnplaced, AbortStream},
	}
	for _, c := range cases {
		if got := c.progress.After(c.outcome); got != c.want {
			t.Errorf("%s: step %d, want %d", c.name, got, c.want)
		}
	}
}
