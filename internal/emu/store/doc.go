// Package store emulates the platform's store of keyed records according to its
// protocol: partitions with offsets, appends that are conditional on the end
// offset, history that expires after a retention time, and the newest record of
// each key, which never expires.
package store
