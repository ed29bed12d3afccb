// Package agent has other instances carry out a planner's orders to workers.
//
// The calls of hundreds of workers take more processor time, memory and
// connections than one instance has. A planner of many workers therefore sends
// its orders in batches to a few instances near the workers, its agents, which
// make the calls and send the answers back in batches. An agent decides nothing
// and keeps no state: tokens, run numbers and leases are the planner's, so a lost
// agent is the same to the planner as a lost answer.
package agent
