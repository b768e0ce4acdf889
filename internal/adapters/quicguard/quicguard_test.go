package quicguard

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
)

func serverTLS(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, NextProtos: []string{"test"}, MinVersion: tls.VersionTLS13}
}

// TestIdleConnectionsMakeRoom guards against senders that keep connections open, so that
// peers find no room, and against the loss of a connection with a call in progress.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const bound = 2
	var refused atomic.Int64
	gate := New(bound, func() { refused.Add(1) })
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	defer transport.Close()
	gate.Protect(transport)
	listener, err := transport.Listen(serverTLS(t), &quic.Config{})
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *quic.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			if !gate.Accept(conn) {
				conn = nil
			}
			accepted <- conn
		}
	}()
	dial := func() (dialed, incoming *quic.Conn) {
		conn, err := quic.DialAddr(t.Context(), socket.LocalAddr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"test"}}, &quic.Config{})
		if err != nil {
			t.Fatal(err)
		}
		return conn, <-accepted
	}
	busyDialed, busy := dial()
	idleDialed, _ := dial()
	gate.BeginCall(busy)
	if _, conn := dial(); conn != nil || refused.Load() != 1 {
		t.Errorf("connection over the bound: %v, %d refused", conn, refused.Load())
	}
	time.Sleep(idleTime + 100*time.Millisecond)
	if _, conn := dial(); conn == nil || refused.Load() != 2 {
		t.Errorf("connection beside an idle one: %v, %d refused", conn, refused.Load())
	}
	select {
	case <-idleDialed.Context().Done():
	case <-time.After(5 * time.Second):
		t.Error("the idle connection stays open")
	}
	if busyDialed.Context().Err() != nil {
		t.Error("the connection with a call in progress was closed")
	}
}
