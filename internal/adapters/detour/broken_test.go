package detour

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
)

// startRawPeer starts a peer that answers each call with the given bytes, and then ends the
// stream in order, or resets it.
func startRawPeer(t *testing.T, answer string, resets bool) (address string) {
	t.Helper()
	certificate, err := selfSigned()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := quic.ListenAddr("127.0.0.1:0", &tls.Config{
		Certificates: []tls.Certificate{certificate}, NextProtos: []string{protocol}, MinVersion: tls.VersionTLS13,
	}, quicConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept(t.Context())
			if err != nil {
				return
			}
			go func() {
				for {
					stream, err := conn.AcceptStream(t.Context())
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, stream)
					_, _ = io.WriteString(stream, answer)
					if resets {
						time.Sleep(20 * time.Millisecond) // until the node has read the answer
						stream.CancelWrite(0)
					}
					_ = stream.Close()
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestMalformedAnswerOfPeerIsNone covers what a peer may send that is no whole response.
func TestMalformedAnswerOfPeerIsNone(t *testing.T) {
	node, err := Listen("127.0.0.1:0", "platform.example", &faultyTransport{}, limits())
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	for _, c := range []struct {
		name, answer    string
		resets, isWhole bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, true},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", false, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false, false},
		{"coding of another version", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, false},
		{"part of a body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, false},
		{"reset", "HTTP/1.1 200 OK\r\n\r\nok", true, false},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://platform.example/tx", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		var body []byte
		response, sent, err := node.callVia(request, startRawPeer(t, c.answer, c.resets))
		if err == nil {
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		if !sent || (err == nil) != c.isWhole {
			t.Errorf("%s: sent %t, body %q, error %v; want it taken as whole %t", c.name, sent, body, err, c.isWhole)
		}
		cancel()
	}
}
