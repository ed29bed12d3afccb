// Package usage counts the answers per partner. Each incarnation of an instance has
// running totals that never decrease. The largest total received from any source is
// therefore the most recent one, and receiving a total twice has no effect.
package usage
