package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages state them.
const (
	rowCallTime   = 4 * time.Millisecond // an answer about rows
	blobCallTime  = 25 * time.Millisecond
	blobBytesPerS = 80 << 20
	maxBlobBytes  = 8 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	maxEntries    = 100
	maxRowBytes   = 65536
	maxTotalBytes = 400 << 20
)

type storeRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Deleted bool `json:",omitempty"`
}

type rowName struct{ table, part, key string }

// store is a stand-in of the platform's store. It answers as a sound store does.
type store struct {
	server  *http.Server
	address string
	started time.Time

	mu        sync.Mutex
	rows      map[rowName]storeRow
	changes   []storeRow
	version   uint64
	blobs     map[string][]byte
	blobBytes int
	blobFree  time.Time // when the shared bandwidth of blobs is free
	slow      int       // factor of the time of each answer
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: make(map[rowName]storeRow), blobs: make(map[string][]byte), slow: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /api/rows-get", s.serveRows)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	mux.HandleFunc("PUT /api/blob-put/{id}", s.servePut)
	mux.HandleFunc("GET /api/blob-get/{id}", s.serveGet)
	mux.HandleFunc("DELETE /api/blob-drop/{id}", s.serveDrop)
	mux.HandleFunc("GET /api/blob-list", s.serveList)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) wait(d time.Duration) {
	s.mu.Lock()
	d *= time.Duration(s.slow)
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() + 1_000_000 }

func reply(w http.ResponseWriter, status int, message any) {
	body, _ := json.Marshal(message)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// put writes a row as the operator and the workers do; a nil value removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: value, Ver: s.version, Deleted: value == nil})
}

func (s *store) putJSON(table, key string, message any) {
	value, _ := json.Marshal(message)
	s.put(table, key, value)
}

// apply changes a row. The caller holds mu.
func (s *store) apply(row storeRow) {
	name := rowName{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = row
	}
	s.changes = append(s.changes, row)
	if len(s.changes) > 20000 {
		s.changes = append([]storeRow(nil), s.changes[10000:]...)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var message struct{ ExpectedRev, Puts, Remove []storeRow }
	if err != nil || len(body) > 2<<20 || json.Unmarshal(body, &message) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	size, parts := 0, map[string]bool{}
	for _, list := range [][]storeRow{message.ExpectedRev, message.Puts, message.Remove} {
		for _, row := range list {
			size += len(row.Value)
			parts[row.Part] = true
			if len(row.Value) > maxRowBytes || false || row.Table == "op" || row.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	if keyTooLong(message.ExpectedRev, message.Puts, message.Remove) || len(message.ExpectedRev)+len(message.Puts)+len(message.Remove) > maxEntries || size > maxPageBytes || len(parts) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.wait(rowCallTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	holds := true
	for _, expected := range message.ExpectedRev {
		row := s.rows[rowName{expected.Table, expected.Part, expected.Key}]
		if row.Ver != expected.Ver {
			holds = false
		}
		if row.Ver != 0 {
			current = append(current, row)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"Rows": current, "Ver": s.version, "NowMs": s.now()})
		return
	}
	s.version++
	for _, row := range message.Puts {
		row.Ver = s.version
		s.apply(row)
	}
	for _, row := range message.Remove {
		row.Ver, row.Deleted = s.version, true
		s.apply(row)
	}
	reply(w, http.StatusOK, map[string]any{"Ver": s.version, "NowMs": s.now()})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	s.wait(rowCallTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	found := []storeRow{}
	for name, row := range s.rows {
		if name.table == q.Get("Table") && name.part == q.Get("part") && name.key >= q.Get("From") && (q.Get("To") == "" || name.key < q.Get("To")) {
			found = append(found, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	size, count := 0, 0
	for count < len(found) && count < limit {
		if size += len(found[count].Value); size > maxPageBytes && count > 0 {
			break
		}
		count++
	}
	reply(w, http.StatusOK, map[string]any{"Rows": found[:count], "HasMore": count < len(found), "Ver": version, "NowMs": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	s.wait(rowCallTime)
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changes) > 0 && s.changes[0].Ver > after+1 {
		w.WriteHeader(http.StatusGone)
		return
	}
	found := []storeRow{}
	for _, row := range s.changes {
		if row.Ver > after && row.Table == r.URL.Query().Get("Table") {
			found = append(found, row)
		}
	}
	reply(w, http.StatusOK, map[string]any{"Rows": found, "Ver": s.version, "NowMs": s.now()})
}

// transfer waits for a blob's share of the bandwidth.
func (s *store) transfer(bytes int) {
	s.mu.Lock()
	now := time.Now()
	if s.blobFree.Before(now) {
		s.blobFree = now
	}
	s.blobFree = s.blobFree.Add(time.Duration(float64(bytes) / blobBytesPerS * float64(time.Second)))
	until := s.blobFree
	s.mu.Unlock()
	time.Sleep(time.Until(until))
	s.wait(blobCallTime)
}

func (s *store) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBlobBytes+1))
	if err != nil || len(body) > maxBlobBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.transfer(len(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.PathValue("id")
	old, exists := s.blobs[id]
	switch {
	case exists && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case s.blobBytes+len(body)-len(old) > maxTotalBytes:
		w.WriteHeader(http.StatusInsufficientStorage)
	default:
		s.blobBytes += len(body) - len(old)
		s.blobs[id] = body
		w.WriteHeader(http.StatusOK)
	}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, exists := s.blobs[r.PathValue("id")]
	s.mu.Unlock()
	s.transfer(len(body))
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (s *store) serveDrop(w http.ResponseWriter, r *http.Request) {
	s.wait(blobCallTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blobBytes -= len(s.blobs[r.PathValue("id")])
	delete(s.blobs, r.PathValue("id"))
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request) {
	s.wait(blobCallTime)
	q := r.URL.Query()
	s.mu.Lock()
	names := []string{}
	for name := range s.blobs {
		if strings.HasPrefix(name, q.Get("Prefix")) && name > q.Get("After") {
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	sort.Strings(names)
	more := len(names) > 1000
	if more {
		names = names[:1000]
	}
	reply(w, http.StatusOK, map[string]any{"names": names, "HasMore": more})
}

// keyTooLong reports whether a table, part or key has more than 200 bytes.
func keyTooLong(lists ...[]storeRow) bool {
	for _, rows := range lists {
		for _, row := range rows {
			if max(len(row.Table), len(row.Part), len(row.Key)) > 200 {
				return true
			}
		}
	}
	return false
}
