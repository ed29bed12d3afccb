// Package plan implements the planner of a data centre's batch tasks. Every
// instance of the data centre runs one: it replays the task stream and accepts
// submissions and cancellations. On the one instance that is responsible it
// also places tasks and commands the workers.
//
// A planner is a pure state machine. Step takes one input and the time, and
// returns the effects that the caller has to carry out. Four rules hold:
//
//   - It acts only under its own term, while that is the newest that it has
//     read, and while package lease allows it.
//   - It sends a worker only commands that follow from entries it has read
//     back as valid. The commands of a call are computed from the replayed
//     state and the worker's last report, so a lost call is made up for by the
//     next one, and a repeated call is idempotent.
//   - What a worker reports is appended to the log, and appended again until
//     the replayed state contains it.
//   - Decisions that are not read back yet are kept apart from the replayed
//     state, and are dropped when their append fails.
package plan
