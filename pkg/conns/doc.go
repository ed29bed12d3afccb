// Package conns detects silent connections to one backend server: connections
// without progress while requests sent later on other connections are answered.
// It also records when each connection last proved alive.
package conns
