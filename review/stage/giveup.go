package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["giveup"] = giveUpCase }

// giveUpCase has a share of the clients leave before their answer has come. They close
// their sending side and read until the other side closes too, as in an orderly end of a
// TCP connection.
func giveUpCase(folder string, trouble bool) verdict {
	s, err := open(folder, 3)
	if err != nil {
		return verdict{err: err}
	}
	defer s.close()
	s.store.write("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{
			map[string]any{
				"Name": "r-lookup", "Host": host, "Prefix": "/lookup/", "Kind": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 200,
				"Priority": 0, "Service": "desk", "MaxAttempts": 2,
			},
			map[string]any{
				"Name": "r-sponsor", "Host": host, "Prefix": "/sponsor/", "Kind": "non_idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 200,
				"Priority": 0, "Service": "desk", "MaxAttempts": 2,
			},
		},
		"Services": []any{plainService("desk")},
		"Limits":   limits,
	})
	var workers []*worker
	for i := range 3 {
		w := &worker{site: s, id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", slots: 6, work: 120 * time.Millisecond}
		if err := w.start(); err != nil {
			return verdict{err: err}
		}
		workers = append(workers, w)
	}
	if err := s.startAll(); err != nil {
		return verdict{err: err}
	}
	var (
		mu       sync.Mutex
		broken   []string
		answered int
		running  sync.WaitGroup
	)
	for number := range 400 {
		path := []string{"/lookup/", "/sponsor/"}[number%2] + fmt.Sprint(number)
		leaves := trouble && rand.Float64() < 0.2
		running.Add(1)
		go func() {
			defer running.Done()
			id := newID()
			status, stamp, size, err := s.leave(s.relays[rand.IntN(len(s.relays))].front, path, id, leaves)
			s.log("client ends", "request", id, "path", path, "leaves", leaves, "status", status, "stamp", stamp, "bytes", size, "error", err)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				answered++
			}
			if status/100 == 2 && stamp == "" {
				broken = append(broken, fmt.Sprintf("request %s for %s was answered with status %d, %d bytes and no Server-Stamp", id, path, status, size))
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
	s.log("checked", "answered", answered, "runs", len(runsOf(workers)), "broken", len(broken))
	if answered < 200 {
		return verdict{err: fmt.Errorf("only %d requests were answered", answered)}
	}
	return verdict{broken: broken}
}

// leave sends a request and reads its answer. A client that leaves closes its sending
// side after half the objective.
func (s *site) leave(address, path, id string, leaves bool) (status int, stamp string, size int64, err error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", 0, err
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return 0, "", 0, err
	}
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 8\r\n\r\nquestion", path, host, id)
	if err != nil {
		return 0, "", 0, err
	}
	if leaves {
		time.AfterFunc(100*time.Millisecond, func() { _ = connection.(*net.TCPConn).CloseWrite() })
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, "", 0, err
	}
	defer response.Body.Close()
	size, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Server-Stamp"), size, err
}
