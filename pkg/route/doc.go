// Package route chooses the backend server of a send.
//
// It prefers backend servers with known free slots, in the local data centre
// first, then the region, then the other regions. Several instances share the
// slots without coordination (design, D3): what an instance knows about free
// slots comes from the answers and refusals of the backend servers and loses
// its weight with age.
package route
