package tgcommand

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgexit"
	"tanagergrade/io/tgstandin"
)

// Guards against a large configuration that cannot be published because its record exceeds the log's limit, and against
// a split into changes of which one is invalid until a later one is applied.
func TestLargePublication(t *testing.T) {
	standinLog := tgstandin.NewLog(time.Hour)
	server, err := tgstandin.Serve(func(ctx *fasthttp.RequestCtx) {
		if len(ctx.PostBody()) > 300<<10 {
			ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			return
		}
		standinLog.Handle(ctx)
	})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	var text strings.Builder
	text.WriteString("dataCentres.z.region = \"r\"\npools.a = {kind = \"model\", models = [\"m\"]}\n")
	for i := range 3000 {
		fmt.Fprintf(&text, "accounts.account-%d.keyHash = \"%064x\"\n", i, i)
		fmt.Fprintf(&text, "upstreams.u-%d = {address = \"10.1.%d.%d:1\", companion = \"10.2.%d.%d:1\", dataCentre = \"z\", pool = \"a\"}\n",
			i, i/200, i%200, i/200, i%200)
	}
	base := filepath.Join(t.TempDir(), "base.toml")
	publish := func(content, want string, flags ...string) {
		t.Helper()
		assert.NilError(t, os.WriteFile(base, []byte(content), 0o600))
		args := append([]string{"config", "publish", "--config", base, "--log-address", server.Address().String(), "--timeout", "60s"}, flags...)
		var stdout, stderr bytes.Buffer
		assert.Equal(t, Main(args, &stdout, &stderr), tgexit.OK, "%s", &stderr)
		assert.Assert(t, strings.Contains(stdout.String(), want), "%s", &stdout)
	}
	publish(text.String(), "accepted at offset 3, ")
	publish(text.String(), "nothing to change")
	publish("", "accepted at offset ", "--delete")
	var stdout bytes.Buffer
	assert.Equal(t, Main([]string{"config", "diff", "--config", base, "--log-address", server.Address().String()}, &stdout, io.Discard), tgexit.OK)
	assert.Equal(t, stdout.String(), "")
}
