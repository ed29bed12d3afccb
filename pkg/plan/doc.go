// Package plan is the planner of a data centre's batch tasks. Every instance
// of the data centre runs one: it replays the task stream, takes submissions
// and cancellations, and, on the one instance that is responsible, decides and
// commands the workers.
//
// A planner is a pure state machine. Step takes one input and the time, and
// returns what has to be done. It keeps to four rules:
//
//   - It acts only under its own term, while that is the newest that it has
//     read, and while package lease allows it.
//   - It commands a worker only what it has read back as valid. The commands
//     of a call are computed anew from the replayed state and the worker's
//     last report, so a lost call is repeated and a repeated one is harmless.
//   - What a worker reports becomes an entry of the log, again and again until
//     the replayed state contains it.
//   - Decisions that are not read back yet are kept apart from the replayed
//     state, and are dropped when their append fails.
package plan
