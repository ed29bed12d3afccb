// Package busy measures what a thread that handles messages one at a time spends its
// time on, and how long messages wait for it.
package busy
