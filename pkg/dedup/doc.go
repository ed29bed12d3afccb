// Package dedup deduplicates unrepeatable requests. It replays the intent stream
// of one shard and decides which claim to an id may send the request (design
// page, decision D2 and section 5.1).
//
// The first intent for an id in log order wins, unless it has been abandoned. An
// abandoned entry ends the intent with the same nonce for good, even if the
// entry precedes the intent in the log or the intent appears twice. A holder can
// therefore abandon a claim without knowing whether its intent reached the log.
// Entries expire by the time inside the id, under the same rule that refuses old
// ids, so an id never becomes free again while any instance still accepts it.
package dedup
