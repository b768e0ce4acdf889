package platform

import (
	"net/http"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/ports/porttest/memstore"
)

// The message types repeat the platform's protocol instead of importing those
// of the product's adapter, so that an adapter that deviates from the protocol
// fails its contract tests.

type keyMessage struct {
	Table core.TableName `json:"table"`
	ID    string         `json:"id"`
}

type readRowsMessage struct {
	Keys []keyMessage `json:"keys"`
}

type scanMessage struct {
	Table  core.TableName `json:"table"`
	Prefix string         `json:"prefix"`
	After  string         `json:"after"`
	Limit  int            `json:"limit"`
}

type rowMessage struct {
	keyMessage
	Version core.RowVersion `json:"version"`
	Attempt core.AttemptID  `json:"attempt"`
	Value   []byte          `json:"value"`
}

type rowsMessage struct {
	Rows []rowMessage `json:"rows"`
}

type conditionMessage struct {
	keyMessage
	Version core.RowVersion `json:"version"`
}

type writeMessage struct {
	keyMessage
	Delete bool   `json:"delete"`
	Value  []byte `json:"value"`
}

type commitMessage struct {
	Attempt    core.AttemptID     `json:"attempt"`
	Conditions []conditionMessage `json:"conditions"`
	Writes     []writeMessage     `json:"writes"`
}

type commitReplyMessage struct {
	Applied bool            `json:"applied"`
	Version core.RowVersion `json:"version"`
	Failed  []keyMessage    `json:"failed"`
}

func (m keyMessage) key() core.RowKey { return core.RowKey{Table: m.Table, ID: m.ID} }

func newKeyMessage(key core.RowKey) keyMessage { return keyMessage{key.Table, key.ID} }

func (p *Platform) routeTables() {
	p.mux.HandleFunc("POST /tables/read", p.serveReadRows)
	p.mux.HandleFunc("POST /tables/scan", p.serveScanRows)
	p.mux.HandleFunc("POST /tables/commit", p.serveCommit)
}

func (p *Platform) serveReadRows(w http.ResponseWriter, r *http.Request) {
	message, ok := readMessage[readRowsMessage](p, w, r)
	if !ok {
		return
	}
	t := faultTarget{operation: faults.TableRead}
	var keys []core.RowKey
	for _, key := range message.Keys {
		keys = append(keys, key.key())
		t.tables = append(t.tables, key.Table)
	}
	p.serveWithFaults(w, r, t, func() reply { return okReply(newRowsMessage(p.rows.Read(keys))) })
}

func (p *Platform) serveScanRows(w http.ResponseWriter, r *http.Request) {
	message, ok := readMessage[scanMessage](p, w, r)
	if !ok {
		return
	}
	t := faultTarget{faults.TableRead, []core.TableName{message.Table}}
	p.serveWithFaults(w, r, t, func() reply {
		return okReply(newRowsMessage(p.rows.Scan(message.Table, message.Prefix, message.After, message.Limit)))
	})
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	message, ok := readMessage[commitMessage](p, w, r)
	if !ok {
		return
	}
	t := faultTarget{operation: faults.Commit}
	commit := memstore.Commit[[]byte]{Attempt: message.Attempt}
	for _, c := range message.Conditions {
		commit.Conditions = append(commit.Conditions, core.Condition{Key: c.key(), Version: c.Version})
		t.tables = append(t.tables, c.Table)
	}
	for _, write := range message.Writes {
		commit.Writes = append(commit.Writes, memstore.Write[[]byte]{Key: write.key(), Delete: write.Delete, Value: write.Value})
		t.tables = append(t.tables, write.Table)
	}
	p.serveWithFaults(w, r, t, func() reply { return okReply(newCommitReplyMessage(p.rows.Commit(commit))) })
}

func newRowsMessage(rows []memstore.Row[[]byte]) rowsMessage {
	message := rowsMessage{Rows: make([]rowMessage, len(rows))}
	for i, row := range rows {
		message.Rows[i] = rowMessage{newKeyMessage(row.Key), row.Version, row.Attempt, row.Value}
	}
	return message
}

func newCommitReplyMessage(result core.CommitResult) commitReplyMessage {
	message := commitReplyMessage{Applied: result.Applied, Version: result.Version}
	for _, key := range result.Failed {
		message.Failed = append(message.Failed, newKeyMessage(key))
	}
	return message
}
