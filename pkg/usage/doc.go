// Package usage keeps the number of answers per partner. Each incarnation of an
// instance has a running total that only rises, so the largest total heard
// from any source is the most recent one, and hearing it twice adds nothing.
package usage
