// Package admin defines the JSON messages of an instance's admin interface and
// of task submission, and the HTTP client that the command line uses.
package admin
