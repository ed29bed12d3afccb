// Package fleet measures what membership, quotas and configuration cost an
// entry instance: bytes and processor time per second, against the number of
// instances. The instances run their decision packages in virtual time and
// exchange real protobuf messages; the bytes of HTTP come from an exchange
// over loopback that is counted once.
package fleet
