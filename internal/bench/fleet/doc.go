// Package fleet measures what membership, quotas and configuration cost an
// entry instance: bytes and processor time per second, against the number of
// instances. The instances run their decision packages in virtual time and
// exchange encoded protobuf messages. Overhead adds the bytes of HTTP, which
// the benchmark measures once over loopback.
package fleet
