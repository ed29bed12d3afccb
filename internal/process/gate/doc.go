// Package gate makes the admission control of package admit blocking: the goroutine
// of a request waits until the request is granted or refused.
package gate
