// Package outage decides for a call whether it is sent to the planner of its cell, waits
// for one, or is refused at once, and when a refused caller should retry.
//
// The load that it handles: some hundred calls a second on one instance, with deadlines of
// 0.5 to 3 s, while a planner is taken over (about 1 s), is behind by up to a few seconds,
// or can't write for several seconds. Each decision takes constant time.
package outage
