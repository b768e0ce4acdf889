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

// Jobs, results and leases share one partition of the table service: a
// transaction covers rows of one partition only.
const (
	workPartition = "work|"
	jobPrefix     = workPartition + "job/"
	resultPrefix  = workPartition + "list/"
	settledPrefix = workPartition + "settled/"
)

func jobKey(id core.JobID) core.RowKey {
	return core.RowKey{Table: core.TableJob, ID: jobPrefix + string(id)}
}

func resultKey(id core.JobID, position int) core.RowKey {
	return core.RowKey{Table: core.TableResult, ID: fmt.Sprintf("%s%s/%08d", resultPrefix, id, position)}
}

// jobBodyKey returns the key of a job's body. Each account has its own, so that none can
// store a body under which another one's job with the same id would run.
func jobBodyKey(owner core.AccountName, id core.JobID) core.ObjectKey {
	if owner == "" {
		return core.ObjectKey("job-" + string(id))
	}
	return core.ObjectKey(fmt.Sprintf("account-%d-%s-job-%s", len(owner), owner, id))
}

// settledKey has a part after the job's id, so that rows of different jobs are not read as
// one range, with those of the jobs between them.
func settledKey(id core.JobID) core.RowKey {
	return core.RowKey{Table: core.TableSettled, ID: settledPrefix + string(id) + "/items"}
}

// Limits of the calls that callers wait for.
const (
	jobCallTimeout     = 3 * time.Second        // for one call to the store, several times its usual duration
	resultPollInterval = 150 * time.Millisecond // between reads while a caller waits for results
	maxPageResults     = 100                    // rows in one read
	maxPageBytes       = 900 << 10              // of result text in one page
)

// callStore runs a call to the platform's store on the store lane and waits for
// its result.
func callStore[T any](ctx context.Context, s *Service, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var none T
	done := make(chan outcome, 1)
	err := s.lanes.store.Go(func(lane context.Context) {
		ctx, cancel := s.mergeContexts(lane, ctx, s.ports.Clock.Now().Add(timeout))
		defer cancel()
		value, err := call(ctx)
		done <- outcome{value, err}
	})
	if err != nil {
		return none, errkind.Wrap(errkind.StoreUnavailable, err, "store call queue is full")
	}
	result := <-done
	return result.value, result.err
}

// Submit implements ports.Jobs.
func (s *Service) Submit(ctx context.Context, job core.Job) error {
	named := job.ID
	job.ID = storedJobID(named)
	matched, err := s.RouteOf(job.Host, job.Path)
	switch {
	case err == nil && matched.Kind != core.RouteJobs:
		err = errkind.New(errkind.BadRequest, "route %s does not accept jobs", matched.Name)
	case err == nil && named == "":
		err = errkind.New(errkind.BadRequest, "the job has no id")
	}
	if err == nil {
		err = s.beginJobCall()
	}
	if err == nil {
		defer s.lifecycle.EndRequest()
		_, err = callStore(ctx, s, jobCallTimeout, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, s.storeJob(ctx, job, &matched)
		})
	}
	s.logSubmission(job, named, matched.Name, err)
	return err
}

// beginJobCall counts a call about a job as in flight, so that a shutdown waits for its
// answer. The caller ends it with EndRequest. Errors: ShuttingDown.
func (s *Service) beginJobCall() error {
	if !s.lifecycle.BeginRequest() {
		return errkind.New(errkind.ShuttingDown, "this entry process is shutting down and accepts no new requests")
	}
	return nil
}

// maxLoggedID is the number of bytes of a caller's id in a log line.
const maxLoggedID = 64

func (s *Service) logSubmission(job core.Job, named core.JobID, routeName string, err error) {
	line := s.log.Info()
	if err != nil {
		s.metrics.JobsRefused.Inc(1)
		line = s.log.Warn().Err(err)
	} else {
		s.metrics.JobsAccepted.Inc(1)
	}
	if job.Account != "" {
		line = line.Str("account", string(job.Account))
	}
	if named != job.ID {
		line = line.Str("named", string(named[:min(len(named), maxLoggedID)]))
	}
	line.Str("job", string(job.ID)).Str("route", routeName).Uint64("step", uint64(job.Step)).
		Int("items", len(job.Items)).Uint64("oldest_version", uint64(job.Oldest)).Msg(logs.JobSubmitted)
}

// storeJob stores a job's body and then its row. The job is accepted once the row
// exists. An existing row means that the same job was submitted before, unless it is
// another account's. Errors: UnknownRequest if it is.
func (s *Service) storeJob(ctx context.Context, job core.Job, matched *core.Route) error {
	body, err := s.ports.Bodies.EncodeJob(job)
	if err != nil {
		return err
	}
	key := jobBodyKey(job.Account, job.ID)
	record := core.JobRecord{Service: route.HeaviestService(matched), Items: len(job.Items), Body: key, Account: job.Account, Memory: jobMemory(&job, body)}
	if err := s.checkJobMemory(ctx, &job, &record); err != nil {
		return err
	}
	if err := s.putJobBody(ctx, key, body); err != nil {
		return err
	}
	result, err := s.committer.Commit(ctx, core.Commit{
		Attempt:    s.newAttemptID(),
		Conditions: []core.Condition{{Key: jobKey(job.ID)}},
		Writes:     []core.Write{{Key: jobKey(job.ID), Record: record}},
	})
	if err != nil || result.Applied || !s.hasAccounts() {
		return err
	}
	return s.checkSubmittedBefore(ctx, job, key)
}

// checkSubmittedBefore checks that an existing job was submitted by the same account, and
// otherwise deletes the body that was just stored. Errors: UnknownRequest,
// OutcomeUnknown.
func (s *Service) checkSubmittedBefore(ctx context.Context, job core.Job, body core.ObjectKey) error {
	caller := core.Caller{Account: job.Account, HasAccounts: true}
	_, _, err := s.readJobRow(ctx, job.ID, caller)
	if !errkind.Is(err, errkind.UnknownRequest) {
		// The job is accepted if it is the account's own.
		return errkind.Wrap(errkind.OutcomeUnknown, err, "read the row of job %s, which exists", job.ID)
	}
	if deleteErr := s.ports.Objects.Delete(ctx, body); deleteErr != nil {
		s.log.Info().Err(deleteErr).Str("object", string(body)).Msg("body of a refused job not deleted")
	}
	return err
}

// putAttemptTimeout is the timeout of one attempt to store a job's body. The
// object store usually takes 25 ms, and sixty times that when it is slow.
const putAttemptTimeout = 1500 * time.Millisecond

// putJobBody stores a job's body. A body without its row has no effect, so a
// failure means that the job was not accepted. BadRequest is ignored: a body
// stored before may be encoded differently.
func (s *Service) putJobBody(ctx context.Context, key core.ObjectKey, body []byte) error {
	put := func() error {
		ctx, cancel := context.WithTimeout(ctx, putAttemptTimeout)
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
	return errkind.New(errkind.StoreUnavailable, "store job body %s: %v", key, err)
}

// readJobRow reads the row of a job that a caller may use. Errors: UnknownRequest, also
// for another account's job, StoreUnavailable.
func (s *Service) readJobRow(ctx context.Context, id core.JobID, caller core.Caller) (core.Row, core.JobRecord, error) {
	rows, err := s.committer.Read(ctx, jobKey(id))
	if err != nil {
		return core.Row{}, core.JobRecord{}, err
	}
	record, found := rows[0].Record.(core.JobRecord)
	if !found {
		return core.Row{}, record, errkind.New(errkind.UnknownRequest, "job %s does not exist", id)
	}
	return rows[0], record, s.checkOwner(id, record.Account, caller)
}

// Results implements ports.Jobs.
func (s *Service) Results(ctx context.Context, credentials core.Credentials, id core.JobID, from int, wait time.Duration) (core.ResultPage, error) {
	id = storedJobID(id)
	page := core.ResultPage{Next: from}
	caller, err := s.admitJobCall(ctx, credentials)
	if err != nil {
		return page, err
	}
	if err := s.beginJobCall(); err != nil {
		return page, err
	}
	defer s.lifecycle.EndRequest()
	deadline := s.ports.Clock.Now().Add(wait)
	_, err = callStore(ctx, s, jobCallTimeout, func(ctx context.Context) (struct{}, error) {
		_, record, err := s.readJobRow(ctx, id, caller)
		if err == nil {
			page.Total = record.Items
		}
		return struct{}{}, err
	})
	for err == nil {
		page.Results, err = callStore(ctx, s, jobCallTimeout, func(ctx context.Context) ([]core.ItemResult, error) {
			return s.readResultPage(ctx, id, from)
		})
		timedOut := !s.ports.Clock.Now().Add(resultPollInterval).Before(deadline)
		if len(page.Results) > 0 || from >= page.Total || timedOut || !commits.Sleep(ctx, resultPollInterval) {
			break
		}
	}
	page.Next = from + len(page.Results)
	return page, jobCallError(caller, err)
}

// scanResults reads the rows of at most maxPageResults results, beginning at a position.
func (s *Service) scanResults(ctx context.Context, id core.JobID, from int) ([]core.Row, error) {
	prefix := resultKey(id, 0).ID
	prefix = prefix[:len(prefix)-len("00000000")]
	after := prefix
	if from > 0 {
		after = resultKey(id, from-1).ID
	}
	s.metrics.TableReads.Inc(1)
	return s.ports.Tables.Scan(ctx, core.TableResult, prefix, after, maxPageResults)
}

// readResultPage reads one page of results, beginning at a position.
func (s *Service) readResultPage(ctx context.Context, id core.JobID, from int) ([]core.ItemResult, error) {
	rows, err := s.scanResults(ctx, id, from)
	if err != nil {
		return nil, err
	}
	var results []core.ItemResult
	bytes := 0
	for _, row := range rows {
		result, err := s.loadResult(ctx, row)
		if err != nil {
			return nil, err
		}
		if bytes += len(result.Text); bytes > maxPageBytes && len(results) > 0 {
			break
		}
		results = append(results, result)
	}
	return results, nil
}

// loadResult returns the result in a row or in the object that the row refers to.
func (s *Service) loadResult(ctx context.Context, row core.Row) (core.ItemResult, error) {
	record, ok := row.Record.(core.ResultRecord)
	if !ok {
		return core.ItemResult{}, errkind.New(errkind.Internal, "row %s holds %T, want a result", row.Key.ID, row.Record)
	}
	if record.Overflow == "" {
		return record.Result, nil
	}
	body, err := s.ports.Objects.Get(ctx, record.Overflow)
	if err != nil {
		return core.ItemResult{}, errkind.Wrap(errkind.StoreUnavailable, err, "read result of row %s", row.Key.ID)
	}
	return s.ports.Bodies.DecodeResult(body)
}

// ItemBody implements ports.Jobs.
func (s *Service) ItemBody(ctx context.Context, credentials core.Credentials, id core.JobID, item core.ItemID) ([]byte, error) {
	id = storedJobID(id)
	caller, err := s.admitJobCall(ctx, credentials)
	if err != nil {
		return nil, err
	}
	if err := s.beginJobCall(); err != nil {
		return nil, err
	}
	defer s.lifecycle.EndRequest()
	job, err := callStore(ctx, s, jobCallTimeout, func(ctx context.Context) (core.Job, error) { return s.loadJobForCaller(ctx, id, caller) })
	if err != nil {
		return nil, jobCallError(caller, err)
	}
	for i := range job.Items {
		if job.Items[i].ID == item {
			return job.Items[i].Body, nil
		}
	}
	return nil, errkind.New(errkind.UnknownRequest, "job %s has no item %s", id, item)
}

// maxJobBytes is the largest size of a job's body, that of an object. Its decoded form
// takes about as much again.
const maxJobBytes = 8 << 20

// loadJobForCaller returns a job if there is memory for it while it is decoded. Errors:
// those of loadJob, Overloaded.
func (s *Service) loadJobForCaller(ctx context.Context, id core.JobID, caller core.Caller) (core.Job, error) {
	if _, cached := s.jobStorage.Job(id); cached || s.ports.Memory == nil {
		return s.loadJob(ctx, id, caller)
	}
	release, ok := s.ports.Memory.Take(2 * maxJobBytes)
	if !ok {
		return core.Job{}, errkind.New(errkind.Overloaded, "no memory to read job %s", id)
	}
	defer release()
	return s.loadJob(ctx, id, caller)
}

// loadJob returns a job that a caller may use from the cache or from the store. Errors:
// those of readJobRow.
func (s *Service) loadJob(ctx context.Context, id core.JobID, caller core.Caller) (core.Job, error) {
	if job, cached := s.jobStorage.Job(id); cached {
		return job, s.checkOwner(id, job.Account, caller)
	}
	_, record, err := s.readJobRow(ctx, id, caller)
	if err != nil {
		return core.Job{}, err
	}
	body, err := s.ports.Objects.Get(ctx, record.Body)
	if err != nil {
		return core.Job{}, errkind.Wrap(errkind.StoreUnavailable, err, "read body of job %s", id)
	}
	job, err := s.ports.Bodies.DecodeJob(body)
	if err == nil {
		job.Account = record.Account
		s.jobStorage.CacheJob(job, len(body))
	}
	return job, err
}

// EndJob implements ports.Jobs.
func (s *Service) EndJob(ctx context.Context, credentials core.Credentials, id core.JobID) error {
	id = storedJobID(id)
	caller, err := s.admitJobCall(ctx, credentials)
	if err != nil {
		return err
	}
	if err := s.beginJobCall(); err != nil {
		return err
	}
	defer s.lifecycle.EndRequest()
	_, err = callStore(ctx, s, jobCallTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.markJobEnded(ctx, id, caller)
	})
	s.log.Info().Err(err).Str("job", string(id)).Msg("job end requested")
	return jobCallError(caller, err)
}

// markJobEnded marks a job's row as ended, again while other writers change the
// row. Errors: UnknownRequest, StoreUnavailable, OutcomeUnknown.
func (s *Service) markJobEnded(ctx context.Context, id core.JobID, caller core.Caller) error {
	for ctx.Err() == nil {
		row, record, err := s.readJobRow(ctx, id, caller)
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
	return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "end job %s", id)
}
