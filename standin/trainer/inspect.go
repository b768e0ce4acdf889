package trainer

import (
	"encoding/json"
	"fmt"
	"strings"

	"fescuespar/internal/core"
)

type batchBody struct {
	Step    core.Step          `json:"step"`
	Version core.WeightVersion `json:"weight_version"`
	Groups  []struct {
		Samples []sampleBody `json:"samples"`
	} `json:"groups"`
}

type sampleBody struct {
	ID     string     `json:"id"`
	Text   string     `json:"text"`
	Tokens []string   `json:"tokens"`
	Spans  []spanBody `json:"spans"`
}

type spanBody struct {
	From    int                `json:"from"`
	To      int                `json:"to"`
	Version core.WeightVersion `json:"weight_version"`
}

// checkBatch checks every sample of a batch and adds the results to the
// report.
func (t *trainer) checkBatch(raw []byte, report *StepReport) error {
	var batch batchBody
	if err := json.Unmarshal(raw, &batch); err != nil {
		return fmt.Errorf("decode batch of step %d: %w", report.Step, err)
	}
	if batch.Step != report.Step {
		return fmt.Errorf("received batch of step %d, want step %d", batch.Step, report.Step)
	}
	report.Groups = len(batch.Groups)
	for _, group := range batch.Groups {
		for i := range group.Samples {
			t.checkSample(&group.Samples[i], batch.Version, report)
		}
	}
	return nil
}

func (t *trainer) checkSample(sample *sampleBody, version core.WeightVersion, report *StepReport) {
	report.Samples++
	if _, repeated := t.seen[sample.ID]; repeated {
		report.Repeated++
	}
	t.seen[sample.ID] = report.Step
	oldest, valid := sample.oldestVersion()
	if !valid || sample.Text != strings.Join(sample.Tokens, "") {
		report.Malformed++
		return
	}
	if oldest >= version {
		return
	}
	lag := uint64(version - oldest)
	report.WorstLag = max(report.WorstLag, lag)
	if lag > t.options.StalenessBound {
		report.Stale++
	}
}

// oldestVersion returns the oldest weight version of the spans. It returns
// false unless the spans cover all tokens without gaps or overlaps and each
// has a version.
func (s *sampleBody) oldestVersion() (core.WeightVersion, bool) {
	if len(s.Spans) == 0 {
		return 0, false
	}
	oldest := s.Spans[0].Version
	next := 0
	for _, span := range s.Spans {
		if span.From != next || span.To <= span.From || span.Version == 0 {
			return 0, false
		}
		next = span.To
		oldest = min(oldest, span.Version)
	}
	return oldest, next == len(s.Tokens)
}
