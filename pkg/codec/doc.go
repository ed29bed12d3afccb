// Package codec maps domain types to and from the bytes of log records and
// messages. The mapping is by hand: domain types carry no struct tags and don't
// know their encodings.
package codec
