package routing

import (
	"fmt"
	"strings"
	"time"
)

// Reason is why a server was not eligible in a decision that found no server.
type Reason int

// The reasons, in the order in which filters are asked.
const (
	NotLive         Reason = iota // the VM list shows it as leaving
	Unhealthy                     // ejected as an outlier
	LacksModel                    // it does not hold the model
	OtherWeights                  // it holds the model in a version that is not allowed
	OtherSoftware                 // of another software version than required
	Excluded                      // tried before
	WithoutSlot                   // all its slots are taken by this process
	RecentlyRefused               // it refused a request a moment ago
	OverRateLimit                 // this process has used its share of the advertised limit
	Paced                         // it returned recently and has had its share of work
	WithoutMemory                 // it holds too many bytes of this process's requests
	BehindLink                    // in another region, to which the link is used up
	NotExamined                   // eligible, but not among the servers that were drawn
	reasonCount
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{
		"state", "health", "model", "weights", "software", "excluded", "slots", "refusal", "rate_limit", "pace", "bytes", "link", "not_examined",
	}[r]
}

// reasonOf returns the reason for which a filter rejects a candidate.
func reasonOf(filter Filter, candidate *Candidate) Reason {
	switch filter.(type) {
	case LiveFilter:
		return NotLive
	case HealthFilter:
		return Unhealthy
	case VersionFilter:
		if candidate.HoldsAdapter {
			return OtherWeights
		}
		return LacksModel
	case SoftwareFilter:
		return OtherSoftware
	case ExcludeFilter:
		return Excluded
	case SlotFilter:
		return WithoutSlot
	case PushbackFilter:
		return RecentlyRefused
	case RateLimitFilter:
		return OverRateLimit
	case PaceFilter:
		return Paced
	case BytesFilter:
		return WithoutMemory
	default:
		return BehindLink
	}
}

// Rejections counts servers by the reason for which they were not eligible.
type Rejections [reasonCount]uint64

// String lists the reasons with their counts.
func (r Rejections) String() string {
	var parts []string
	for reason, count := range r {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", Reason(reason), count))
		}
	}
	return strings.Join(parts, ", ")
}

// Bounds of the explanations, which look at more servers than a decision does.
const (
	maxExplained    = 256                    // servers of one decision
	explainInterval = 100 * time.Millisecond // between two decisions
)

// ExplainLast counts the reasons for which the last decision, that of Pick just now for this
// query, found no server. It returns false if the service has none, if another decision was
// explained a moment ago, and for requests that wait for a slot, for which that is usual.
func (s *State) ExplainLast(query *Query, now time.Time) (Rejections, bool) {
	var counts Rejections
	d := &s.decision
	hasServers := s.pools[serviceKey{kind: query.Kind, service: query.Service}] != nil
	if !hasServers || query.RequiresFreeSlot || now.Sub(s.explainedAt) < explainInterval {
		return counts, false
	}
	s.explainedAt = now
	explained := 0
	for _, srv := range s.sortedServers {
		if srv.pool != d.pool {
			continue
		}
		if explained++; explained > maxExplained {
			break
		}
		var candidate Candidate
		s.fillCandidate(&candidate, srv, 0)
		reason := NotExamined
		for _, filter := range s.filters {
			if !filter.Accepts(&candidate, &d.query) {
				reason = reasonOf(filter, &candidate)
				break
			}
		}
		counts[reason]++
	}
	for reason, count := range counts {
		s.rejections[reason] += count
	}
	return counts, true
}

// Rejections returns the counts of all explained decisions since the start.
func (s *State) Rejections() Rejections { return s.rejections }
