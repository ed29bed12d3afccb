// Package proxy serves the callers' requests. It reads and checks a request,
// waits for admission, claims the id of an unrepeatable request, sends the
// request to a backend server, retries if that is safe, and answers with exactly
// one outcome (docs/design.md, 5.1).
package proxy
