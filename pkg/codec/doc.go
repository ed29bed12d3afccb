// Package codec maps domain types to the bytes of log records and messages,
// and back. The mapping is by hand, so that domain types carry no tags and the
// wire format can change on its own.
package codec
