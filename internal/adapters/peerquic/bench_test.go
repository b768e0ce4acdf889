package peerquic

import (
	"runtime"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// BenchmarkHeartbeat measures heartbeats on an open connection, with a pause
// after each. overhead-B is the number of wire bytes of one exchange in both
// directions, without the bytes of its two messages.
func BenchmarkHeartbeat(b *testing.B) {
	client, server := newNodePair(b, &fakeHandler{})
	heartbeat := core.Heartbeat{Sender: fullMember("entry-1")}
	size, err := HeartbeatSize(heartbeat)
	if err != nil {
		b.Fatal(err)
	}
	exchange := func() {
		if _, err := client.Heartbeat(testContext(b, callTimeout), server.Address(), heartbeat); err != nil {
			b.Fatal(err)
		}
		time.Sleep(heartbeatPause)
	}
	for range 5 {
		exchange() // warm-up, so that the last packets of the handshake are not counted
	}
	before := client.Traffic()
	b.ResetTimer()
	for range b.N {
		exchange()
	}
	after := client.Traffic()
	total := after.BytesSent + after.BytesReceived - before.BytesSent - before.BytesReceived
	b.ReportMetric(float64(total)/float64(b.N)-float64(2*size), "overhead-B")
	b.ReportMetric(float64(after.PacketsSent+after.PacketsReceived-before.PacketsSent-before.PacketsReceived)/float64(b.N), "packets")
}

// heartbeatPause leaves time for delayed acknowledgements to be sent.
const heartbeatPause = 60 * time.Millisecond

// BenchmarkThroughput measures heartbeats sent one after the other.
func BenchmarkThroughput(b *testing.B) {
	client, server := newNodePair(b, &fakeHandler{})
	ctx := testContext(b, time.Minute)
	for range b.N {
		if _, err := client.Heartbeat(ctx, server.Address(), fullHeartbeat("entry-1")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHandshake measures the first heartbeat between two processes. wire-B
// is its bytes on the wire, heap-B the heap of the open connection on both ends.
func BenchmarkHandshake(b *testing.B) {
	authority := newTestAuthority(b)
	identity := authority.identity(b, "entry-1")
	server := listen(b, "127.0.0.1:0", authority.identity(b, "entry-2"))
	if err := server.Serve(&fakeHandler{vm: "entry-2"}); err != nil {
		b.Fatal(err)
	}
	clients := make([]*Node, b.N)
	for i := range clients {
		clients[i] = listen(b, "127.0.0.1:0", identity)
	}
	before := heapBytes()
	b.ResetTimer()
	for _, client := range clients {
		if _, err := client.Heartbeat(testContext(b, callTimeout), server.Address(), core.Heartbeat{Sender: fullMember("entry-1")}); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	time.Sleep(heartbeatPause)
	b.ReportMetric((heapBytes()-before)/float64(b.N), "heap-B")
	traffic := server.Traffic()
	b.ReportMetric(float64(traffic.BytesSent+traffic.BytesReceived)/float64(b.N), "wire-B")
	if traffic.Connections != b.N {
		b.Fatalf("%d connections, want %d", traffic.Connections, b.N)
	}
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// BenchmarkVMListChanges measures requests for the changes of a VM list that has
// not changed, on an open connection with a pause after each. wire-B is the
// number of wire bytes of one exchange in both directions.
func BenchmarkVMListChanges(b *testing.B) {
	client, server := newNodePair(b, &fakeHandler{changes: core.VMListChanges{Known: true, Digest: 1 << 63, Age: 900 * time.Millisecond}})
	exchange := func() {
		if _, err := client.VMListChanges(testContext(b, callTimeout), server.Address(), core.VMListChangesRequest{Digest: 1 << 62}); err != nil {
			b.Fatal(err)
		}
		time.Sleep(heartbeatPause)
	}
	for range 5 {
		exchange() // warm-up, so that the last packets of the handshake are not counted
	}
	before := client.Traffic()
	b.ResetTimer()
	for range b.N {
		exchange()
	}
	after := client.Traffic()
	total := after.BytesSent + after.BytesReceived - before.BytesSent - before.BytesReceived
	b.ReportMetric(float64(total)/float64(b.N), "wire-B")
}
