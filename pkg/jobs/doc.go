// Package jobs holds the durable state of an accepted job: which of its tasks are
// done, and which run of each task may be alive on which worker. This state
// outlasts the instance that plans the job; package codec encodes it in keyed
// records.
package jobs
