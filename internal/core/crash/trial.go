package crash

import (
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Propose asks for a trial of a suspect on a server. It returns false while
// the trial may not be asked for: another process holds the trial, a copy runs
// here, another suspect has the server, or the death is too recent. After true
// the news must be sent to every live entry process.
func (t *Tracker) Propose(fingerprint uint64, server core.ServerID, now time.Time) bool {
	r := t.rows[fingerprint]
	if r == nil || r.state != core.CrashSuspect || r.running || r.second != "" {
		return false
	}
	if r.trial == t.self && r.trialServer == server {
		return true
	}
	if r.trial != "" && r.trial != t.self {
		return false
	}
	if now.Sub(r.died) < calmWait || t.deathsWithin(calmWait, now) > 0 || t.inOutage(now) {
		return false
	}
	if t.inFlight[fingerprint] > 0 || t.taken(fingerprint, server) {
		return false
	}
	r.trial, r.trialServer = t.self, server
	r.allowed = make(map[core.VMID]bool)
	return true
}

// Start begins a proposed trial if every live entry process has allowed it.
// The request is then sent to the returned server and EndTrial called once.
func (t *Tracker) Start(fingerprint uint64, live []core.VMID) (core.ServerID, bool) {
	r := t.rows[fingerprint]
	if r == nil || r.state != core.CrashSuspect || r.trial != t.self || r.running || r.second != "" {
		return "", false
	}
	for _, vm := range live {
		if vm != t.self && !r.allowed[vm] {
			return "", false
		}
	}
	r.running = true
	return r.trialServer, true
}

// Withdraw gives up a proposed trial that has not begun.
func (t *Tracker) Withdraw(fingerprint uint64) {
	if r := t.rows[fingerprint]; r != nil && r.trial == t.self && !r.running {
		r.endTrial()
	}
}

// Gone takes back what this process allowed to an entry process that is gone.
// When the server of its trial was seen to die, the fingerprint is convicted.
func (t *Tracker) Gone(vm core.VMID, now time.Time) {
	for fingerprint, r := range t.rows {
		switch {
		case r.trial != vm:
		case r.trialDied:
			t.convict(fingerprint, r, r.trialServer, now)
		default:
			r.endTrial()
		}
	}
}

// taken reports whether a server has or may get the trial of another suspect.
func (t *Tracker) taken(fingerprint uint64, server core.ServerID) bool {
	for other, r := range t.rows {
		if other != fingerprint && r.state == core.CrashSuspect && r.trialServer == server {
			return true
		}
	}
	return false
}

// Heard takes a peer's news.
func (t *Tracker) Heard(sender core.VMID, news []core.CrashNews, now time.Time) {
	for i := range news {
		t.heard(sender, &news[i], now)
	}
	t.recogniseOutage(now)
}

func (t *Tracker) heard(sender core.VMID, news *core.CrashNews, now time.Time) {
	r := t.rows[news.Fingerprint]
	if r == nil {
		if len(t.rows) >= maxFingerprints {
			return
		}
		r = &row{}
		t.rows[news.Fingerprint] = r
	}
	if news.Round > r.round || (news.Round == r.round && news.State > r.state) {
		t.adopt(r, news, now)
	}
	if r.state != core.CrashSuspect || news.Round != r.round || news.State != core.CrashSuspect {
		return
	}
	t.heardSecond(r, news, now)
	t.answerTrial(sender, r, news)
}

// heardSecond notes that the fingerprint was in flight at two deaths.
func (t *Tracker) heardSecond(r *row, news *core.CrashNews, now time.Time) {
	second := news.Second
	if news.First != r.first {
		second = news.First
	}
	if second == "" || second == r.first || r.second != "" || r.running || r.judged {
		return
	}
	r.first, r.second = min(r.first, second), max(r.first, second)
	r.died = now.Add(-age(news))
	t.noteDeath(second, r.died)
}

func age(news *core.CrashNews) time.Duration {
	return time.Duration(news.Age) * time.Millisecond
}

// adopt replaces older knowledge by a peer's.
func (t *Tracker) adopt(r *row, news *core.CrashNews, now time.Time) {
	r.round = news.Round
	died := now.Add(-age(news))
	r.died = died
	switch news.State {
	case core.CrashConvicted:
		r.first = news.First
		t.convict(news.Fingerprint, r, news.Second, now)
	case core.CrashCleared:
		r.state, r.touched = core.CrashCleared, now
		r.endTrial()
		t.changed = append(t.changed, news.Fingerprint)
	default:
		r.endTrial()
		t.noteDeath(news.First, died)
		t.suspect(news.Fingerprint, r, news.First, now)
		r.died = died
	}
}

// answerTrial decides whom this process allows to run the trial. Of two that
// ask at once the smaller VM name goes first.
func (t *Tracker) answerTrial(sender core.VMID, r *row, news *core.CrashNews) {
	asks := news.Trial == sender
	switch {
	case r.running:
	case r.trial == t.self && news.Trial == t.self && news.TrialServer == r.trialServer && !news.InFlight:
		r.allowed[sender] = true
	case r.trial == t.self && asks && sender < t.self:
		r.endTrial()
		t.allow(sender, r, news)
	case r.trial == sender && !asks:
		r.endTrial()
	case asks && (r.trial == "" || r.trial == sender):
		t.allow(sender, r, news)
	}
}

func (t *Tracker) allow(sender core.VMID, r *row, news *core.CrashNews) {
	r.endTrial()
	if t.inFlight[news.Fingerprint] > 0 || t.taken(news.Fingerprint, news.TrialServer) {
		return
	}
	r.trial, r.trialServer = sender, news.TrialServer
}

// News returns what a heartbeat carries, at most limit fingerprints: first the
// suspects and what was cleared lately, then the convictions in turn.
func (t *Tracker) News(limit int, now time.Time) []core.CrashNews {
	var open, convicted []uint64
	for fingerprint, r := range t.rows {
		if r.state == core.CrashConvicted {
			convicted = append(convicted, fingerprint)
		} else {
			open = append(open, fingerprint)
		}
	}
	slices.Sort(open)
	slices.Sort(convicted)
	var news []core.CrashNews
	for _, fingerprint := range open[:min(limit, len(open))] {
		news = append(news, t.newsOf(fingerprint, now))
	}
	from, _ := slices.BinarySearch(convicted, t.cursor+1)
	for i := range min(limit-len(news), len(convicted)) {
		t.cursor = convicted[(from+i)%len(convicted)]
		news = append(news, t.newsOf(t.cursor, now))
	}
	return news
}

// Answer returns what an answer to a peer's news carries: what this process
// knows of the same fingerprints.
func (t *Tracker) Answer(asked []core.CrashNews, now time.Time) []core.CrashNews {
	var news []core.CrashNews
	for i := range asked {
		if t.rows[asked[i].Fingerprint] != nil {
			news = append(news, t.newsOf(asked[i].Fingerprint, now))
		}
	}
	return news
}

func (t *Tracker) newsOf(fingerprint uint64, now time.Time) core.CrashNews {
	r := t.rows[fingerprint]
	return core.CrashNews{
		Fingerprint: fingerprint, Round: r.round, State: r.state, First: r.first, Second: r.second,
		Age:   uint32(min(now.Sub(r.died).Milliseconds(), math.MaxUint32)),
		Trial: r.trial, TrialServer: r.trialServer, InFlight: t.inFlight[fingerprint] > 0,
	}
}
