package relay

import (
	"context"
	"fmt"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/route"
	"fescuespar/internal/errkind"
)

// Jobs and leases lie in one part of the table service, so that a transaction
// can cover them.
const (
	workPart   = "work|"
	jobPrefix  = workPart + "job/"
	listPrefix = workPart + "list/"
)

func jobKey(id core.JobID) core.RowKey {
	return core.RowKey{Table: core.TableJob, ID: jobPrefix + string(id)}
}

func resultKey(id core.JobID, position int) core.RowKey {
	return core.RowKey{Table: core.TableResult, ID: fmt.Sprintf("%s%s/%08d", listPrefix, id, position)}
}

func jobBody(id core.JobID) core.ObjectKey { return core.ObjectKey("job-" + string(id)) }

// Bounds of calls that callers wait for.
const (
	acceptTimeout = 3 * time.Second        // of accepting a job, several times the store's usual time
	readPoll      = 150 * time.Millisecond // between the reads for a caller who waits for results
	pageResults   = 100                    // results of one read
	pageBytes     = 900 << 10              // of one page of results
)

// onStore runs a call to the platform on its lane and waits for it.
func onStore[T any](ctx context.Context, s *Service, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var none T
	done := make(chan outcome, 1)
	err := s.lanes.store.Go(func(lane context.Context) {
		ctx, cancel := s.joined(lane, ctx, s.ports.Clock.Now().Add(timeout))
		defer cancel()
		value, err := call(ctx)
		done <- outcome{value, err}
	})
	if err != nil {
		return none, errkind.Wrap(errkind.StoreUnavailable, err, "too many calls to the platform wait")
	}
	result := <-done
	return result.value, result.err
}

// Submit implements ports.Jobs.
func (s *Service) Submit(ctx context.Context, job core.Job) error {
	taken, err := s.RouteOf(job.Host, job.Path)
	if err == nil && taken.Kind != core.RouteJobs {
		err = errkind.New(errkind.BadRequest, "route %s takes no jobs", taken.Name)
	}
	if err == nil && !s.lifecycle.Enter() {
		err = errkind.New(errkind.ShuttingDown, "this entry process takes no new jobs")
	}
	if err == nil {
		defer s.lifecycle.Exit()
		_, err = onStore(ctx, s, acceptTimeout, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, s.accept(ctx, job, &taken)
		})
	}
	s.logJob(job, taken.Name, err)
	return err
}

func (s *Service) logJob(job core.Job, routeName string, err error) {
	line := s.log.Info()
	if err != nil {
		s.metrics.JobsRefused.Inc(1)
		line = s.log.Warn().Err(err)
	} else {
		s.metrics.JobsAccepted.Inc(1)
	}
	line.Str("job", string(job.ID)).Str("route", routeName).Uint64("step", uint64(job.Step)).
		Int("items", len(job.Items)).Uint64("oldest_version", uint64(job.Oldest)).Msg(logs.JobSubmitted)
}

// accept stores a job: its body first and then its row, which makes it
// accepted. A row that exists is the same job, submitted before.
func (s *Service) accept(ctx context.Context, job core.Job, taken *core.Route) error {
	body, err := s.ports.Bodies.EncodeJob(job)
	if err != nil {
		return err
	}
	if err := s.putBody(ctx, jobBody(job.ID), body); err != nil {
		return err
	}
	record := core.JobRecord{Service: route.Heaviest(taken), Items: len(job.Items), Body: jobBody(job.ID)}
	_, err = s.committer.Commit(ctx, core.Commit{
		Attempt:    s.newAttemptID(),
		Conditions: []core.Condition{{Key: jobKey(job.ID)}},
		Writes:     []core.Write{{Key: jobKey(job.ID), Record: record}},
	})
	return err
}

// putTry is how long a reply to one try to store a job's body is awaited: the
// object store takes 25 ms, sixty times that when it is slow.
const putTry = 1500 * time.Millisecond

// putBody stores a job's body, which means nothing without its row, so that a
// failure is a refusal. One that was stored before may be encoded otherwise.
func (s *Service) putBody(ctx context.Context, key core.ObjectKey, body []byte) error {
	put := func() error {
		ctx, cancel := context.WithTimeout(ctx, putTry)
		defer cancel()
		return s.ports.Objects.Put(ctx, key, body)
	}
	err := put()
	if errkind.Is(err, errkind.OutcomeUnknown) {
		err = put()
	}
	if err == nil || errkind.Is(err, errkind.BadRequest) {
		return nil
	}
	return errkind.New(errkind.StoreUnavailable, "the job's body was not stored: %v", err)
}

// readJob reads a job's row. Errors: UnknownRequest, StoreUnavailable.
func (s *Service) readJob(ctx context.Context, id core.JobID) (core.Row, core.JobRecord, error) {
	rows, err := s.committer.Read(ctx, jobKey(id))
	if err != nil {
		return core.Row{}, core.JobRecord{}, err
	}
	record, found := rows[0].Record.(core.JobRecord)
	if !found {
		return core.Row{}, record, errkind.New(errkind.UnknownRequest, "no job %s", id)
	}
	return rows[0], record, nil
}

// Results implements ports.Jobs.
func (s *Service) Results(ctx context.Context, id core.JobID, from int, wait time.Duration) (core.ResultPage, error) {
	page := core.ResultPage{Next: from}
	until := s.ports.Clock.Now().Add(wait)
	_, err := onStore(ctx, s, acceptTimeout, func(ctx context.Context) (struct{}, error) {
		_, record, err := s.readJob(ctx, id)
		page.Total = record.Items
		return struct{}{}, err
	})
	for err == nil {
		page.Results, err = onStore(ctx, s, acceptTimeout, func(ctx context.Context) ([]core.ItemResult, error) {
			return s.readResults(ctx, id, from)
		})
		late := !s.ports.Clock.Now().Add(readPoll).Before(until)
		if len(page.Results) > 0 || from >= page.Total || late || !commits.Wait(ctx, readPoll) {
			break
		}
	}
	page.Next = from + len(page.Results)
	return page, err
}

// readResults reads one page of results from a position on.
func (s *Service) readResults(ctx context.Context, id core.JobID, from int) ([]core.ItemResult, error) {
	prefix := resultKey(id, 0).ID
	prefix = prefix[:len(prefix)-len("00000000")]
	after := prefix
	if from > 0 {
		after = resultKey(id, from-1).ID
	}
	s.metrics.TableReads.Inc(1)
	rows, err := s.ports.Tables.Scan(ctx, core.TableResult, prefix, after, pageResults)
	if err != nil {
		return nil, err
	}
	var results []core.ItemResult
	bytes := 0
	for _, row := range rows {
		result, err := s.resultOf(ctx, row)
		if err != nil {
			return nil, err
		}
		if bytes += len(result.Text); bytes > pageBytes && len(results) > 0 {
			break
		}
		results = append(results, result)
	}
	return results, nil
}

func (s *Service) resultOf(ctx context.Context, row core.Row) (core.ItemResult, error) {
	record, ok := row.Record.(core.ResultRecord)
	if !ok {
		return core.ItemResult{}, errkind.New(errkind.Internal, "row %s holds no result", row.Key.ID)
	}
	if record.Overflow == "" {
		return record.Result, nil
	}
	body, err := s.ports.Objects.Get(ctx, record.Overflow)
	if err != nil {
		return core.ItemResult{}, errkind.Wrap(errkind.StoreUnavailable, err, "result of row %s", row.Key.ID)
	}
	return s.ports.Bodies.DecodeResult(body)
}

// ItemBody implements ports.Jobs.
func (s *Service) ItemBody(ctx context.Context, id core.JobID, item core.ItemID) ([]byte, error) {
	job, err := onStore(ctx, s, acceptTimeout, func(ctx context.Context) (core.Job, error) { return s.loadJob(ctx, id) })
	if err != nil {
		return nil, err
	}
	for i := range job.Items {
		if job.Items[i].ID == item {
			return job.Items[i].Body, nil
		}
	}
	return nil, errkind.New(errkind.UnknownRequest, "job %s has no item %s", id, item)
}

// loadJob returns a job's body, kept or fetched. Errors: UnknownRequest,
// StoreUnavailable.
func (s *Service) loadJob(ctx context.Context, id core.JobID) (core.Job, error) {
	if job, kept := s.stored.Job(id); kept {
		return job, nil
	}
	_, record, err := s.readJob(ctx, id)
	if err != nil {
		return core.Job{}, err
	}
	body, err := s.ports.Objects.Get(ctx, record.Body)
	if err != nil {
		return core.Job{}, errkind.Wrap(errkind.StoreUnavailable, err, "body of job %s", id)
	}
	job, err := s.ports.Bodies.DecodeJob(body)
	if err == nil {
		s.stored.Keep(job, len(body))
	}
	return job, err
}

// EndJob implements ports.Jobs.
func (s *Service) EndJob(ctx context.Context, id core.JobID) error {
	_, err := onStore(ctx, s, acceptTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.endStored(ctx, id)
	})
	s.log.Info().Err(err).Str("job", string(id)).Msg("job end asked for")
	return err
}

func (s *Service) endStored(ctx context.Context, id core.JobID) error {
	for ctx.Err() == nil {
		row, record, err := s.readJob(ctx, id)
		if err != nil || record.Ended {
			return err
		}
		record.Ended = true
		result, err := s.committer.Commit(ctx, core.Commit{
			Attempt:    s.newAttemptID(),
			Conditions: []core.Condition{{Key: row.Key, Version: row.Version}},
			Writes:     []core.Write{{Key: row.Key, Record: record}},
		})
		if err != nil || result.Applied {
			return err
		}
	}
	return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "the end of job %s", id)
}
