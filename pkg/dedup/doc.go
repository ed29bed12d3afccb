// Package dedup replays the intent records of one shard and decides which
// holder of an unrepeatable id may send it (design, D2 and 5.1).
//
// The first live intent of an id in log order wins. An abandoned entry ends
// the intent with its nonce for good, even if the entry precedes the intent in
// the log or the intent appears twice, so a holder that gives up can say so
// without knowing whether its intent arrived. Entries expire by the time inside
// the id, by the same rule that refuses old ids, so an id is never free again
// while an instance still accepts it.
package dedup
