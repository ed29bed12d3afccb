// Package cell plans one cell: it accepts jobs, decides which task runs on
// which worker and when, and follows the runs to their ends.
//
// A Planner is a state machine without I/O. Its owner passes in events and the
// current time, and carries out the effects that TakeEffects returns. No caller or
// worker learns of a change before the record of it is durable: a change marks
// its job dirty, Flush writes the records of all dirty jobs as one batch, and
// Appended releases the replies, start orders and acknowledgements that depend
// on the batch.
//
// A worker is asked for its state by a periodic exchange, which also renews its
// lease. Every order carries a fencing token; a higher token makes the orders
// before it void, which settles starts whose answer was lost.
package cell
