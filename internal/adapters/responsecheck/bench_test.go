package responsecheck

import (
	"net/http"
	"strings"
	"testing"
)

// BenchmarkChecker measures the check of a usual response that arrives at once.
func BenchmarkChecker(b *testing.B) {
	response := []byte("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: application/json\r\n" +
		"Date: Mon, 07 Dec 2026 03:00:00 GMT\r\nKeep-Alive: timeout=5\r\nContent-Length: 800\r\n\r\n" + strings.Repeat("x", 800))
	var c Checker
	b.ReportAllocs()
	for b.Loop() {
		c.Expect(http.MethodPost)
		if c.Check(response) != len(response) {
			b.Fatal(c.Err())
		}
	}
}
