package tablehttp

import (
	"fescuespar/internal/adapters/recordcodec"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

type keyMessage struct {
	Table core.TableName `json:"table"`
	ID    string         `json:"id"`
}

type readMessage struct {
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

func encodeKey(key core.RowKey) (keyMessage, error) {
	return keyMessage{key.Table, key.ID}, recordcodec.CheckKey(key)
}

func encodeRead(keys []core.RowKey) (readMessage, error) {
	message := readMessage{Keys: make([]keyMessage, len(keys))}
	for i, key := range keys {
		encoded, err := encodeKey(key)
		if err != nil {
			return readMessage{}, err
		}
		message.Keys[i] = encoded
	}
	return message, nil
}

func encodeScan(table core.TableName, prefix, after string, limit int) (scanMessage, error) {
	if err := recordcodec.CheckKey(core.RowKey{Table: table, ID: prefix + after}); err != nil {
		return scanMessage{}, err
	}
	return scanMessage{table, prefix, after, limit}, nil
}

func encodeCommit(commit core.Commit) (commitMessage, error) {
	message := commitMessage{Attempt: commit.Attempt}
	for _, condition := range commit.Conditions {
		key, err := encodeKey(condition.Key)
		if err != nil {
			return commitMessage{}, err
		}
		message.Conditions = append(message.Conditions, conditionMessage{key, condition.Version})
	}
	for _, write := range commit.Writes {
		encoded, err := encodeWrite(write)
		if err != nil {
			return commitMessage{}, err
		}
		message.Writes = append(message.Writes, encoded)
	}
	return message, recordcodec.CheckUTF8(string(commit.Attempt))
}

func encodeWrite(write core.Write) (writeMessage, error) {
	key, err := encodeKey(write.Key)
	if err != nil {
		return writeMessage{}, err
	}
	if write.Record == nil {
		return writeMessage{keyMessage: key, Delete: true}, nil
	}
	value, err := recordcodec.Encode(write.Key.Table, write.Record)
	return writeMessage{keyMessage: key, Value: value}, err
}

// decodeRow decodes a row. Version 0 means that the row does not exist; it has no
// record then. Errors: Internal if the value is not a record of the table.
func decodeRow(message rowMessage) (core.Row, error) {
	row := core.Row{Key: message.key(), Version: message.Version, Attempt: message.Attempt}
	if message.Version == 0 {
		return row, nil
	}
	record, err := recordcodec.Decode(message.Table, message.Value)
	if err != nil {
		return core.Row{}, errkind.Wrap(errkind.Internal, err, "decode row %q", message.ID)
	}
	row.Record = record
	return row, nil
}

func decodeRows(message rowsMessage) ([]core.Row, error) {
	rows := make([]core.Row, len(message.Rows))
	for i, encoded := range message.Rows {
		row, err := decodeRow(encoded)
		if err != nil {
			return nil, err
		}
		rows[i] = row
	}
	return rows, nil
}

func decodeCommitReply(message commitReplyMessage) core.CommitResult {
	result := core.CommitResult{Applied: message.Applied, Version: message.Version}
	for _, key := range message.Failed {
		result.Failed = append(result.Failed, key.key())
	}
	return result
}
