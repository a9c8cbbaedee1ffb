package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// fakeBench stands in for the bench: its report has the worth in the file "worth", whose last digit is 9 for seed 2.
const fakeBench = `#!/bin/sh
set -e
[ "$1" = build ] && exit 0
site=$2 day=$3
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--report) report=$2 ;;
	esac
	shift
done
worth=$(cat worth)
[ "$seed" = 2 ] && worth=${worth%?}9
mkdir -p journal
echo "{}" >"journal/$(basename "$PWD")-$seed.json"
broken='{}'
[ "$day" = hard ] && broken='{"TWICE": 1}'
echo "{\"G\": $worth, \"breaks\": $broken, \"fault\": null, \"windows\": [{\"name\": \"0\", \"worth\": $worth}, {\"name\": \"2\", \"worth\": 0.5}]}" >"$report"
echo '   1.5000 vm-1 time="x" msg=skew now=1.25 step=3'
echo '   2.5000 vm-1 time="x" msg=skew now=1.75 step=4'
echo '   2.6000 vm-2 time="x" msg=request detail=limit outcome=refused'
echo '   2.7000 vm-2 time="x" msg=request detail="no upstream: full" outcome=refused'
`

// newRepository returns a repository with two revisions and makes it the working directory.
func newRepository(t *testing.T) {
	t.Helper()
	dir := t.TempDir()
	t.Chdir(dir)
	git := func(args ...string) {
		t.Helper()
		args = append([]string{"-c", "user.name=test", "-c", "user.email=test@localhost"}, args...)
		out, err := exec.CommandContext(t.Context(), "git", args...).CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	git("init", "-q", ".")
	for _, worth := range []string{"0.500", "0.700"} {
		assert.NilError(t, os.WriteFile("worth", []byte(worth), 0o600))
		git("add", "worth")
		git("commit", "-q", "-m", "worth "+worth)
	}
}

// Guards against a comparison that presents noise as a gain or hides broken rules: it must print the standard error of the
// difference, the refusals by cause and the runs that broke a rule.
func TestCompareRevisions(t *testing.T) {
	bench := filepath.Join(t.TempDir(), "bench")
	assert.NilError(t, os.WriteFile(bench, []byte(fakeBench), 0o700)) //nolint:gosec // it is run
	want, err := filepath.Abs("testdata/comparison.golden")
	assert.NilError(t, err)
	newRepository(t)
	var out, progress bytes.Buffer
	code := run([]string{
		"--bench", bench, "--site", "site.toml", "--days", "easy,hard", "--seeds", "1-2", "--why", "test", "--plots", "plots",
	}, &out, &progress)
	assert.Equal(t, code, 0, progress.String())
	data, err := os.ReadFile(want)
	if golden.FlagUpdate() {
		data, err = out.Bytes(), os.WriteFile(want, out.Bytes(), 0o600)
	}
	assert.NilError(t, err)
	assert.Equal(t, out.String(), string(data))
	assert.Equal(t, strings.Count(progress.String(), " of 8: "), 8)
	for _, file := range []string{"plots/easy-worth.svg", "plots/hard-skew.svg", "journal/base-1.json", "journal/new-2.json"} {
		_, err := os.Stat(file)
		assert.NilError(t, err)
	}
}

// Guards against wrong flags that are only noticed after days have run.
func TestParse(t *testing.T) {
	required := []string{"--bench", "b", "--site", "s", "--days", "d", "--why", "w"}
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"jobs":    {args: append([]string{"--jobs", "0"}, required...), want: "--jobs is 0"},
		"missing": {args: required[2:], want: "--bench is missing"},
		"range":   {args: append([]string{"--seeds", "6-1"}, required...), want: "is not a range"},
		"seed":    {args: append([]string{"--seeds", "1,x"}, required...), want: "is not a number"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			assert.Equal(t, run(c.args, &out, &errs), 2)
			assert.Assert(t, strings.Contains(errs.String(), c.want), errs.String())
		})
	}
}
