// Package conns judges the connections to one backend server: which one has
// gone silent while its siblings make progress, and when each last proved
// alive.
package conns
