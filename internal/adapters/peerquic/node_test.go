package peerquic

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"fescuespar/internal/adapters/keys"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// site is a certificate authority for tests.
type site struct{ directory string }

func newSite(t testing.TB) site {
	directory := filepath.Join(t.TempDir(), "authority")
	if err := keys.CreateAuthority(directory, "site", time.Now()); err != nil {
		t.Fatal(err)
	}
	return site{directory}
}

func (s site) identity(t testing.TB, vm core.VMID) *keys.Identity {
	directory := filepath.Join(t.TempDir(), string(vm))
	request := keys.IssueRequest{Authority: s.directory, VM: vm, Lifetime: time.Hour, Directory: directory,
		Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	if err := keys.Issue(request, time.Now()); err != nil {
		t.Fatal(err)
	}
	identity, err := keys.Load(keys.InDirectory(directory))
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

func listen(t testing.TB, address string, identity *keys.Identity) *Node {
	node, err := Listen(address, identity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// fakeHandler answers with fixed values, or with err when it is set. A call
// waits on hold when that is set.
type fakeHandler struct {
	vm            core.VMID
	configuration core.Configuration
	batch         core.Batch
	part          core.AnswerPart
	err           error
	started       chan struct{}
	hold          chan struct{}
	beats         atomic.Int64
}

func (h *fakeHandler) HandleHeartbeat(_ context.Context, beat core.Heartbeat) (core.Heartbeat, error) {
	h.beats.Add(1)
	beat.Sender.VM = h.vm
	return beat, h.err
}

func (h *fakeHandler) HandleConfiguration(context.Context) (core.Configuration, error) {
	return h.configuration, h.err
}

func (h *fakeHandler) HandleBatch(ctx context.Context, _ core.BatchRequest) (core.Batch, error) {
	if h.hold != nil {
		close(h.started)
		select {
		case <-h.hold:
		case <-ctx.Done():
			return core.Batch{}, ctx.Err()
		}
	}
	return h.batch, h.err
}

func (h *fakeHandler) HandleAnswer(_ context.Context, request core.AnswerRequest) (core.AnswerPart, error) {
	part := h.part
	part.Chunks = append([]core.Chunk{{Offset: request.Offset}}, part.Chunks...)
	return part, h.err
}

// pair returns a client and a server node of one site.
func pair(t testing.TB, handler *fakeHandler) (client, server *Node) {
	s := newSite(t)
	handler.vm = "entry-2"
	client = listen(t, "127.0.0.1:0", s.identity(t, "entry-1"))
	server = listen(t, "127.0.0.1:0", s.identity(t, "entry-2"))
	if err := server.Serve(handler); err != nil {
		t.Fatal(err)
	}
	return client, server
}

func testContext(t testing.TB, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

const patience = 20 * time.Second

func fullMember(vm core.VMID) core.Member {
	return core.Member{VM: vm, Incarnation: 9, PeerAddress: "10.0.0.1:7000", CallAddress: "10.0.0.1:80", Zone: "a",
		Region: "r", State: core.MemberLeaving, Sequence: 4, Generation: 7, Load: 3}
}

func fullBeat(vm core.VMID) core.Heartbeat {
	return core.Heartbeat{Sender: fullMember(vm), Known: 5, Members: []core.Member{fullMember("x")}, Newest: 8,
		Unreached: []core.VMID{"y"}, Applied: []core.MemberTag{1, 1 << 31}, Weights: []core.WeightNews{{Deployment: "d", Version: 2}},
		Limits:  []core.LimitNews{{Deployment: "d", Epoch: core.AccountEpoch{Incarnation: 9, Reset: 2}, Seen: core.AccountEpoch{Incarnation: 8, Reset: 1}, Given: 7, Demand: 5, Held: 3, Rollouts: 2}},
		Crashes: []core.CrashNews{{Fingerprint: 1 << 63, Round: 1, State: core.CrashConvicted, First: "s", Second: "t", Age: 4, Trial: "y", TrialServer: "u", InFlight: true}}}
}

func TestMessagesArriveWhole(t *testing.T) {
	handler := &fakeHandler{
		configuration: core.Configuration{Generation: 3, Parent: 2, Operator: "o", Deployments: []core.Deployment{{
			Name: "d", Kind: core.KindEngine, Service: "m", Adapter: "a", Class: core.ClassRollout,
			Callers: []core.CallerName{"c"}, Once: []core.OncePattern{{Method: "POST", PathPrefix: "/p"}}, Fencing: true,
			Limits:   core.Limits{Concurrent: 1, QueueLength: 2, QueueTimeout: 3, RequestTimeout: 4},
			Rollout:  &core.Rollout{Trainer: "t", Scorer: "s", Prompts: "p", GroupSize: 1, GroupsPerStep: 2, MaxTokens: 3, StalenessBound: 4, IdleWeight: 0.5},
			Versions: core.VersionPolicy{Pinned: 6},
		}}},
		batch: core.Batch{Deployment: "d", Step: 1, Version: 2, Groups: []core.Group{{ID: core.GroupID{Step: 1, Index: 2},
			Samples: []core.Sample{{Deployment: "d", ID: core.SampleID{Group: core.GroupID{Step: 1, Index: 2}, Index: 3},
				Prompt: "p", Tokens: []string{"a", "b"}, Spans: []core.Span{{From: 0, To: 2, Version: 1}}, Finish: core.FinishStop, Score: 0.25}}}}},
		part: core.AnswerPart{Found: true, Chunks: []core.Chunk{{Offset: 4, Tokens: []string{"x"}, Version: 2}}, Finish: core.FinishLength},
	}
	client, server := pair(t, handler)
	ctx, address := testContext(t, patience), server.Address()
	beat, err := client.Heartbeat(ctx, address, fullBeat("entry-1"))
	check(t, "heartbeat", beat, fullBeat("entry-2"), err)
	configuration, err := client.Configuration(ctx, address)
	check(t, "configuration", configuration, handler.configuration, err)
	batch, err := client.Batch(ctx, address, core.BatchRequest{Deployment: "d", Step: 1})
	check(t, "batch", batch, handler.batch, err)
	part, err := client.Answer(ctx, address, core.AnswerRequest{Caller: "c", ID: "r", Offset: 3})
	want := core.AnswerPart{Found: true, Chunks: []core.Chunk{{Offset: 3}, handler.part.Chunks[0]}, Finish: core.FinishLength}
	check(t, "answer", part, want, err)
	if traffic := client.Traffic(); traffic.Connections != 1 || traffic.BytesSent == 0 || traffic.BytesReceived == 0 {
		t.Errorf("traffic = %+v, want one connection reused and bytes counted", traffic)
	}
}

func check(t *testing.T, name string, got, want any, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %v\n got %+v\nwant %+v", name, err, got, want)
	}
}

func TestErrorsKeepTheirKind(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.NotOwner, errkind.BatchNotReady, errkind.StepConflict, errkind.Internal} {
		handler := &fakeHandler{err: errkind.New(kind, "as told")}
		client, server := pair(t, handler)
		_, err := client.Batch(testContext(t, patience), server.Address(), core.BatchRequest{})
		if !errkind.Is(err, kind) {
			t.Errorf("got %v, want %s", err, kind)
		}
	}
}

func TestForeignAndMisnamedPeersAreRefused(t *testing.T) {
	handler := &fakeHandler{}
	client, server := pair(t, handler)
	stranger := listen(t, "127.0.0.1:0", newSite(t).identity(t, "entry-1"))
	cases := []struct {
		name   string
		node   *Node
		sender core.VMID
		want   errkind.Kind
	}{
		{"foreign authority", stranger, "entry-1", errkind.PeerUnreachable},
		{"another VM's name", client, "entry-9", errkind.Forbidden},
	}
	for _, c := range cases {
		_, err := c.node.Heartbeat(testContext(t, patience), server.Address(), fullBeat(c.sender))
		if !errkind.Is(err, c.want) {
			t.Errorf("%s: %v, want %s", c.name, err, c.want)
		}
	}
	settings := client.identity.Client(protocol, "127.0.0.1")
	settings.Certificates = stranger.identity.Client(protocol, "127.0.0.1").Certificates
	if kind, err := rawExchange(t, settings, server.Address(), seedFrames(t)[0]); err == nil {
		t.Errorf("a foreign certificate from a peer that trusts ours got %q", kind)
	}
	if n := handler.beats.Load(); n != 0 {
		t.Errorf("the handler saw %d heartbeats, want none", n)
	}
}

// rawExchange sends a frame of raw bytes and returns the reply's kind.
func rawExchange(t *testing.T, settings *tls.Config, address string, frame []byte) (errkind.Kind, error) {
	ctx := testContext(t, patience)
	conn, err := quic.DialAddr(ctx, address, settings, quicConfig())
	if err != nil {
		return "", err
	}
	defer conn.CloseWithError(codeClosed, "")
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return "", err
	}
	stream.Write(frame)
	stream.Close()
	content, err := readFrame(stream, maxSmallReplyBytes)
	if err != nil {
		return "", err
	}
	var answer reply
	err = decode(replyDecoder, content, &answer)
	return answer.Kind, err
}

func TestBadFramesAreAnsweredWithTheirKind(t *testing.T) {
	client, server := pair(t, &fakeHandler{})
	cases := []struct {
		name  string
		frame []byte
		want  errkind.Kind
	}{
		{"unknown type", []byte{0, 0, 0, 3, 0xa1, 1, 24}, errkind.BadRequest},
		{"unknown number", []byte{0, 0, 0, 4, 0xa1, 1, 24, 99}, errkind.BadRequest},
		{"unknown key", []byte{0, 0, 0, 5, 0xa2, 1, 2, 9, 9}, errkind.BadRequest},
		{"duplicate key", []byte{0, 0, 0, 5, 0xa2, 1, 2, 1, 2}, errkind.BadRequest},
		{"truncated", []byte{0, 0, 0, 9, 0xa1}, errkind.BadRequest},
		{"no body", []byte{0, 0, 0, 3, 0xa1, 1, 1}, errkind.BadRequest},
		{"oversize", []byte{0xff, 0xff, 0xff, 0xff}, errkind.TooLarge},
	}
	for _, c := range cases {
		settings := client.identity.Client(protocol, "127.0.0.1")
		got, err := rawExchange(t, settings, server.Address(), c.frame)
		if err != nil || got != c.want {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.want)
		}
	}
}

func TestShutdownLetsHandledMessagesEnd(t *testing.T) {
	handler := &fakeHandler{hold: make(chan struct{}), started: make(chan struct{}), batch: core.Batch{Step: 5}}
	client, server := pair(t, handler)
	type result struct {
		batch core.Batch
		err   error
	}
	results := make(chan result, 1)
	go func() {
		batch, err := client.Batch(testContext(t, patience), server.Address(), core.BatchRequest{})
		results <- result{batch, err}
	}()
	<-handler.started
	stopped := make(chan struct{})
	go func() {
		server.Shutdown(testContext(t, patience))
		close(stopped)
	}()
	for closing := false; !closing; {
		_, err := client.Heartbeat(testContext(t, patience), server.Address(), fullBeat("entry-1"))
		closing = errkind.Is(err, errkind.ShuttingDown)
		if err != nil && !closing {
			t.Fatalf("during the shutdown: %v, want shutting_down", err)
		}
	}
	close(handler.hold)
	if r := <-results; r.err != nil || r.batch.Step != 5 {
		t.Errorf("the message in flight got %+v, %v", r.batch, r.err)
	}
	<-stopped
}

func TestRestartedPeerIsReachedAgain(t *testing.T) {
	s := newSite(t)
	client := listen(t, "127.0.0.1:0", s.identity(t, "entry-1"))
	identity := s.identity(t, "entry-2")
	first := listen(t, "127.0.0.1:0", identity)
	address := first.Address()
	if err := first.Serve(&fakeHandler{vm: "entry-2"}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Heartbeat(testContext(t, patience), address, fullBeat("entry-1")); err != nil {
		t.Fatal(err)
	}
	first.socket.Close() // no goodbye, as in a crash
	if _, err := client.Heartbeat(testContext(t, time.Second), address, fullBeat("entry-1")); !errkind.Is(err, errkind.PeerUnreachable) {
		t.Fatalf("got %v, want peer_unreachable", err)
	}
	second := listen(t, address, identity)
	if err := second.Serve(&fakeHandler{vm: "entry-2"}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Heartbeat(testContext(t, 5*time.Second), address, fullBeat("entry-1")); err != nil {
		t.Errorf("after the restart: %v", err)
	}
}
