// Package relay carries calls between instances over connect-go: calls about jobs,
// from the instance that a caller reached to the planner of the job's cell, and
// pings, by which instances monitor planners and hand cells over.
package relay
