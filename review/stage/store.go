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

// store is a stand-in of the platform's metadata store. Each relay reaches it at an
// address of its own.
type store struct {
	began time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	rows    map[rowID]storedRow
	changes []rowMessage // ordered by version
	version uint64
	blobs   map[string][]byte
}

type rowID struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
}

type rowMessage struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Deleted bool `json:",omitempty"`
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowID]storedRow), blobs: make(map[string][]byte)}
}

// listen opens one more address of the store.
func (s *store) listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /api/rows-get", s.serveRows)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /api/rows-parts", s.serveParts)
	mux.HandleFunc("PUT /api/blob-put/{id}", s.servePut)
	mux.HandleFunc("GET /api/blob-get/{id}", s.serveGet)
	mux.HandleFunc("DELETE /api/blob-drop/{id}", s.serveDrop)
	mux.HandleFunc("GET /api/blob-list", s.serveList)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// write stores a row of the empty part, as operators and workers do.
func (s *store) write(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(rowID{table, "", key}, body)
}

// remove removes a row of the empty part.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.drop(rowID{table, "", key})
}

func (s *store) put(id rowID, value []byte) {
	s.rows[id] = storedRow{value, s.version}
	s.changes = append(s.changes, rowMessage{Table: id.table, Part: id.part, Key: id.key, Value: value, Ver: s.version})
}

func (s *store) drop(id rowID) {
	if _, found := s.rows[id]; found {
		delete(s.rows, id)
		s.changes = append(s.changes, rowMessage{Table: id.table, Part: id.part, Key: id.key, Ver: s.version, Deleted: true})
	}
}

// transactionTime is TxMs of the settings.
const transactionTime = 3 * time.Millisecond

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var message struct{ ExpectedRev, Puts, Remove []rowMessage }
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	for _, row := range append(message.Puts, message.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []rowMessage{}
	for _, row := range message.ExpectedRev {
		stored, found := s.rows[rowID{row.Table, row.Part, row.Key}]
		failed = failed || stored.version != row.Ver
		if found {
			current = append(current, rowMessage{Table: row.Table, Part: row.Part, Key: row.Key, Value: stored.value, Ver: stored.version})
		}
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"Rows": current})
		return
	}
	s.version++
	for _, row := range message.Puts {
		s.put(rowID{row.Table, row.Part, row.Key}, row.Value)
	}
	for _, row := range message.Remove {
		s.drop(rowID{row.Table, row.Part, row.Key})
	}
	s.reply(w, http.StatusOK, map[string]any{})
}

// reply answers with the newest version and the store's clock. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, status int, message map[string]any) {
	message["Ver"], message["NowMs"] = s.version, time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []rowMessage{}
	for id, row := range s.rows {
		if id.table == query.Get("Table") && id.part == query.Get("part") && id.key >= query.Get("From") &&
			(query.Get("To") == "" || id.key < query.Get("To")) {
			found = append(found, rowMessage{Table: id.table, Part: id.part, Key: id.key, Value: row.value, Ver: row.version})
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	size, count := 0, 0
	for count < len(found) && count < limit {
		if size += len(found[count].Value); size > 1<<20 && count > 0 {
			break
		}
		count++
	}
	s.reply(w, http.StatusOK, map[string]any{"Rows": found[:count], "HasMore": count < len(found)})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("Table") && id.part > r.URL.Query().Get("After") {
			parts[id.part] = true
		}
	}
	names := []string{}
	for part := range parts {
		names = append(names, part)
	}
	sort.Strings(names)
	s.reply(w, http.StatusOK, map[string]any{"parts": names, "HasMore": false})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []rowMessage{}
		for _, change := range s.changes {
			if change.Ver > after && change.Table == query.Get("Table") {
				found = append(found, change)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			s.reply(w, http.StatusOK, map[string]any{"Rows": found})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// blobTime is BlobMs of the settings.
const blobTime = 25 * time.Millisecond

func (s *store) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(blobTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.blobs[r.PathValue("id")]; found && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.blobs[r.PathValue("id")] = body
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(blobTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	body, found := s.blobs[r.PathValue("id")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (s *store) serveDrop(w http.ResponseWriter, r *http.Request) {
	time.Sleep(blobTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.blobs, r.PathValue("id"))
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request) {
	time.Sleep(blobTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.blobs {
		if strings.HasPrefix(name, r.URL.Query().Get("Prefix")) && name > r.URL.Query().Get("After") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	s.reply(w, http.StatusOK, map[string]any{"names": names[:min(len(names), 1000)], "HasMore": len(names) > 1000})
}
