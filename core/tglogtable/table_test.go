package tglogtable

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func formatTable(t *Table) string {
	records, _ := t.Records()
	var parts []string
	for _, r := range records {
		if len(r.Value) > 0 {
			parts = append(parts, fmt.Sprintf("%s=%s", r.Key, r.Value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func put(key, value string, offset int64) Record {
	return Record{Key: key, Offset: offset, Value: []byte(value)}
}

// Guards against a listing or a read that is older than the table and overwrites its newer records.
func TestStaleSourcesAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		end  int64
		list []Record
		want string
	}{
		"absentKeyRemoved": {end: 10, list: []Record{put("a", "1", 1)}, want: "a=1"},
		"newer":            {end: 10, list: []Record{put("a", "2", 9), put("b", "1", 2)}, want: "a=2 b=1"},
		"olderListing":     {end: 2, list: []Record{put("a", "0", 0)}, want: "a=1 b=1"},
		"olderRecord":      {end: 10, list: []Record{put("a", "0", 0), put("b", "1", 2)}, want: "a=1 b=1"},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Apply([]Record{put("a", "1", 1), put("b", "1", 2)}, Position{Offset: 3})
			table.Replace(c.list, Position{Offset: c.end})
			assert.Equal(t, formatTable(table), c.want)
		})
	}
}

// Guards against tables of two daemons that still differ after each has applied the other's records, in either order.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"a", "b", "c"}
		n := rapid.IntRange(1, 20).Draw(t, "length")
		log := make([]Record, 0, n)
		for i := range n {
			r := Record{Key: rapid.SampledFrom(keys).Draw(t, "key"), Offset: int64(i)}
			if rapid.Bool().Draw(t, "put") {
				r.Value = fmt.Appendf(nil, "v%d", i)
			}
			log = append(log, r)
		}
		tables := []*Table{NewTable(), NewTable()}
		for _, table := range tables {
			n := rapid.IntRange(0, len(log)).Draw(t, "read")
			table.Apply(log[:n], Position{Offset: int64(n)})
		}
		for range 2 {
			for i, table := range tables {
				records, end := tables[1-i].Records()
				table.Replace(records, end)
			}
		}
		if a, b := formatTable(tables[0]), formatTable(tables[1]); a != b {
			t.Fatalf("%q and %q", a, b)
		}
	})
}
