package bodycodec

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
)

// sampleTokens is the mean number of tokens of an answer at the load expected in
// two years: 5.9 million tokens in 20,000 requests.
const sampleTokens = 295

// BenchmarkBatch reports the encoded bytes per sample of a step's batch and the
// time to encode the batch.
func BenchmarkBatch(b *testing.B) {
	for _, samples := range []int{128, 1024, 8192} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			batch := newBatch(samples)
			bytes := 0
			for b.Loop() {
				body, err := (Codec{}).EncodeBatch(batch)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(body)
			}
			b.ReportMetric(float64(bytes)/float64(samples), "B/sample")
		})
	}
}

func newBatch(samples int) core.Batch {
	const groupSize = 8
	batch := core.Batch{Deployment: "coach", Step: 1, Version: 1, Groups: make([]core.Group, samples/groupSize)}
	for g := range batch.Groups {
		for i := range groupSize {
			sample := core.Sample{
				Deployment: "coach", ID: core.SampleID{Group: core.GroupID{Step: 1, Index: g}, Index: i},
				Prompt: "advise a family that wants to adopt a donkey", Finish: core.FinishStop,
				Spans: []core.Span{{To: sampleTokens, Version: 1}},
			}
			for range sampleTokens {
				sample.Tokens = append(sample.Tokens, "token")
			}
			batch.Groups[g].Samples = append(batch.Groups[g].Samples, sample)
		}
	}
	return batch
}

// BenchmarkConfiguration reports the encoded bytes per deployment of a
// configuration and the time to decode the configuration.
func BenchmarkConfiguration(b *testing.B) {
	for _, deployments := range []int{2, 20, 200} {
		b.Run(fmt.Sprintf("deployments=%d", deployments), func(b *testing.B) {
			body, err := (Codec{}).EncodeConfiguration(newConfiguration(deployments))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := (Codec{}).DecodeConfiguration(body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body))/float64(deployments), "B/deployment")
		})
	}
}

func newConfiguration(deployments int) core.Configuration {
	configuration := core.Configuration{Generation: 2, Parent: 1, Operator: "operator"}
	for i := range deployments {
		configuration.Deployments = append(configuration.Deployments, core.Deployment{
			Name: core.DeploymentName(fmt.Sprint("coach-", i)), Kind: core.KindEngine, Service: "coach-model",
			Callers: []core.CallerName{"donor", "family"}, Fencing: true,
			Rollout: &core.Rollout{Trainer: "coach-trainer", Scorer: "scorer", Prompts: "prompts", GroupSize: 8, GroupsPerStep: 1024},
		})
	}
	return configuration
}
