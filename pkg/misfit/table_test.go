package misfit_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/misfit"
)

// Guards against a filler that is kept off a worker with room: after a change there, for a
// smaller need, for another image, or because another worker got its number.
func TestOnlyWhatWasNotedIsExcluded(t *testing.T) {
	rows := []struct {
		name       string
		image      string
		worker     int
		count      int
		processors int64
		memory     int64
		want       bool
	}{
		{"the same", "a", 3, 7, 1800, 0, true},
		{"a larger need", "a", 3, 7, 2500, 0, true},
		{"a smaller need", "a", 3, 7, 1700, 0, false},
		{"after a change", "a", 3, 8, 1800, 0, false},
		{"another worker", "a", 2, 7, 1800, 0, false},
		{"a later worker", "a", 5, 7, 1800, 0, false},
		{"another image", "b", 3, 7, 1800, 0, false},
		{"as much memory", "a", 4, 2, 1, 64, true},
		{"less memory", "a", 4, 2, 9000, 63, false},
	}
	x := misfit.New()
	x.Row("a").AddFull(4, 1, 32)
	x.Row("a").AddFull(4, 2, 64)
	x.Row("a").AddDisturbing(3, 7, 2000)
	x.Row("a").AddDisturbing(3, 7, 1800)
	x.Row("a").AddDisturbing(3, 7, 1900)
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(x.Row(row.image).Has(row.worker, row.count, row.processors, row.memory), row.want)
		})
	}
	x.Forget(3)
	is.New(t).Equal(x.Row("a").Has(3, 7, 1800, 0), false) // another worker with the number
}
