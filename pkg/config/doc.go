// Package config reads the operators' folder of small YAML files and turns it
// into one checked document.
//
// Files merge in the order of their names: maps merge by key, lists and
// scalars replace, an explicit null removes. Load reports every problem of the
// folder, each with file, line, field and the allowed values. The result is a
// Document: canonical bytes, the file and line that set each value, and the
// sched.Settings that it means.
//
// Between documents, Diff lists the changed paths and NewPatch makes a merge
// patch (RFC 7386) of only these paths. The functions on documents that come
// from the log (Decode, Apply, Settings) don't check the schema, so that
// instances of different software versions agree on which document is in
// force.
package config
