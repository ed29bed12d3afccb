// Package site runs entry instances on an emulated platform inside one process.
// It runs the production code of the instances. Calls between them are passed in
// memory and can be lost. Tests run it on virtual time.
package site
