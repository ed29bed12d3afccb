package cli

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kong"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// ExitError is an error with the exit code of the command that it ends.
type ExitError struct {
	Code sched.ExitCode
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// fail gives an error an exit code.
func fail(code sched.ExitCode, err error) error { return &ExitError{Code: code, Err: err} }

func failf(code sched.ExitCode, format string, args ...any) error {
	return fail(code, fmt.Errorf(format, args...))
}

// SettingError reports a setting that can't be parsed or is out of range.
type SettingError struct {
	// Flag and Variable name the setting, as a flag without dashes and as an
	// environment variable.
	Flag     string
	Variable string
	Value    string
	// Allowed describes the permitted values.
	Allowed string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s (%s) is %q; allowed: %s", e.Flag, e.Variable, e.Value, e.Allowed)
}

// exitCode returns the exit code of an error: its own if it carries one,
// ExitInternal for an error of no known kind.
func exitCode(err error) sched.ExitCode {
	var exit *ExitError
	var setting *SettingError
	var parse *kong.ParseError
	switch {
	case err == nil:
		return sched.ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &setting):
		return sched.ExitSetting
	case errors.As(err, &parse):
		return sched.ExitUsage
	case errors.Is(err, sched.ErrUnavailable):
		return sched.ExitUnreachable
	case errors.Is(err, sched.ErrUncertain):
		return sched.ExitUncertain
	default:
		return sched.ExitInternal
	}
}
