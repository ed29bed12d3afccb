package cli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	users "github.com/parsleybarrow/parsleybarrow/platform"
)

const reloadSettings = `node_name = "e1"
ip = "127.0.0.1"
zone = "a"
region = "north"
internal_port_range = [7720, 7735]
heartbeat_ms = 1100
[bind_addresses]
control = "127.0.0.1:8166"
[limits]
cpu_share = 0.4
[bounds]
grace_s = 6
[platform]
address = "127.0.0.1:8169"
form = "log"
parts = 24
max_record_bytes = 262144
max_request_bytes = 2097152
`

// Guards against a settings file whose changes aren't taken, or that is taken though it
// was cut short. The limits of the store were only read after a SIGHUP.
func TestSettingsAreTakenOnceTheFileIsRight(t *testing.T) {
	cutBefore := func(text string) string {
		whole, _, _ := strings.Cut(reloadSettings, text)
		return whole
	}
	with := func(old, new string) string { return strings.Replace(reloadSettings, old, new, 1) }
	rows := []struct {
		name  string
		texts []string // written one after the other
		// hangup is set if each file but the last is followed by a SIGHUP.
		hangup bool
		// want holds grace periods and limits that are applied, one after the other.
		want []applied
	}{
		{"another grace period", []string{with("= 6", "= 4")}, false, []applied{{4 * time.Second, 2097152}}},
		{"another limit", []string{with("2097152", "1048576")}, false, []applied{{6 * time.Second, 1048576}}},
		{"no change", []string{reloadSettings}, false, nil},
		{"no change, but asked", []string{reloadSettings, reloadSettings}, true, []applied{{6 * time.Second, 2097152}}},
		{"cut in the bounds", []string{cutBefore("_s = 6"), with("= 6", "= 4")}, true, []applied{{4 * time.Second, 2097152}}},
		{"cut before the limits", []string{cutBefore("max_record"), reloadSettings}, true, []applied{{6 * time.Second, 2097152}}},
		{"cut between the limits", []string{cutBefore("max_request"), reloadSettings}, true, []applied{{6 * time.Second, 2097152}}},
		{"cut in a limit", []string{cutBefore("97152"), reloadSettings}, true, []applied{{6 * time.Second, 2097152}}},
		{"empty", []string{"", with("= 6", "= 4")}, false, []applied{{4 * time.Second, 2097152}}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.toml")
			t.Setenv(users.SettingsVariable, path)
			s, err := users.ParseSettings([]byte(reloadSettings))
			i.NoErr(err)
			synctest.Test(t, func(t *testing.T) {
				var got []applied
				c, stop := context.WithCancel(t.Context())
				hangups := make(chan struct{}, 1)
				i.NoErr(os.WriteFile(path, []byte(row.texts[0]), 0o600))
				go (&entryCmd{}).reload(c, hangups, zap.NewNop(), s, func(n users.Settings) {
					got = append(got, applied{n.Bounds.Grace, n.Quota.CallBytes})
				})
				for k, text := range row.texts {
					i.NoErr(os.WriteFile(path, []byte(text), 0o600))
					if row.hangup && k < len(row.texts)-1 {
						hangups <- struct{}{}
						time.Sleep(time.Millisecond)
						continue
					}
					time.Sleep(2 * reloadInterval)
				}
				stop()
				synctest.Wait()
				i.Equal(got, row.want)
			})
		})
	}
}

// applied is what a reload has set.
type applied struct {
	grace     time.Duration
	callBytes int
}
