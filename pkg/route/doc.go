// Package route chooses the backend server for each send of a request.
//
// It prefers backend servers that are expected to have free slots, in the local
// data centre first, then in the region, then in the other regions. Several
// instances share the slots without coordination (design, D3): what an instance
// knows about free slots comes from the answers and refusals of the backend
// servers, and the weight of such a report falls with its age.
package route
