package app

import (
	"context"
	"math/rand/v2"
	"strings"

	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/errkind"
)

// Configuration returns the configuration in force in this process.
func (s *Service) Configuration() *core.Configuration { return s.configuration.Current() }

// Publish replaces the configuration of generation base by a new one in one
// commit. Errors: InvalidConfig, GenerationConflict and those of the platform.
func (s *Service) Publish(ctx context.Context, operator string, base core.Generation, deployments []core.Deployment) (core.Generation, error) {
	if problems := configuration.Validate(deployments); len(problems) > 0 {
		return 0, invalidConfiguration(problems)
	}
	next := configuration.Next(base, operator, deployments)
	_, err := callOnLane(ctx, s.lanes.table, groupCommitTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.commitConfiguration(ctx, next)
	})
	if errkind.Is(err, errkind.GenerationConflict) {
		s.metrics.ConfigConflicts.Inc(1)
	}
	if err != nil {
		return 0, err
	}
	s.applyConfiguration(&next)
	return next.Generation, nil
}

func invalidConfiguration(problems []configuration.Problem) error {
	texts := make([]string, len(problems))
	for i, problem := range problems {
		texts[i] = problem.String()
	}
	return errkind.New(errkind.InvalidConfig, "%s", strings.Join(texts, "; "))
}

func (s *Service) commitConfiguration(ctx context.Context, next core.Configuration) error {
	id := s.newAttemptID()
	rows, err := s.readRows(ctx, configuration.HeadKey)
	if err != nil {
		return err
	}
	commit, err := configuration.PlanPublish(rows[0], next, id)
	if err != nil {
		return err
	}
	body, err := s.ports.BodyCodec.EncodeConfiguration(next)
	if err != nil {
		return err
	}
	if err := s.ports.Objects.Put(ctx, configuration.BodyKey(next.Generation, id), body); err != nil {
		return err
	}
	result, err := s.commit(ctx, commit)
	if err == nil && result.Applied || errkind.Is(err, errkind.StoreUnavailable) {
		return err
	}
	return s.resolvePublish(ctx, next, id)
}

// resolvePublish determines from the generation's own row which attempt wrote
// it, when a commit did not take effect or its rows have changed since.
func (s *Service) resolvePublish(ctx context.Context, next core.Configuration, id core.AttemptID) error {
	rows, err := s.readRows(ctx, configuration.HeadKey, configuration.GenerationKey(next.Generation))
	if err != nil {
		return err
	}
	outcome, err := configuration.ResolvePublish(rows[0], rows[1], next, id)
	if err == nil && outcome != configuration.PublishApplied {
		return errkind.New(errkind.GenerationConflict, "another configuration was published at the same time")
	}
	return err
}

// pollConfiguration reads the head of the configuration chain if this process
// is to poll in this interval, and fetches a newer configuration. Usually peers
// announce a new configuration earlier.
func (s *Service) pollConfiguration() {
	inForce, live := s.configuration.Current().Generation, len(s.members.Live())
	shouldPoll := false
	s.random.WithSource(func(random *rand.Rand) { shouldPoll = configuration.ShouldPoll(inForce, live, random) })
	if shouldPoll {
		s.readConfiguration()
	}
}

// readConfiguration reads the head of the chain and fetches a newer
// configuration.
func (s *Service) readConfiguration() {
	s.startOnLane(s.lanes.table, func(ctx context.Context) {
		rows, err := s.readRows(ctx, configuration.HeadKey)
		if err != nil {
			return
		}
		record, ok := rows[0].Record.(core.ConfigRecord)
		if !ok || !configuration.IsNewer(s.configuration.Current().Generation, record.Generation) {
			return
		}
		body, err := s.ports.Objects.Get(ctx, record.Body)
		if err != nil {
			return
		}
		if received, err := s.ports.BodyCodec.DecodeConfiguration(body); err == nil {
			s.applyConfiguration(&received)
		}
	})
}

// fetchConfiguration fetches a newer configuration from a peer, which also
// works during an outage of the platform.
func (s *Service) fetchConfiguration(address string) {
	s.startOnLane(s.lanes.peers, func(ctx context.Context) {
		received, err := s.ports.Peers.Configuration(ctx, address)
		if err == nil {
			s.applyConfiguration(&received)
		}
	})
}

func (s *Service) applyConfiguration(received *core.Configuration) {
	if !s.configuration.Apply(received) {
		return
	}
	s.limits.ApplyConfiguration(s.configuration.Current(), s.ports.Clock.Now())
	s.members.SetGeneration(received.Generation)
	s.metrics.ConfigApplied.Inc(1)
	s.log.Info().Uint64("generation", uint64(received.Generation)).Str("operator", received.Operator).Msg("configuration in force")
}

// HandleConfiguration returns the configuration in force to a peer.
func (s *Service) HandleConfiguration(context.Context) (core.Configuration, error) {
	return *s.configuration.Current(), nil
}
