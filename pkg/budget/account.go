package budget

import "sync/atomic"

// Account counts the bytes in use of one share. It is safe for concurrent use.
type Account struct {
	limit int64
	used  atomic.Int64
}

// NewAccount returns an account with nothing in use.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// Take reserves bytes. It returns false, and reserves nothing, if the limit would be
// exceeded.
func (a *Account) Take(n int64) bool {
	if a.used.Add(n) > a.limit {
		a.used.Add(-n)
		return false
	}
	return true
}

// Give releases bytes that were reserved.
func (a *Account) Give(n int64) { a.used.Add(-n) }

// Used returns the bytes in use.
func (a *Account) Used() int64 { return a.used.Load() }

// Limit returns the most bytes that may be in use.
func (a *Account) Limit() int64 { return a.limit }
