// Package ledger replays the task stream of one data centre. The state is a
// deterministic function of the records: an entry that is invalid at its
// place in the stream changes the state of no reader. Replicas that read the
// same records therefore agree, whichever instance wrote them and however often.
//
// The rules keep a worker's committed tasks within its capacity, a team within
// the quota that a placement names, and a task on at most one worker.
package ledger
