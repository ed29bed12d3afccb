// Package config reads the operators' folder of YAML files and merges it into one
// validated document.
//
// Files are merged in the order of their names: maps merge by key, lists and
// scalars replace earlier values, and an explicit null removes a field. Load
// reports every problem in the folder, each with file, line, field and the
// allowed values. The result is a Document, which provides the canonical bytes,
// the file and line that set each value, and the sched.Settings.
//
// Diff lists the values that differ between two documents, and NewPatch creates a
// merge patch (RFC 7386) of only these values. Decode, Apply and Settings, which
// process documents from the log, don't check the schema. Instances of different
// software versions therefore agree on which document is in force.
package config
