// Package codec encodes domain types as protobuf, for log records, stored records
// and messages between instances, and decodes them. The mapping is written by
// hand, so that domain types carry no tags and can change independently of the
// wire format.
package codec
