package peerquic

import (
	"runtime"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// BenchmarkHeartbeat measures exchanges on an open connection with a pause
// between them, as heartbeats have. overhead-B is what the wire carries of one
// exchange beyond its two messages, in both directions together.
func BenchmarkHeartbeat(b *testing.B) {
	client, server := pair(b, &fakeHandler{})
	beat := core.Heartbeat{Sender: fullMember("entry-1")}
	size, err := HeartbeatSize(beat)
	if err != nil {
		b.Fatal(err)
	}
	exchange := func() {
		if _, err := client.Heartbeat(testContext(b, patience), server.Address(), beat); err != nil {
			b.Fatal(err)
		}
		time.Sleep(heartbeatPause)
	}
	for range 5 {
		exchange() // the handshake's last packets
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

// heartbeatPause is long enough for delayed acknowledgements to be sent.
const heartbeatPause = 60 * time.Millisecond

// BenchmarkThroughput measures exchanges one after the other.
func BenchmarkThroughput(b *testing.B) {
	client, server := pair(b, &fakeHandler{})
	ctx := testContext(b, time.Minute)
	for range b.N {
		if _, err := client.Heartbeat(ctx, server.Address(), fullBeat("entry-1")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHandshake measures a first heartbeat between two processes: its wire
// bytes and the heap of the open connection, both ends together.
func BenchmarkHandshake(b *testing.B) {
	s := newSite(b)
	identity := s.identity(b, "entry-1")
	server := listen(b, "127.0.0.1:0", s.identity(b, "entry-2"))
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
		if _, err := client.Heartbeat(testContext(b, patience), server.Address(), core.Heartbeat{Sender: fullMember("entry-1")}); err != nil {
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

// BenchmarkVMNews measures a question for a VM list that has not changed, once
// a while on an open connection: all bytes on the wire, both ways.
func BenchmarkVMNews(b *testing.B) {
	client, server := pair(b, &fakeHandler{news: core.VMNews{Known: true, Digest: 1 << 63, Age: 900 * time.Millisecond}})
	ask := func() {
		if _, err := client.VMNews(testContext(b, patience), server.Address(), core.VMNewsRequest{Digest: 1 << 62}); err != nil {
			b.Fatal(err)
		}
		time.Sleep(heartbeatPause)
	}
	for range 5 {
		ask() // the handshake's last packets
	}
	before := client.Traffic()
	b.ResetTimer()
	for range b.N {
		ask()
	}
	after := client.Traffic()
	total := after.BytesSent + after.BytesReceived - before.BytesSent - before.BytesReceived
	b.ReportMetric(float64(total)/float64(b.N), "wire-B")
}
