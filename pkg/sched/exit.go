package sched

// ExitCode is an exit code of the command line. docs/codes.md documents them.
type ExitCode int

// Exit codes of the command line.
const (
	ExitOK          ExitCode = 0
	ExitInternal    ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitSetting     ExitCode = 3
	ExitConfig      ExitCode = 4
	ExitConflict    ExitCode = 5
	ExitUnreachable ExitCode = 6
	ExitAddress     ExitCode = 7
	ExitRefused     ExitCode = 8
	ExitUncertain   ExitCode = 9
	ExitIncomplete  ExitCode = 10
	ExitInvariant   ExitCode = 11
	ExitNoSuchFile  ExitCode = 12
	ExitDrain       ExitCode = 13
)

// ExitEntry is one row of the table of exit codes.
type ExitEntry struct {
	Code    ExitCode
	Name    string
	Meaning string
}

// ExitCodes returns the table of exit codes in numeric order.
func ExitCodes() []ExitEntry {
	return []ExitEntry{
		{ExitOK, "ok", "The command did what it was asked."},
		{ExitInternal, "internal", "An unexpected error; the line names it."},
		{ExitUsage, "usage", "The command line is wrong: unknown command, flag or argument."},
		{ExitSetting, "setting", "A setting is out of range; the line names the flag, the value and the range."},
		{ExitConfig, "config", "The configuration folder is wrong; nothing was applied."},
		{ExitConflict, "conflict", "The base version is no longer in force; nothing was applied."},
		{ExitUnreachable, "unreachable", "The platform or the instance can't be reached; nothing was done."},
		{ExitAddress, "address", "An address is in use or can't be listened on."},
		{ExitRefused, "refused", "The instance refused the request; the line gives its code."},
		{ExitUncertain, "uncertain", "The outcome is unknown; repeating the command with the same id is safe."},
		{ExitIncomplete, "incomplete", "Not every live instance answered or reported the version in time."},
		{ExitInvariant, "invariant", "A run of demo or soak saw a broken invariant."},
		{ExitNoSuchFile, "noSuchFile", "A file or folder that was named can't be read."},
		{ExitDrain, "drain", "Requests were still running when drainTimeout ended."},
	}
}
