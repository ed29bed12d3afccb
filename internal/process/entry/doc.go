// Package entry runs one entry instance. It serves callers and forwards their calls
// to the planner of the job's cell. For each cell it either holds the term and
// plans the cell itself, or monitors the planner in order to take over.
package entry
