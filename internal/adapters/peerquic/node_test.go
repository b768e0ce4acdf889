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

// testAuthority is a certificate authority in a temporary directory.
type testAuthority struct{ directory string }

func newTestAuthority(t testing.TB) testAuthority {
	directory := filepath.Join(t.TempDir(), "authority")
	if err := keys.CreateAuthority(directory, "site", time.Now()); err != nil {
		t.Fatal(err)
	}
	return testAuthority{directory}
}

func (authority testAuthority) identity(t testing.TB, vm core.VMID) *keys.Identity {
	directory := filepath.Join(t.TempDir(), string(vm))
	request := keys.IssueRequest{Authority: authority.directory, VM: vm, Lifetime: time.Hour, Directory: directory,
		Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	if err := keys.Issue(request, time.Now()); err != nil {
		t.Fatal(err)
	}
	identity, err := keys.Load(keys.FilesInDirectory(directory))
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

// fakeHandler returns fixed values and err. If release is set, HandleBatch closes
// started and waits until release is closed.
type fakeHandler struct {
	vm            core.VMID
	configuration core.Configuration
	batch         core.Batch
	part          core.AnswerPart
	changes       core.VMListChanges
	err           error
	started       chan struct{}
	release       chan struct{}
	heartbeats    atomic.Int64
}

func (h *fakeHandler) HandleHeartbeat(_ context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	h.heartbeats.Add(1)
	heartbeat.Sender.VM = h.vm
	return heartbeat, h.err
}

func (h *fakeHandler) HandleConfiguration(context.Context) (core.Configuration, error) {
	return h.configuration, h.err
}

func (h *fakeHandler) HandleBatch(ctx context.Context, _ core.BatchRequest) (core.Batch, error) {
	if h.release != nil {
		close(h.started)
		select {
		case <-h.release:
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

func (h *fakeHandler) HandleVMListChanges(_ context.Context, request core.VMListChangesRequest) (core.VMListChanges, error) {
	changes := h.changes
	changes.Digest ^= request.Digest
	return changes, h.err
}

// newNodePair returns a client and a server node with certificates of one authority.
func newNodePair(t testing.TB, handler *fakeHandler) (client, server *Node) {
	authority := newTestAuthority(t)
	handler.vm = "entry-2"
	client = listen(t, "127.0.0.1:0", authority.identity(t, "entry-1"))
	server = listen(t, "127.0.0.1:0", authority.identity(t, "entry-2"))
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

const callTimeout = 20 * time.Second

func fullMember(vm core.VMID) core.Member {
	return core.Member{VM: vm, Incarnation: 9, PeerAddress: "10.0.0.1:7000", CallAddress: "10.0.0.1:80", Zone: "a",
		Region: "r", State: core.MemberLeaving, Sequence: 4, Generation: 7, Load: 3}
}

func fullHeartbeat(vm core.VMID) core.Heartbeat {
	return core.Heartbeat{Sender: fullMember(vm), Known: 5, Members: []core.Member{fullMember("x")}, Newest: 8,
		Unreached: []core.VMID{"y"}, Applied: []core.MemberTag{1, 1 << 31}, Weights: []core.WeightUpdate{{Deployment: "d", Version: 2}},
		Limits:  []core.LimitUpdate{{Deployment: "d", Epoch: core.AccountEpoch{Incarnation: 9, Reset: 2}, Seen: core.AccountEpoch{Incarnation: 8, Reset: 1}, Lent: 7, Demand: 5, Held: 3, WaitingInteractive: 2, Cleared: true}},
		Crashes: []core.CrashUpdate{{Fingerprint: 1 << 63, Round: 1, State: core.CrashConvicted, First: "s", Second: "t", Age: 4, Trial: "y", TrialServer: "u", InFlight: true}}}
}

func TestMessagesRoundTrip(t *testing.T) {
	handler := &fakeHandler{
		configuration: core.Configuration{Generation: 3, Parent: 2, Operator: "o", Deployments: []core.Deployment{{
			Name: "d", Kind: core.KindEngine, Service: "m", Adapter: "a", Class: core.ClassRollout,
			Callers: []core.CallerName{"c"}, NonIdempotent: []core.CallPattern{{Method: "POST", PathPrefix: "/p"}}, Fencing: true,
			Limits:   core.Limits{Concurrent: 1, QueueLength: 2, QueueTimeout: 3, RequestTimeout: 4},
			Rollout:  &core.Rollout{Trainer: "t", Scorer: "s", Prompts: "p", GroupSize: 1, GroupsPerStep: 2, MaxTokens: 3, StalenessBound: 4, IdleWeight: 0.5},
			Versions: core.VersionPolicy{Pinned: 6},
		}}},
		batch: core.Batch{Deployment: "d", Step: 1, Version: 2, Groups: []core.Group{{ID: core.GroupID{Step: 1, Index: 2},
			Samples: []core.Sample{{Deployment: "d", ID: core.SampleID{Group: core.GroupID{Step: 1, Index: 2}, Index: 3},
				Prompt: "p", Tokens: []string{"a", "b"}, Spans: []core.Span{{From: 0, To: 2, Version: 1}}, Finish: core.FinishStop, Score: 0.25}}}}},
		part: core.AnswerPart{Found: true, Chunks: []core.Chunk{{Offset: 4, Tokens: []string{"x"}, Version: 2}}, Finish: core.FinishLength},
		changes: core.VMListChanges{Known: true, Digest: 1 << 63, Age: time.Second, Removed: []core.ServerID{"g"}, Listed: []core.VM{
			{ID: "s", Kind: core.KindEngine, Service: "m", Address: "10.0.0.9:1", Zone: "a", Region: "r", State: core.VMLeaving}}},
	}
	client, server := newNodePair(t, handler)
	ctx, address := testContext(t, callTimeout), server.Address()
	heartbeat, err := client.Heartbeat(ctx, address, fullHeartbeat("entry-1"))
	checkReply(t, "heartbeat", heartbeat, fullHeartbeat("entry-2"), err)
	configuration, err := client.Configuration(ctx, address)
	checkReply(t, "configuration", configuration, handler.configuration, err)
	batch, err := client.Batch(ctx, address, core.BatchRequest{Deployment: "d", Step: 1})
	checkReply(t, "batch", batch, handler.batch, err)
	part, err := client.Answer(ctx, address, core.AnswerRequest{Caller: "c", ID: "r", Offset: 3})
	want := core.AnswerPart{Found: true, Chunks: []core.Chunk{{Offset: 3}, handler.part.Chunks[0]}, Finish: core.FinishLength}
	checkReply(t, "answer", part, want, err)
	changes, err := client.VMListChanges(ctx, address, core.VMListChangesRequest{Digest: 1})
	handler.changes.Digest |= 1
	checkReply(t, "VM list changes", changes, handler.changes, err)
	if traffic := client.Traffic(); traffic.Connections != 1 || traffic.BytesSent == 0 || traffic.BytesReceived == 0 {
		t.Errorf("traffic = %+v, want 1 connection and non-zero byte counts", traffic)
	}
}

func checkReply(t *testing.T, name string, got, want any, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %v\n got %+v\nwant %+v", name, err, got, want)
	}
}

func TestErrorKindIsPreserved(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.NotOwner, errkind.BatchNotReady, errkind.StepConflict, errkind.Internal} {
		handler := &fakeHandler{err: errkind.New(kind, "test error")}
		client, server := newNodePair(t, handler)
		_, err := client.Batch(testContext(t, callTimeout), server.Address(), core.BatchRequest{})
		if !errkind.Is(err, kind) {
			t.Errorf("got %v, want %s", err, kind)
		}
	}
}

func TestUntrustedAndMisnamedPeersAreRefused(t *testing.T) {
	handler := &fakeHandler{}
	client, server := newNodePair(t, handler)
	untrusted := listen(t, "127.0.0.1:0", newTestAuthority(t).identity(t, "entry-1"))
	cases := []struct {
		name   string
		node   *Node
		sender core.VMID
		want   errkind.Kind
	}{
		{"another authority", untrusted, "entry-1", errkind.PeerUnreachable},
		{"another VM's name", client, "entry-9", errkind.Forbidden},
	}
	for _, c := range cases {
		_, err := c.node.Heartbeat(testContext(t, callTimeout), server.Address(), fullHeartbeat(c.sender))
		if !errkind.Is(err, c.want) {
			t.Errorf("%s: %v, want %s", c.name, err, c.want)
		}
	}
	settings := client.identity.ClientConfig(protocol, "127.0.0.1")
	settings.Certificates = untrusted.identity.ClientConfig(protocol, "127.0.0.1").Certificates
	if kind, err := rawExchange(t, settings, server.Address(), seedFrames(t)[0]); err == nil {
		t.Errorf("client with a certificate of another authority got reply kind %q, want a failed handshake", kind)
	}
	if n := handler.heartbeats.Load(); n != 0 {
		t.Errorf("handler got %d heartbeats, want 0", n)
	}
}

// rawExchange sends the bytes of a frame and returns the error kind of the reply.
func rawExchange(t *testing.T, settings *tls.Config, address string, frame []byte) (errkind.Kind, error) {
	ctx := testContext(t, callTimeout)
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

func TestMalformedFramesAreRefused(t *testing.T) {
	client, server := newNodePair(t, &fakeHandler{})
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
		settings := client.identity.ClientConfig(protocol, "127.0.0.1")
		got, err := rawExchange(t, settings, server.Address(), c.frame)
		if err != nil || got != c.want {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.want)
		}
	}
}

func TestShutdownWaitsForHandlers(t *testing.T) {
	handler := &fakeHandler{release: make(chan struct{}), started: make(chan struct{}), batch: core.Batch{Step: 5}}
	client, server := newNodePair(t, handler)
	type result struct {
		batch core.Batch
		err   error
	}
	results := make(chan result, 1)
	go func() {
		batch, err := client.Batch(testContext(t, callTimeout), server.Address(), core.BatchRequest{})
		results <- result{batch, err}
	}()
	<-handler.started
	stopped := make(chan struct{})
	go func() {
		server.Shutdown(testContext(t, callTimeout))
		close(stopped)
	}()
	for closing := false; !closing; {
		_, err := client.Heartbeat(testContext(t, callTimeout), server.Address(), fullHeartbeat("entry-1"))
		closing = errkind.Is(err, errkind.ShuttingDown)
		if err != nil && !closing {
			t.Fatalf("heartbeat during the shutdown: %v, want shutting_down", err)
		}
	}
	close(handler.release)
	if r := <-results; r.err != nil || r.batch.Step != 5 {
		t.Errorf("request in flight at the shutdown got %+v, %v; want step 5", r.batch, r.err)
	}
	<-stopped
}

func TestReconnectsToRestartedPeer(t *testing.T) {
	authority := newTestAuthority(t)
	client := listen(t, "127.0.0.1:0", authority.identity(t, "entry-1"))
	identity := authority.identity(t, "entry-2")
	first := listen(t, "127.0.0.1:0", identity)
	address := first.Address()
	if err := first.Serve(&fakeHandler{vm: "entry-2"}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Heartbeat(testContext(t, callTimeout), address, fullHeartbeat("entry-1")); err != nil {
		t.Fatal(err)
	}
	first.socket.Close() // sends no close frame, as in a crash
	if _, err := client.Heartbeat(testContext(t, time.Second), address, fullHeartbeat("entry-1")); !errkind.Is(err, errkind.PeerUnreachable) {
		t.Fatalf("got %v, want peer_unreachable", err)
	}
	second := listen(t, address, identity)
	if err := second.Serve(&fakeHandler{vm: "entry-2"}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Heartbeat(testContext(t, 5*time.Second), address, fullHeartbeat("entry-1")); err != nil {
		t.Errorf("heartbeat after the restart: %v", err)
	}
}
