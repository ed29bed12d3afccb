package cli

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
)

// The struct tags min and max bound durations and whole numbers; the types below
// restrict strings. A value that is not allowed gives a *SettingError.

// address is an IP address with a port. Host names are not allowed, because a
// process takes addresses from its settings and resolves no names.
type address string

// platformURL is the base address of a platform service.
type platformURL string

// name is the id of an instance, a data centre or a region.
type name string

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

func mappers() []kong.Option {
	return []kong.Option{
		kong.TypeMapper(reflect.TypeFor[time.Duration](), mapperOf(decodeDuration)),
		kong.TypeMapper(reflect.TypeFor[int](), mapperOf(decodeInt)),
		kong.TypeMapper(reflect.TypeFor[address](), mapperOf(decodeAddress)),
		kong.TypeMapper(reflect.TypeFor[platformURL](), mapperOf(decodeURL)),
		kong.TypeMapper(reflect.TypeFor[name](), mapperOf(decodeName)),
	}
}

// decoder parses the text of a setting. On failure it returns a description of
// the allowed values, which is empty on success.
type decoder func(text string, tag *kong.Tag) (value any, allowed string)

// mapperOf returns the kong mapper that sets a field with a decoder.
func mapperOf(d decoder) kong.MapperFunc {
	return func(c *kong.DecodeContext, target reflect.Value) error {
		var text string
		if err := c.Scan.PopValueInto("value", &text); err != nil {
			return err
		}
		value, allowed := d(text, c.Value.Tag)
		if allowed != "" {
			return &SettingError{Flag: c.Value.Name, Variable: variableName(c.Value.Tag.Envs), Value: text, Allowed: allowed}
		}
		target.Set(reflect.ValueOf(value).Convert(target.Type()))
		return nil
	}
}

// variableName returns the first environment variable of a flag.
func variableName(variables []string) string {
	if len(variables) == 0 {
		return "no variable"
	}
	return variables[0]
}

func decodeDuration(text string, tag *kong.Tag) (any, string) {
	allowed := fmt.Sprintf("a duration from %s to %s", tag.Get("min"), tag.Get("max"))
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, allowed
	}
	low, errLow := time.ParseDuration(tag.Get("min"))
	high, errHigh := time.ParseDuration(tag.Get("max"))
	if errLow != nil || errHigh != nil || d < low || d > high {
		return nil, allowed
	}
	return d, ""
}

func decodeInt(text string, tag *kong.Tag) (any, string) {
	allowed := fmt.Sprintf("a whole number from %s to %s", tag.Get("min"), tag.Get("max"))
	n, err := strconv.Atoi(text)
	if err != nil {
		return nil, allowed
	}
	low, errLow := strconv.Atoi(tag.Get("min"))
	high, errHigh := strconv.Atoi(tag.Get("max"))
	if errLow != nil || errHigh != nil || n < low || n > high {
		return nil, allowed
	}
	return n, ""
}

func decodeAddress(text string, _ *kong.Tag) (any, string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return nil, "an IP address and a port such as 127.0.0.1:7701"
	}
	return text, ""
}

func decodeURL(text string, _ *kong.Tag) (any, string) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, "a URL such as http://127.0.0.1:7800"
	}
	return text, ""
}

func decodeName(text string, _ *kong.Tag) (any, string) {
	if !namePattern.MatchString(text) {
		return nil, "1 to 63 letters, digits, dots, hyphens or underscores"
	}
	return text, ""
}
