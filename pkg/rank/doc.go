// Package rank decides which instance should plan a cell: the order of the candidates,
// which of them count in it, and when a cell moves to a better instance. It is made for a
// hundred instances and one to ten cells.
package rank
