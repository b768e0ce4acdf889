package peerquic

import (
	"bytes"
	"reflect"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// FuzzRequest decodes arbitrary bytes as a heartbeat frame and checks that each
// accepted heartbeat is unchanged by encoding and decoding it again.
func FuzzRequest(f *testing.F) {
	for _, seed := range seedFrames(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		content, err := readFrame(bytes.NewReader(frame), maxRequestBytes)
		if err != nil {
			return
		}
		var message request
		if decode(requestDecoder, content, &message) != nil {
			return
		}
		var wire wireHeartbeat
		if decode(requestDecoder, message.Body, &wire) != nil {
			return
		}
		heartbeat, err := fromWireHeartbeat(wire)
		if err != nil {
			return
		}
		checkRoundTrip(t, heartbeat)
	})
}

func checkRoundTrip(t *testing.T, heartbeat core.Heartbeat) {
	t.Helper()
	encoded, err := encode(toWireHeartbeat(heartbeat))
	if err != nil {
		t.Fatal(err)
	}
	var wire wireHeartbeat
	if err := decode(requestDecoder, encoded, &wire); err != nil {
		t.Fatal(err)
	}
	decoded, err := fromWireHeartbeat(wire)
	if err != nil {
		t.Fatal(err)
	}
	if len(heartbeat.Unreached) == 0 {
		heartbeat.Unreached, decoded.Unreached = nil, nil
	}
	if !reflect.DeepEqual(heartbeat, decoded) {
		t.Fatalf("heartbeat %+v\ndecoded as %+v", heartbeat, decoded)
	}
}

func seedFrames(t testing.TB) [][]byte {
	var frames [][]byte
	for _, heartbeat := range []core.Heartbeat{fullHeartbeat("entry-1"), {Sender: core.Member{VM: "a"}}} {
		body, err := encode(toWireHeartbeat(heartbeat))
		if err != nil {
			t.Fatal(err)
		}
		var frame bytes.Buffer
		if err := writeFrame(&frame, request{Type: typeHeartbeat, Body: body}, maxRequestBytes); err != nil {
			t.Fatal(err)
		}
		frames = append(frames, frame.Bytes(), frame.Bytes()[:frame.Len()/2])
	}
	return append(frames, []byte{0xff, 0xff, 0xff, 0xff}, []byte{0, 0, 0, 3, 0xa1, 1, 9})
}

func TestInvalidHeartbeatsAreRefused(t *testing.T) {
	cases := map[string]func(*wireHeartbeat){
		"no sender":      func(b *wireHeartbeat) { b.Sender.VM = "" },
		"unknown state":  func(b *wireHeartbeat) { b.Members[0].State = 9 },
		"negative state": func(b *wireHeartbeat) { b.Sender.State = -1 },
		"truncated tag":  func(b *wireHeartbeat) { b.Applied = b.Applied[:3] },
	}
	for name, change := range cases {
		wire := toWireHeartbeat(fullHeartbeat("entry-1"))
		change(&wire)
		if _, err := fromWireHeartbeat(wire); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%s: %v, want bad_request", name, err)
		}
	}
}

func TestOversizeMessageIsNotWritten(t *testing.T) {
	var out bytes.Buffer
	err := writeFrame(&out, make([]byte, 100), 50)
	if !errkind.Is(err, errkind.TooLarge) || out.Len() != 0 {
		t.Errorf("%v, %d bytes written", err, out.Len())
	}
}
