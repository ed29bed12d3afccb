// Package claims gives unrepeatable requests their claim on an id: it appends
// the intents of this instance, follows the shards and keeps answers up to
// 64 KiB in the platform's log. The decisions are those of package dedup.
//
// In a log outage a claim is refused as not run, or answered as in progress if
// the id is known to be open; finished ids are still known, but their kept
// answers can't be read. Outcomes wait in a bounded queue until the log answers
// again. A claim that is not decided by its caller's deadline is given up for
// good, whatever the log shows later.
package claims
