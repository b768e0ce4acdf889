package job

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
)

// accountTurns shares out the starts of runs among client accounts with open jobs, by the
// expected tokens of the items and weighted by priority. An account's jobs keep their own
// order. With the jobs of one account, or without accounts, nothing changes.
//
// The load is an account that submits far more items than others on the same engines.
type accountTurns struct {
	used map[core.AccountName]float64 // tokens of started runs by weight; the account with the least is next
}

// accountQueue is the open jobs of one account, in order.
type accountQueue struct {
	account core.AccountName
	rows    []*openJob
	row     int     // the next item is of rows[row]
	item    int     // index in its startOrder
	used    float64 // with the runs that are being chosen
}

// queues returns the open jobs by account.
func (t *accountTurns) queues(rows []*openJob) []*accountQueue {
	var queues []*accountQueue
	byAccount := make(map[core.AccountName]*accountQueue)
	for _, row := range rows {
		queue := byAccount[row.policy.Account]
		if queue == nil {
			queue = &accountQueue{account: row.policy.Account}
			byAccount[queue.account] = queue
			queues = append(queues, queue)
		}
		queue.rows = append(queue.rows, row)
	}
	t.admit(queues)
	return queues
}

// admit lets accounts without open jobs until now begin as if they had used as little as
// the others, and forgets those that have none any more.
func (t *accountTurns) admit(queues []*accountQueue) {
	least, known := 0.0, false
	for _, queue := range queues {
		if used, found := t.used[queue.account]; found && (!known || used < least) {
			least, known = used, true
		}
	}
	used := make(map[core.AccountName]float64, len(queues))
	for _, queue := range queues {
		before, found := t.used[queue.account]
		if !found {
			before = least
		}
		queue.used = before - least // relative, so that the numbers stay small
		used[queue.account] = queue.used
	}
	t.used = used
}

// placed records that a run of a job was placed.
func (t *accountTurns) placed(row *openJob, index int) {
	if t.used != nil {
		t.used[row.policy.Account] += row.turnCost(index)
	}
}

// turnCost returns what a run of an item counts among accounts.
func (row *openJob) turnCost(index int) float64 {
	return max(1, expectedTokens(&row.job.Items[index])) / float64(admission.Weight(row.policy.Priority))
}

// nextQueue returns the account whose turn it is.
func nextQueue(queues []*accountQueue) *accountQueue {
	next := queues[0]
	for _, queue := range queues[1:] {
		if queue.used < next.used {
			next = queue
		}
	}
	return next
}

// next returns the account's next item that may start, and false if there is none. Items
// whose lifetime has expired fail instead.
func (q *accountQueue) next(now time.Time) (*openJob, int, bool) {
	for ; q.row < len(q.rows); q.row, q.item = q.row+1, 0 {
		row := q.rows[q.row]
		for q.item < len(row.startOrder) {
			i := row.startOrder[q.item]
			q.item++
			if row.mayStart(i, now) {
				q.used += row.turnCost(i)
				return row, i, true
			}
		}
	}
	return nil, 0, false
}

// mayStart reports whether an item may start now. It fails one whose lifetime has
// expired.
func (row *openJob) mayStart(i int, now time.Time) bool {
	if row.items[i].phase != waiting || now.Before(row.items[i].notBefore) {
		return false
	}
	if row.isExpired(now) {
		row.items[i].finish(row.job.Items[i].ID, core.ItemFailed, "")
		return false
	}
	return true
}
