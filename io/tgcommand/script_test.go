package tgcommand

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgexit"
	"tanagergrade/io/tgstandin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tanagergrade": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }, //nolint:forbidigo // testscript asks for it
	})
}

type standinLogKey struct{}

// TestScripts guards against changes of what operators see of whole commands: output, files and exit codes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"chat": scriptChat, "exits": scriptExits, "hold": scriptHold, "log": scriptLog, "retry": scriptRetry, "subst": scriptSubst,
			"terminate": scriptTerminate,
		},
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			log := tgstandin.NewLog(time.Hour)
			server, err := tgstandin.Serve(log.Handle)
			if err != nil {
				return err
			}
			env.Defer(func() { _ = server.Close() })
			env.Values[standinLogKey{}] = log
			env.Setenv("LOG", server.Address().String())
			engine, err := tgstandin.Serve(tgstandin.NewEngine("draft-1", time.Millisecond).Handle)
			if err != nil {
				return err
			}
			env.Defer(func() { _ = engine.Close() })
			env.Setenv("ENGINE", engine.Address().String())
			for i := range 5 {
				port, err := freePort()
				if err != nil {
					return err
				}
				env.Setenv("PORT"+strconv.Itoa(i+1), port)
			}
			return nil
		},
	})
}

// Ports of daemons in scripts. They are below those that the system gives to listeners and connections without a port of
// their own: tests that run at the same time would take them between the choice of a port and the start of its daemon.
const (
	firstScriptPort = 20_000
	scriptPorts     = 12_000
)

// nextScriptPort counts from firstScriptPort.
var nextScriptPort atomic.Uint32

// freePort returns a port that nothing listens on and that was not returned before. Processes that run at the same time begin
// at different ports.
func freePort() (string, error) {
	nextScriptPort.CompareAndSwap(0, uint32(1+rand.N(scriptPorts)))
	for range scriptPorts {
		port := strconv.Itoa(firstScriptPort + int(nextScriptPort.Add(1)%scriptPorts))
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port)) //nolint:noctx // a listener has no context
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		return port, listener.Close()
	}
	return "", errors.New("no port is free")
}

// scriptChat runs "chat ADDRESS KEY MODEL": it repeats a chat request to an entry until one is answered in full.
func scriptChat(ts *testscript.TestScript, _ bool, args []string) {
	body := []byte(`{"model":"` + args[2] + `","messages":[{"role":"user","content":"hello"}]}`)
	last := "no answer"
	for range 50 {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set("Authorization", "Bearer "+args[1])
		req.SetRequestURI("http://" + args[0] + "/v1/chat/completions")
		req.SetBody(body)
		err := fasthttp.DoTimeout(req, resp, 10*time.Second)
		last = fmt.Sprintf("%v, status %d: %s", err, resp.StatusCode(), resp.Body())
		if err == nil && resp.StatusCode() == fasthttp.StatusOK && bytes.Contains(resp.Body(), []byte(`"choices"`)) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("chat failed: %s", last)
}

// scriptExits runs "exits CODE COMMAND ARGUMENTS..." and checks the exit code.
func scriptExits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// scriptHold runs "hold ADDRESS": it sends an incomplete request and keeps the connection open until the script ends.
func scriptHold(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", args[0]) //nolint:noctx // the script has no context
	ts.Check(err)
	ts.Defer(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("GET /healthz HTTP/1.1\r\n"))
	ts.Check(err)
}

// scriptLog runs "log down", "log up" and "log lose N", which drops the replies to the next N appends.
func scriptLog(ts *testscript.TestScript, _ bool, args []string) {
	log, ok := ts.Value(standinLogKey{}).(*tgstandin.Log)
	if !ok {
		ts.Fatalf("the script environment has no log service")
	}
	switch args[0] {
	case "down":
		log.SetDown(true)
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		log.LoseReplies(n)
	case "up":
		log.SetDown(false)
	default:
		ts.Fatalf("unknown argument of the log command: %q", args[0])
	}
}

// scriptRetry runs "retry TEXT COMMAND ARGUMENTS...": it repeats the command until it succeeds and prints TEXT.
func scriptRetry(ts *testscript.TestScript, _ bool, args []string) {
	for range 100 {
		if ts.Exec(args[1], args[2:]...) == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("%v did not show %q; last error output: %s", args[1:], args[0], ts.ReadFile("stderr"))
}

// scriptSubst runs "subst FILE...": it replaces $NAME in the files by the value of the environment variable.
func scriptSubst(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// scriptTerminate runs "terminate INDEX": it sends SIGTERM to the background command with that index.
func scriptTerminate(ts *testscript.TestScript, _ bool, args []string) {
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	ts.Check(ts.BackgroundCmds()[i].Process.Signal(syscall.SIGTERM))
}

const raceBase = `
[dataCentres]
a.region = "r"
b.region = "r"
`

// Guards against two operators whose conflicting changes are both reported as accepted, and against the refusal of
// concurrent changes of different entities. The log holds back the first append until the second operator's append
// arrives, so both have read the same configuration.
func TestRacingPublishers(t *testing.T) {
	tests := []struct {
		name   string
		second string // data centre of the second operator
		codes  []int
	}{
		{"different entities", "b", []int{tgexit.OK, tgexit.OK}},
		{"same entity", "a", []int{tgexit.OK, tgexit.Conflict}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := tgstandin.NewLog(time.Hour)
			var barrier sync.WaitGroup
			racing := false // set before the race starts
			server, err := tgstandin.Serve(func(ctx *fasthttp.RequestCtx) {
				if racing && ctx.IsPost() {
					barrier.Done()
					barrier.Wait()
				}
				log.Handle(ctx)
			})
			assert.NilError(t, err)
			defer func() { assert.NilError(t, server.Close()) }()
			base := t.TempDir() + "/base.toml"
			assert.NilError(t, os.WriteFile(base, []byte(raceBase), 0o600))
			address := server.Address().String()
			assert.Equal(t, Main([]string{"config", "publish", "--config", base, "--log-address", address}, io.Discard, io.Discard), 0)
			racing = true
			barrier.Add(2)
			var wg sync.WaitGroup
			codes, stderrs := make([]int, 2), make([]bytes.Buffer, 2)
			for i, dc := range []string{"a", tt.second} {
				wg.Go(func() {
					codes[i] = Main([]string{"data-centre", "withdraw", dc, "--log-address", address}, io.Discard, &stderrs[i])
				})
			}
			wg.Wait()
			slices.Sort(codes)
			assert.DeepEqual(t, codes, tt.codes)
			if codes[1] == tgexit.Conflict {
				both := stderrs[0].String() + stderrs[1].String()
				assert.Assert(t, strings.Contains(both, "data centre a changed after it was made"), both)
			}
		})
	}
}
