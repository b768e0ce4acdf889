package rollout

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
)

// sampleState is where a sample of a planned group stands.
type sampleState int

const (
	samplePending sampleState = iota
	sampleRunning             // being generated
	sampleScoring             // generated, being scored
	sampleDone
)

// rateWindow is the time over which a running sample's rate is measured.
const rateWindow = 5 * time.Second

// sampleRow is one sample of a planned group.
type sampleRow struct {
	state      sampleState
	run        uint64 // of the latest start
	startedAt  time.Time
	tokens     int
	oldest     core.WeightVersion
	rate       float64 // tokens a second in the last rate window
	markAt     time.Time
	markTokens int
	grewAt     time.Time // of the last observation with more tokens than before
	moves      int
	reruns     int
	sample     core.Sample
}

// groupRow is one planned group.
type groupRow struct {
	prompt    string
	startedAt time.Time
	samples   []sampleRow
	done      int
}

// lengths returns the lengths of the group's generated samples.
func (g *groupRow) lengths() []int {
	var lengths []int
	for i := range g.samples {
		if g.samples[i].state >= sampleScoring {
			lengths = append(lengths, g.samples[i].tokens)
		}
	}
	return lengths
}

// Policy is what a deployment asks of its rollouts.
type Policy struct {
	GroupsPerStep int
	GroupSize     int
	MaxTokens     int
	Bound         uint64  // versions a sample may lag behind its trainer
	IdleWeight    float64 // weight of trainer idle time against staleness, 0 to 1
}

// Work is one run of one sample. Run is never used twice in one process.
type Work struct {
	ID     core.SampleID
	Run    uint64
	Prompt string
	Oldest core.WeightVersion // oldest weights on which it may start
}

// Book holds the groups in progress of one deployment and what was observed of
// its samples and its trainer. It is not safe for concurrent use.
type Book struct {
	record    core.DeliveryRecord
	prompts   []string
	groups    map[core.GroupID]*groupRow
	runs      uint64 // last run
	running   int    // samples being generated
	plan      Plan
	planned   *Policy // for which plan was made; nil when it is to be made again
	pace      Pace
	history   History
	durations Sketch // seconds from a group's start to its last sample
	skew      Skew
	margin    Margin
	reviewed  time.Time
	probe     Work // latest sample that was started to find the newest weights in use
}

// NewBook returns an empty book whose runs have numbers above firstRun.
func NewBook(firstRun uint64) *Book {
	return &Book{groups: make(map[core.GroupID]*groupRow), runs: firstRun}
}

// Learned is what a book has learned from finished samples. It holds beyond
// the lease under which the work was open.
type Learned struct {
	History   History
	Durations Sketch // seconds from a group's start to its last sample
}

// Learned returns what predictions rest on.
func (b *Book) Learned() Learned { return Learned{b.history, b.durations} }

// Inherit takes over what an earlier book of the deployment has learned.
func (b *Book) Inherit(earlier Learned) { b.history, b.durations = earlier.History, earlier.Durations }

// Load takes the delivery record and the prompts. It returns the runs of groups
// that can no longer be delivered.
func (b *Book) Load(record core.DeliveryRecord, prompts []string) (closed []Work) {
	b.prompts = prompts
	b.record = record
	return b.dropDelivered()
}

// Published notes the newest weight version known.
func (b *Book) Published(version core.WeightVersion, now time.Time) { b.pace.Published(version, now) }

// Start decides how many groups are open and starts their pending samples, the
// earliest planned first, while fewer than limit samples are being generated.
// While samples wait for the newest weights it starts one at a time, which fails
// until an engine has them; Retry must be called for it before the next Start.
func (b *Book) Start(policy Policy, limit int, now time.Time) []Work {
	if len(b.prompts) == 0 {
		return nil
	}
	b.provision(policy)
	steps := (b.plan.Groups + policy.GroupsPerStep - 1) / policy.GroupsPerStep
	through := b.record.LastStep + core.Step(steps)
	most := limit - b.running
	awaits := b.awaitsNewest(policy, now)
	if awaits {
		most = min(most, 1)
	}
	var work []Work
	for place, id := range delivery.Open(b.record, through, policy.GroupsPerStep, b.plan.Groups) {
		group := b.group(id, policy, now)
		oldest := b.pace.OldestUseful(place/policy.GroupsPerStep, policy.Bound)
		if awaits {
			oldest = b.pace.Newest()
		}
		for index := range group.samples {
			if group.samples[index].state == samplePending && len(work) < most {
				started := b.start(group, core.SampleID{Group: id, Index: index}, now)
				started.Oldest = oldest
				work = append(work, started)
			}
		}
	}
	if awaits && len(work) > 0 {
		b.probe = work[0]
	}
	return work
}

// awaitsNewest reports whether samples wait for the newest weights, which are in
// use once a probe was not given back.
func (b *Book) awaitsNewest(policy Policy, now time.Time) bool {
	if row, _ := b.find(b.probe); row != nil {
		b.pace.Served(b.probe.Oldest, now)
	}
	return b.pace.AwaitsNewest(policy.Bound, policy.IdleWeight, now)
}

// Pending returns the samples of planned groups that are not being generated or
// done.
func (b *Book) Pending() int {
	pending := 0
	for _, group := range b.groups {
		for index := range group.samples {
			if group.samples[index].state == samplePending {
				pending++
			}
		}
	}
	return pending
}

// provision makes the plan unless it stands for the policy and the step.
func (b *Book) provision(policy Policy) {
	if b.planned != nil && *b.planned == policy {
		return
	}
	if b.planned == nil {
		b.margin.Next(policy.Bound)
	}
	b.planned = &policy
	b.plan = Provision(Demand{
		GroupsPerStep: policy.GroupsPerStep, Bound: policy.Bound, Margin: b.margin.versions, IdleWeight: policy.IdleWeight,
		Work: b.pace.Work, VersionsPerStep: b.pace.PerStep, Durations: &b.durations,
	})
}

// group returns a planned group, adding it if it is new.
func (b *Book) group(id core.GroupID, policy Policy, now time.Time) *groupRow {
	group := b.groups[id]
	if group == nil {
		number := int(id.Step)*policy.GroupsPerStep + id.Index
		group = &groupRow{
			prompt:    b.prompts[number%len(b.prompts)],
			startedAt: now,
			samples:   make([]sampleRow, policy.GroupSize),
		}
		b.groups[id] = group
	}
	return group
}

func (b *Book) start(group *groupRow, id core.SampleID, now time.Time) Work {
	b.runs++
	b.running++
	row := &group.samples[id.Index]
	*row = sampleRow{state: sampleRunning, run: b.runs, startedAt: now, markAt: now, reruns: row.reruns}
	return Work{ID: id, Run: b.runs, Prompt: group.prompt}
}

// Progress is what is known of a running sample.
type Progress struct {
	Tokens int
	Oldest core.WeightVersion // zero while it has no token
}

// Running returns the samples being generated.
func (b *Book) Running() []Work {
	work := make([]Work, 0, b.running)
	for id, group := range b.groups {
		for index := range group.samples {
			if row := &group.samples[index]; row.state == sampleRunning {
				work = append(work, Work{ID: core.SampleID{Group: id, Index: index}, Run: row.run})
			}
		}
	}
	return work
}

// Observe notes a running sample's progress.
func (b *Book) Observe(work Work, progress Progress, now time.Time) {
	row, _ := b.find(work)
	if row == nil || row.state != sampleRunning {
		return
	}
	if progress.Tokens > row.tokens {
		row.grewAt = now
	}
	row.tokens = progress.Tokens
	row.oldest = progress.Oldest
	b.pace.Served(progress.Oldest, now)
	if span := now.Sub(row.markAt); span >= settleTime || row.rate == 0 {
		row.rate = float64(row.tokens-row.markTokens) / max(span.Seconds(), 1e-3)
		if span >= rateWindow {
			row.markAt = now
			row.markTokens = row.tokens
		}
	}
}

// Generated notes that a sample's last token has arrived. It returns false when
// the run is no longer wanted.
func (b *Book) Generated(work Work, tokens int, now time.Time) bool {
	row, _ := b.find(work)
	if row == nil || row.state != sampleRunning {
		return false
	}
	row.state = sampleScoring
	row.tokens = tokens
	b.running--
	b.skew.Ended(tokens)
	b.margin.Ended(1)
	b.history.Tokens.Add(float64(tokens))
	if took := now.Sub(row.startedAt).Seconds(); took > 0 {
		b.history.Rates.Add(float64(tokens) / took)
	}
	return true
}

// Finish stores a finished sample. It returns true when its group is whole.
func (b *Book) Finish(work Work, sample core.Sample, now time.Time) bool {
	row, group := b.find(work)
	if row == nil || row.state != sampleScoring {
		return false
	}
	row.state = sampleDone
	row.sample = sample
	row.oldest = sample.OldestVersion()
	group.done++
	if group.done < len(group.samples) {
		return false
	}
	b.durations.Add(now.Sub(group.startedAt).Seconds())
	return true
}

// Retry makes a sample pending again whose run has failed.
func (b *Book) Retry(work Work) {
	if row, group := b.find(work); row != nil {
		b.reset(row, group)
	}
}

// reset makes a sample pending.
func (b *Book) reset(row *sampleRow, group *groupRow) {
	switch row.state {
	case sampleRunning:
		b.running--
	case sampleDone:
		group.done--
	}
	*row = sampleRow{reruns: row.reruns}
}

// find returns the sample of a run and its group, or nil if the run is no
// longer wanted.
func (b *Book) find(work Work) (*sampleRow, *groupRow) {
	group := b.groups[work.ID.Group]
	if group == nil || work.ID.Index >= len(group.samples) {
		return nil, nil
	}
	row := &group.samples[work.ID.Index]
	if row.state == samplePending || row.run != work.Run {
		return nil, nil
	}
	return row, group
}
