package tgconfig

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against examples that cannot be loaded, and against examples of another size than the documentation states.
func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"bangkok", "khoji"} {
		t.Run(name, func(t *testing.T) {
			directory := filepath.Join("..", "..", "examples", name)
			overlays, err := filepath.Glob(filepath.Join(directory, "*-?.toml"))
			assert.NilError(t, err)
			assert.Equal(t, len(overlays), 3)
			files := readFiles(t, append([]string{filepath.Join(directory, "base.toml")}, overlays...)...)
			for _, overlay := range files[1:] {
				_, err := Parse(files[0], overlay)
				assert.NilError(t, err, "a daemon loads only the overlay of its own site")
			}
			d, err := Parse(files[0], files[1:]...)
			assert.NilError(t, err)
			kinds := map[PoolKind]int{}
			for _, u := range d.Config.Upstreams {
				kinds[d.Config.Pools[u.Pool].Kind]++
			}
			assert.DeepEqual(t, kinds, map[PoolKind]int{ModelPool: 12, PlainPool: 3})
			assert.Equal(t, len(d.Config.DataCentres), 3)
			assert.Equal(t, len(d.Config.Accounts), 10)
			assert.Equal(t, len(d.Processes), 15+6, "a companion for each upstream and two entries in each data centre")
		})
	}
}
