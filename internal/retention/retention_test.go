package retention_test

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/retention"
)

// pages lists its items with one item per page.
type pages []ports.KeyValue

// ReadRange implements retention.Lister.
func (p pages) ReadRange(_ context.Context, _, after string, _ ports.Freshness) (ports.Page, error) {
	for i, item := range p {
		if item.Key > after {
			return ports.Page{Items: p[i : i+1], More: i+1 < len(p)}, nil
		}
	}
	return ports.Page{}, nil
}

// deleted records the keys that are deleted.
type deleted []string

// Delete implements retention.Deleter.
func (d *deleted) Delete(keys ...string) { *d = append(*d, keys...) }

func TestOnlyExpiredRecordsAreRemoved(t *testing.T) {
	is := is.New(t)
	items := pages{
		{Key: "t/a", Value: []byte("10")}, {Key: "t/b", Value: []byte("torn")}, {Key: "t/c", Value: []byte("95")}, {Key: "t/d", Value: []byte("20")},
	}
	rule := retention.Rule{Prefix: "t/", Keep: 60 * time.Second, Written: func(value []byte) (time.Time, error) {
		n, err := strconv.Atoi(string(value))
		if err != nil {
			return time.Time{}, errors.New("not a number")
		}
		return time.Unix(int64(n), 0), nil
	}}
	var gone deleted
	n, err := retention.Sweep(t.Context(), items, &gone, rule, time.Unix(100, 0), slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.Equal(n, 2)
	is.Equal([]string(gone), []string{"t/a", "t/d"})
}
