package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
}

// rowMessage is a row as the store sends it.
type rowMessage struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. Each relay gets a listener of its
// own, so that the store can turn one of them away.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]storedRow
	keys    map[[2]string][]string // sorted, by table and part
	changes []rowMessage
	blobs   map[string][]byte
	began   time.Time
}

func newStore() *store {
	return &store{rows: make(map[rowKey]storedRow), keys: make(map[[2]string][]string), blobs: make(map[string][]byte), began: time.Now()}
}

// storeGate is the store as one relay sees it.
type storeGate struct {
	store   *store
	address string
	busy    atomic.Bool // calls are answered with status 503
	latency atomic.Int64
	// conditional is when the relay last wrote under a condition, in Unix nanoseconds. Of the
	// rows that processes share, candidates for a lease only read while another one holds it.
	conditional atomic.Int64
}

const answerTime = 4 * time.Millisecond

// listen opens a listener for one relay.
func (s *store) listen(host string) (*storeGate, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	gate := &storeGate{store: s, address: listener.Addr().String()}
	gate.latency.Store(int64(answerTime))
	go func() { _ = http.Serve(listener, gate) }()
	return gate, nil
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(g.latency.Load()))
	if g.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/api/rows-tx" && g.store.isConditional(body) {
		g.conditional.Store(time.Now().UnixNano())
	}
	g.store.serve(w, r, body)
}

// isConditional reports whether a transaction has a condition on a row that exists.
func (s *store) isConditional(body []byte) bool {
	var tx transaction
	return json.Unmarshal(body, &tx) == nil && slices.ContainsFunc(tx.ExpectedRev, func(row rowMessage) bool { return row.Ver != 0 })
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

func reply(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	query := r.URL.Query()
	escaped := r.URL.EscapedPath()
	name, _ := url.PathUnescape(escaped[strings.LastIndex(escaped, "/")+1:])
	switch {
	case r.URL.Path == "/api/rows-tx":
		s.serveTransaction(w, body)
	case r.URL.Path == "/api/rows-get":
		limit, err := strconv.Atoi(query.Get("Limit"))
		if err != nil || limit > 500 {
			limit = 500
		}
		s.serveRows(w, query.Get("Table"), query.Get("part"), query.Get("From"), query.Get("To"), limit)
	case r.URL.Path == "/api/rows-feed":
		after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.serveFeed(w, query.Get("Table"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/api/rows-parts":
		s.serveParts(w, query.Get("Table"))
	case strings.HasPrefix(r.URL.Path, "/api/blob-"):
		time.Sleep(20 * time.Millisecond)
		s.serveBlob(w, r, name, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type transaction struct {
	ExpectedRev []rowMessage
	Puts        []rowMessage
	Remove      []rowMessage
}

func (m *rowMessage) id() rowKey { return rowKey{m.Table, m.Part, m.Key} }

func (s *store) serveTransaction(w http.ResponseWriter, body []byte) {
	var tx transaction
	if json.Unmarshal(body, &tx) != nil || len(tx.ExpectedRev)+len(tx.Puts)+len(tx.Remove) > 100 || len(body) > 1<<20 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(tx.Puts, tx.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []rowMessage
	holds := true
	for _, row := range tx.ExpectedRev {
		stored, found := s.rows[row.id()]
		if stored.version != row.Ver {
			holds = false
		}
		if found {
			current = append(current, rowMessage{Table: row.Table, Part: row.Part, Key: row.Key, Value: stored.value, Ver: stored.version})
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"Rows": current, "Ver": s.version, "NowMs": s.nowMs()})
		return
	}
	s.apply(tx.Puts, tx.Remove)
	reply(w, http.StatusOK, map[string]any{"Ver": s.version, "NowMs": s.nowMs()})
}

// apply writes and removes rows in one transaction. The caller holds mu.
func (s *store) apply(puts, removals []rowMessage) {
	s.version++
	for _, row := range puts {
		if _, found := s.rows[row.id()]; !found {
			at := [2]string{row.Table, row.Part}
			index, _ := slices.BinarySearch(s.keys[at], row.Key)
			s.keys[at] = slices.Insert(s.keys[at], index, row.Key)
		}
		s.rows[row.id()] = storedRow{row.Value, s.version}
		row.Ver = s.version
		s.changes = append(s.changes, row)
	}
	for _, row := range removals {
		at := [2]string{row.Table, row.Part}
		if index, found := slices.BinarySearch(s.keys[at], row.Key); found {
			s.keys[at] = slices.Delete(s.keys[at], index, index+1)
		}
		delete(s.rows, row.id())
		row.Ver, row.Value, row.Deleted = s.version, nil, true
		s.changes = append(s.changes, row)
	}
}

// write writes a row as operators and workers do and returns when it was acknowledged.
func (s *store) write(table, key string, message any) time.Time {
	value, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]rowMessage{{Table: table, Key: key, Value: value}}, nil)
	return time.Now()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []rowMessage{{Table: table, Key: key}})
}

const maxAnswerBytes = 1 << 20

func (s *store) serveRows(w http.ResponseWriter, table, part, from, to string, limit int) {
	s.mu.Lock()
	var found []rowMessage
	keys := s.keys[[2]string{table, part}]
	first, _ := slices.BinarySearch(keys, from)
	for _, key := range keys[first:] {
		if to != "" && key >= to || len(found) > limit {
			break
		}
		row := s.rows[rowKey{table, part, key}]
		found = append(found, rowMessage{Table: table, Part: part, Key: key, Value: row.value, Ver: row.version})
	}
	version := s.version
	s.mu.Unlock()
	size, count := 0, 0
	for count < min(limit, len(found)) && (count == 0 || size+len(found[count].Value) <= maxAnswerBytes) {
		size += len(found[count].Value)
		count++
	}
	reply(w, http.StatusOK, map[string]any{"Rows": append([]rowMessage{}, found[:count]...), "HasMore": count < len(found), "Ver": version, "NowMs": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, table string, after uint64, wait time.Duration) {
	for until := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		rows := []rowMessage{}
		first, _ := slices.BinarySearchFunc(s.changes, after+1, func(row rowMessage, version uint64) int { return int(int64(row.Ver) - int64(version)) })
		for _, row := range s.changes[first:] {
			if row.Table == table {
				rows = append(rows, row)
			}
		}
		version := s.version
		s.mu.Unlock()
		if len(rows) > 0 || time.Now().After(until) {
			reply(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version, "NowMs": s.nowMs()})
			return
		}
	}
}

func (s *store) serveParts(w http.ResponseWriter, table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for key := range s.rows {
		if key.table == table && !slices.Contains(parts, key.part) {
			parts = append(parts, key.part)
		}
	}
	slices.Sort(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts, "HasMore": false, "Ver": s.version, "NowMs": s.nowMs()})
}

func (s *store) serveBlob(w http.ResponseWriter, r *http.Request, name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content, found := s.blobs[name]
	switch {
	case strings.HasPrefix(r.URL.Path, "/api/blob-list"):
		names := []string{}
		for known := range s.blobs {
			if strings.HasPrefix(known, r.URL.Query().Get("Prefix")) && known > r.URL.Query().Get("After") {
				names = append(names, known)
			}
		}
		slices.Sort(names)
		more := len(names) > 1000
		reply(w, http.StatusOK, map[string]any{"names": names[:min(1000, len(names))], "HasMore": more})
	case r.Method == http.MethodPut && found && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case r.Method == http.MethodPut && len(body) > 8<<20:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case r.Method == http.MethodPut:
		s.blobs[name] = bytes.Clone(body)
	case r.Method == http.MethodDelete:
		delete(s.blobs, name)
	case !found:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write(content)
	}
}
