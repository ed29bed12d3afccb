// Package stall bounds calls that transfer much data by their progress. A fixed timeout that is short enough to notice a
// peer that doesn't answer also aborts a transfer that a busy link only slows down. The repeated call then transfers the
// same data again, so that a link which many calls share never recovers.
package stall
