// Package proxy serves the callers' requests: it reads and checks a request,
// waits for admission, claims the id of an unrepeatable one, sends it to a
// backend server, retries where that is safe, and answers with exactly one
// outcome (design, 5.1).
package proxy
