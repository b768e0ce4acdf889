package peerquic

import (
	"encoding/binary"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const tagBytes = 4

// convert maps every element of a slice. It returns nil for an empty slice.
func convert[A, B any](from []A, convertElement func(A) B) []B {
	if len(from) == 0 {
		return nil
	}
	to := make([]B, len(from))
	for i := range from {
		to[i] = convertElement(from[i])
	}
	return to
}

func toWireMember(m core.Member) wireMember   { return wireMember(m) }
func fromWireMember(m wireMember) core.Member { return core.Member(m) }

func toWireHeartbeat(b core.Heartbeat) wireHeartbeat {
	tags := make([]byte, 0, tagBytes*len(b.Applied))
	for _, tag := range b.Applied {
		tags = binary.BigEndian.AppendUint32(tags, uint32(tag))
	}
	return wireHeartbeat{
		Sender:    wireMember(b.Sender),
		Known:     b.Known,
		Members:   convert(b.Members, toWireMember),
		Unreached: b.Unreached,
		Newest:    b.Newest,
		Applied:   tags,
		Weights:   convert(b.Weights, func(w core.WeightUpdate) wireWeightUpdate { return wireWeightUpdate(w) }),
		Limits:    convert(b.Limits, toWireLimitUpdate),
		Crashes:   convert(b.Crashes, func(c core.CrashUpdate) wireCrashUpdate { return wireCrashUpdate(c) }),
	}
}

// fromWireHeartbeat converts a heartbeat and validates the values that the
// decoder does not check. Errors: BadRequest.
func fromWireHeartbeat(b wireHeartbeat) (core.Heartbeat, error) {
	for _, m := range append([]wireMember{b.Sender}, b.Members...) {
		if m.VM == "" || m.State < core.MemberAlive || m.State > core.MemberGone {
			return core.Heartbeat{}, errkind.New(errkind.BadRequest, "heartbeat lists member %q in unknown state %d", m.VM, int(m.State))
		}
	}
	if len(b.Limits) > core.HeartbeatLimits || len(b.Crashes) > core.HeartbeatCrashes {
		return core.Heartbeat{}, errkind.New(errkind.BadRequest, "heartbeat with %d limit updates and %d crash updates exceeds the limits", len(b.Limits), len(b.Crashes))
	}
	for _, c := range b.Crashes {
		if c.State < core.CrashSuspect || c.State > core.CrashConvicted {
			return core.Heartbeat{}, errkind.New(errkind.BadRequest, "crash update in unknown state %d", int(c.State))
		}
	}
	if len(b.Applied)%tagBytes != 0 {
		return core.Heartbeat{}, errkind.New(errkind.BadRequest, "member tags of %d bytes, want a multiple of 4", len(b.Applied))
	}
	var tags []core.MemberTag
	for at := 0; at < len(b.Applied); at += tagBytes {
		tags = append(tags, core.MemberTag(binary.BigEndian.Uint32(b.Applied[at:])))
	}
	return core.Heartbeat{
		Sender:    core.Member(b.Sender),
		Known:     b.Known,
		Members:   convert(b.Members, fromWireMember),
		Unreached: b.Unreached,
		Newest:    b.Newest,
		Applied:   tags,
		Weights:   convert(b.Weights, func(w wireWeightUpdate) core.WeightUpdate { return core.WeightUpdate(w) }),
		Limits:    convert(b.Limits, fromWireLimitUpdate),
		Crashes:   convert(b.Crashes, func(c wireCrashUpdate) core.CrashUpdate { return core.CrashUpdate(c) }),
	}, nil
}

func toWireLimitUpdate(n core.LimitUpdate) wireLimitUpdate {
	return wireLimitUpdate{
		Deployment: n.Deployment, Epoch: wireAccountEpoch(n.Epoch), Seen: wireAccountEpoch(n.Seen),
		Lent: n.Lent, Demand: n.Demand, Held: n.Held, WaitingInteractive: n.WaitingInteractive, Cleared: n.Cleared,
	}
}

func fromWireLimitUpdate(n wireLimitUpdate) core.LimitUpdate {
	return core.LimitUpdate{
		Deployment: n.Deployment, Epoch: core.AccountEpoch(n.Epoch), Seen: core.AccountEpoch(n.Seen),
		Lent: n.Lent, Demand: n.Demand, Held: n.Held, WaitingInteractive: n.WaitingInteractive, Cleared: n.Cleared,
	}
}

func toWireConfiguration(c core.Configuration) wireConfiguration {
	return wireConfiguration{
		Generation:  c.Generation,
		Parent:      c.Parent,
		Operator:    c.Operator,
		Deployments: convert(c.Deployments, toWireDeployment),
	}
}

func fromWireConfiguration(c wireConfiguration) core.Configuration {
	return core.Configuration{
		Generation:  c.Generation,
		Parent:      c.Parent,
		Operator:    c.Operator,
		Deployments: convert(c.Deployments, fromWireDeployment),
	}
}

func toWireDeployment(d core.Deployment) wireDeployment {
	return wireDeployment{
		Name:          d.Name,
		Kind:          d.Kind,
		Service:       d.Service,
		Adapter:       d.Adapter,
		Class:         d.Class,
		Callers:       d.Callers,
		Limits:        wireLimits(d.Limits),
		NonIdempotent: convert(d.NonIdempotent, func(p core.CallPattern) wireCallPattern { return wireCallPattern(p) }),
		Rollout:       (*wireRollout)(d.Rollout),
		Fencing:       d.Fencing,
		Versions:      wireVersionPolicy(d.Versions),
	}
}

func fromWireDeployment(d wireDeployment) core.Deployment {
	return core.Deployment{
		Name:          d.Name,
		Kind:          d.Kind,
		Service:       d.Service,
		Adapter:       d.Adapter,
		Class:         d.Class,
		Callers:       d.Callers,
		Limits:        core.Limits(d.Limits),
		NonIdempotent: convert(d.NonIdempotent, func(p wireCallPattern) core.CallPattern { return core.CallPattern(p) }),
		Rollout:       (*core.Rollout)(d.Rollout),
		Fencing:       d.Fencing,
		Versions:      core.VersionPolicy(d.Versions),
	}
}

func toWireBatch(b core.Batch) wireBatch {
	return wireBatch{
		Deployment: b.Deployment,
		Step:       b.Step,
		Version:    b.Version,
		Groups:     convert(b.Groups, toWireGroup),
	}
}

func fromWireBatch(b wireBatch) core.Batch {
	group := func(g wireGroup) core.Group { return fromWireGroup(b.Deployment, g) }
	return core.Batch{
		Deployment: b.Deployment,
		Step:       b.Step,
		Version:    b.Version,
		Groups:     convert(b.Groups, group),
	}
}

func toWireGroup(g core.Group) wireGroup {
	return wireGroup{ID: wireGroupID(g.ID), Samples: convert(g.Samples, toWireSample)}
}

func fromWireGroup(deployment core.DeploymentName, g wireGroup) core.Group {
	id := core.GroupID(g.ID)
	sample := func(s wireSample) core.Sample {
		return core.Sample{
			Deployment: deployment,
			ID:         core.SampleID{Group: id, Index: s.Index},
			Prompt:     s.Prompt,
			Tokens:     s.Tokens,
			Spans:      convert(s.Spans, func(w wireSpan) core.Span { return core.Span(w) }),
			Finish:     s.Finish,
			Score:      s.Score,
		}
	}
	return core.Group{ID: id, Samples: convert(g.Samples, sample)}
}

func toWireSample(s core.Sample) wireSample {
	return wireSample{
		Index:  s.ID.Index,
		Prompt: s.Prompt,
		Tokens: s.Tokens,
		Spans:  convert(s.Spans, func(span core.Span) wireSpan { return wireSpan(span) }),
		Finish: s.Finish,
		Score:  s.Score,
	}
}

func toWireAnswerPart(p core.AnswerPart) wireAnswerPart {
	chunks := convert(p.Chunks, func(c core.Chunk) wireChunk { return wireChunk(c) })
	return wireAnswerPart{Found: p.Found, Chunks: chunks, Finish: p.Finish}
}

func fromWireAnswerPart(p wireAnswerPart) core.AnswerPart {
	chunks := convert(p.Chunks, func(c wireChunk) core.Chunk { return core.Chunk(c) })
	return core.AnswerPart{Found: p.Found, Chunks: chunks, Finish: p.Finish}
}

func toWireVMListChanges(n core.VMListChanges) wireVMListChanges {
	listed := convert(n.Listed, func(vm core.VM) wireVM { return wireVM(vm) })
	return wireVMListChanges{Known: n.Known, Digest: n.Digest, Age: n.Age, Listed: listed, Removed: n.Removed}
}

func fromWireVMListChanges(n wireVMListChanges) core.VMListChanges {
	listed := convert(n.Listed, func(vm wireVM) core.VM { return core.VM(vm) })
	return core.VMListChanges{Known: n.Known, Digest: n.Digest, Age: n.Age, Listed: listed, Removed: n.Removed}
}

// HeartbeatSize returns the encoded size of a heartbeat in bytes, including its
// envelope and length prefix but not the overhead of QUIC.
func HeartbeatSize(b core.Heartbeat) (int, error) {
	body, err := encode(toWireHeartbeat(b))
	if err != nil {
		return 0, err
	}
	envelope, err := encode(request{Type: typeHeartbeat, Body: body})
	return lengthPrefixBytes + len(envelope), err
}
