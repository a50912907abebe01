// Package scenario holds the end-to-end tests. Each test starts a deployment of
// separate processes on loopback, injects failures and checks the guarantees to
// callers. The verdict depends only on what callers received and on the upstreams'
// own counters, not on what the system reports about itself.
package scenario

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/ctl"
	"github.com/sparshore/sparshore/internal/daemon"
	"github.com/sparshore/sparshore/internal/enginemodel"
	"github.com/sparshore/sparshore/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sparshored":   func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"sparshorectl": func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// newEngineHandler starts a stand-in engine that runs in real time and returns
// its HTTP handler.
func newEngineHandler(c *cluster) http.Handler {
	e := standin.NewEngine(standin.EngineSettings{Model: defaultEngineModel(), Speed: 1, Seed: 1})
	go e.Run(c.ctx)
	return e.Handler()
}

func defaultEngineModel() enginemodel.Settings { return enginemodel.DefaultSettings() }

// scriptState is the state that the commands of one script share.
type scriptState struct {
	cluster *cluster
	streams map[string]*streamResult
	calls   map[string]*call
	keys    map[string]string
	entries []string
}

type scriptStateKey struct{}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			state := &scriptState{streams: map[string]*streamResult{}, calls: map[string]*call{}, keys: map[string]string{}}
			env.Values[scriptStateKey{}] = state
			env.Defer(func() {
				if state.cluster != nil {
					state.cluster.close()
				}
			})
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"deploy":   cmdDeploy,
			"signal":   cmdSignal,
			"restart":  cmdRestart,
			"gone":     cmdGone,
			"cut":      cmdCut,
			"outage":   cmdOutage,
			"table":    cmdTable,
			"list":     cmdList,
			"ask":      cmdAsk,
			"tokens":   cmdTokens,
			"answer":   cmdAnswer,
			"hangup":   cmdHangup,
			"file":     cmdFile,
			"settle":   cmdSettle,
			"outcome":  cmdOutcome,
			"runs":     cmdRuns,
			"fault":    cmdFault,
			"counted":  cmdCounted,
			"ctl":      cmdCtl,
			"state":    cmdState,
			"race":     cmdRace,
			"timeline": cmdTimeline,
			"logged":   cmdLogged,
			"ran":      cmdRan,
			"pause":    cmdPause,
		},
	})
}

func check(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// options splits arguments into name=value pairs and plain arguments without "=".
func options(args []string) (plain []string, named map[string]string) {
	named = map[string]string{}
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok {
			named[k] = v
		} else {
			plain = append(plain, a)
		}
	}
	return plain, named
}

func intOption(named map[string]string, name string, otherwise int) int {
	if n, err := strconv.Atoi(named[name]); err == nil {
		return n
	}
	return otherwise
}

// cmdDeploy implements deploy [entries=N] [engines=N] [services=N] [speed=N]
// [SETTING=V...]: it starts a deployment across zones a and b and activates a
// configuration for it.
func cmdDeploy(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	_, named := options(args)
	c, err := newCluster(ts.Getenv("WORK"), environment(named)...)
	check(ts, err)
	state.cluster = c
	state.entries, err = c.deploy(intOption(named, "entries", 1), intOption(named, "engines", 0), intOption(named, "services", 0), intOption(named, "speed", 1))
	check(ts, err)
	check(ts, c.apply(state.entries[0], 0, c.configText()))
	check(ts, c.waitReady(state.entries...))
	for name := range c.services {
		check(ts, c.waitLogged(name, "lease-acquired", 1))
	}
}

// environment returns the settings among a command's arguments as environment
// variables.
func environment(named map[string]string) []string {
	out := []string{"SPARSHORE_SKEW=20ms"}
	for k, v := range named {
		if strings.HasPrefix(k, "SPARSHORE_") {
			out = append(out, k+"="+v)
		}
	}
	return out
}

func zoneOf(i int) string { return []string{"a", "b"}[i%2] }

func (c *cluster) deploy(entries, engines, services, speed int) ([]string, error) {
	var names []string
	for i := range engines {
		if err := c.startEngine(fmt.Sprint("eng-", i+1), zoneOf(i), float64(speed)); err != nil {
			return nil, err
		}
	}
	for i := range services {
		if err := c.startService(fmt.Sprint("led-", i+1), zoneOf(i)); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		name := fmt.Sprint("entry-", i+1)
		names = append(names, name)
		if err := c.startEntry(name, zoneOf(i)); err != nil {
			return nil, err
		}
	}
	return names, nil
}

// configText returns a configuration that lists the running upstreams.
func (c *cluster) configText() string {
	var b strings.Builder
	pool := func(name, kind string, upstreams []string) {
		if len(upstreams) == 0 {
			return
		}
		slices.Sort(upstreams)
		fmt.Fprintf(&b, "  - name: %s\n    kind: %s\n    upstreams:\n", name, kind)
		for i, u := range upstreams {
			fmt.Fprintf(&b, "      - {name: %s, zone: %s}\n", u, zoneOf(i))
		}
	}
	var engines, services []string
	for name := range c.engines {
		engines = append(engines, name)
	}
	for name := range c.services {
		services = append(services, name)
	}
	b.WriteString("pools:\n")
	pool("chat", "engine", engines)
	pool("ledger", "service", services)
	b.WriteString("models:\n")
	if len(engines) > 0 {
		fmt.Fprintf(&b, "  - {name: %s, pool: chat}\n", modelName)
	}
	fmt.Fprintf(&b, "accounts:\n  - {name: demo, key_hashes: [%s]}\n", config.HashKey(apiKey))
	return strings.Replace(b.String(), "models:\naccounts", "models: []\naccounts", 1)
}

// apply submits a configuration and waits until it is accepted. It retries,
// since the change is refused while processes are still connecting.
func (c *cluster) apply(entry string, base int64, source string) error {
	file := filepath.Join(c.dir, "applied.yaml")
	if err := os.WriteFile(file, []byte(source), 0o644); err != nil {
		return err
	}
	// Every attempt uses the same change ID. If an earlier attempt was committed but
	// is not active everywhere yet, a new ID with the same base would be refused.
	change := fmt.Sprintf("apply-%d-%d", base, time.Now().UnixNano())
	return waitFor(func() error {
		out, err := c.ctl(entry, "config", "apply", "--base", strconv.FormatInt(base, 10), "--change", change, file).CombinedOutput()
		if err != nil {
			return fmt.Errorf("apply: %w: %s", err, out)
		}
		return nil
	})
}

func (c *cluster) ctl(entry string, args ...string) *exec.Cmd {
	cmd := exec.Command("sparshorectl", args...)
	cmd.Dir = c.dir
	cmd.Env = append(os.Environ(), "SPARSHORE_SERVER="+c.proc(entry).baseURL, "SPARSHORE_TOKEN="+opToken)
	return cmd
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "stop": syscall.SIGTERM, "reload": syscall.SIGHUP,
}

// cmdSignal implements signal kill|freeze|thaw|stop|reload NAME: it sends the
// signal to the process and, after kill, waits until the process has exited.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	check(ts, c.signal(args[1], signals[args[0]]))
	if args[0] == "kill" {
		<-c.proc(args[1]).done
	}
}

// cmdRestart implements restart NAME: it starts a new incarnation with the same
// name and addresses.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	check(ts, stateOf(ts).cluster.restart(args[0]))
}

// cmdGone implements gone NAME: it waits until the process has exited.
func cmdGone(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	check(ts, waitFor(func() error {
		if !c.exited(args[0]) {
			return fmt.Errorf("%s still runs", args[0])
		}
		return nil
	}))
}

// cmdCut implements cut on|off|reset NAME: it cuts the link to the process,
// restores the link, or resets the open connections.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	r := stateOf(ts).cluster.proxies[args[1]]
	switch args[0] {
	case "reset":
		r.Reset()
	default:
		r.Cut(args[0] == "on")
	}
}

// cmdOutage implements outage [outage=true] [vm_outage=true] [lose=N]
// [lose_objects=N] [delay=MS]: it sets the faults of the platform's stores.
func cmdOutage(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	_, named := options(args)
	c.control(c.storesURL+"/control/faults", map[string]any{
		"outage": named["outage"] == "true", "vm_outage": named["vm_outage"] == "true",
		"lose_replies": intOption(named, "lose", 0), "lose_object_replies": intOption(named, "lose_objects", 0), "delay_ms": intOption(named, "delay", 0),
	})
}

// cmdTable implements table backup|restore: it backs up the platform's table or
// restores the latest backup.
func cmdTable(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	c.control(c.storesURL+"/control/"+args[0], nil)
}

// cmdList implements list NAME ZONE STATE: it sets the state of the process's VM
// in the platform's VM list.
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	stateOf(ts).cluster.listVM(args[0], args[1], args[2])
}

// cmdAsk implements ask ID entry=NAME [out=N]: it sends a streaming request in the
// background. If the ID was used before, the caller resumes that stream.
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	plain, named := options(args)
	stream := state.streams[plain[0]]
	if stream == nil {
		stream = newStreamResult()
		state.streams[plain[0]] = stream
	} else {
		<-stream.done
		stream.done = make(chan struct{})
	}
	url := state.cluster.proc(named["entry"]).baseURL
	go func() {
		defer close(stream.done)
		stream.sendStream(url, intOption(named, "out", 20))
	}()
}

// cmdTokens implements tokens ID N: it waits until the caller has received at
// least N tokens.
func cmdTokens(ts *testscript.TestScript, _ bool, args []string) {
	stream := stateOf(ts).streams[args[0]]
	want, err := strconv.Atoi(args[1])
	check(ts, err)
	check(ts, waitFor(func() error {
		if n := stream.count(); n < want {
			return fmt.Errorf("caller %s received %d of %d tokens", args[0], n, want)
		}
		return nil
	}))
}

// cmdAnswer implements answer ID END|END [tokens=N] [outcome=O] [retry=true]: it
// waits for the end of the stream and checks the tokens and how the stream ended.
func cmdAnswer(ts *testscript.TestScript, _ bool, args []string) {
	plain, named := options(args)
	stream := stateOf(ts).streams[plain[0]]
	<-stream.done
	check(ts, stream.verifyTokens())
	if !slices.Contains(strings.Split(plain[1], "|"), stream.end) {
		ts.Fatalf("stream %s ended %s after %s (status %d, %s, %d tokens, last event %s), want %s; logs:\n%s", plain[0], stream.end, stream.took.Round(time.Millisecond),
			stream.status, stream.cutError, len(stream.tokens), stream.lastID, plain[1], stateOf(ts).cluster.logTails())
	}
	if n, ok := named["tokens"]; ok && n != strconv.Itoa(len(stream.tokens)) {
		ts.Fatalf("stream %s has %d tokens, want %s", plain[0], len(stream.tokens), n)
	}
	if o, ok := named["outcome"]; ok && o != stream.outcome {
		ts.Fatalf("stream %s: outcome %q, want %q", plain[0], stream.outcome, o)
	}
	if named["retry"] == "true" && stream.retry == "" {
		ts.Fatalf("stream %s was refused without Retry-After", plain[0])
	}
}

// cmdHangup implements hangup ID: the caller closes its connection.
func cmdHangup(ts *testscript.TestScript, _ bool, args []string) {
	stream := stateOf(ts).streams[args[0]]
	stream.mu.Lock()
	stream.stop()
	stream.mu.Unlock()
	<-stream.done
}

// key returns the idempotency key for a name in a script. A name that starts with
// "dated" stands for a UUID of version 7, generated on first use; any other name is
// the key itself.
func (state *scriptState) key(name string) string {
	if !strings.HasPrefix(name, "dated") {
		return name
	}
	if state.keys[name] == "" {
		state.keys[name] = newUUIDv7(time.Now())
	}
	return state.keys[name]
}

func newUUIDv7(at time.Time) string {
	var b [10]byte
	_, _ = rand.Read(b[:])
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, uint(b[0])<<4, uint(b[1])<<4, b[2:8])
}

// cmdFile implements file ID entry=NAME [key=NAME]: it sends a non-repeatable call
// in the background.
func cmdFile(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	plain, named := options(args)
	url, key := state.cluster.proc(named["entry"]).baseURL, state.key(named["key"])
	runInBackground(state, plain[0], func() *call { return sendCall(context.Background(), url, key) })
}

// cmdSettle implements settle ID entry=NAME key=NAME: it queries the outcome of a
// call in the background.
func cmdSettle(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	plain, named := options(args)
	url, key := state.cluster.proc(named["entry"]).baseURL, state.key(named["key"])
	runInBackground(state, plain[0], func() *call { return queryCall(context.Background(), url, key) })
}

func runInBackground(state *scriptState, id string, send func() *call) {
	pending := &call{done: make(chan struct{})}
	state.calls[id] = pending
	go func() {
		got := send()
		pending.status, pending.outcome, pending.id, pending.retry, pending.err = got.status, got.outcome, got.id, got.retry, got.err
		close(pending.done)
	}()
}

// cmdOutcome implements outcome ID O|O: it waits for the response to a call and
// checks the outcome. The outcome is "broken" if the connection ended without a
// response.
func cmdOutcome(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).calls[args[0]]
	<-c.done
	got := c.outcome
	if c.err != nil {
		got = "broken"
	}
	if !slices.Contains(strings.Split(args[1], "|"), got) {
		ts.Fatalf("call %s: outcome %q (status %d, %v), want %s", args[0], got, c.status, c.err, args[1])
	}
	if got != "done" && got != "broken" && c.retry == "" {
		ts.Fatalf("call %s: %s without Retry-After", args[0], got)
	}
}

// cmdRuns implements runs KEY N|N: it checks how many times the services ran the
// call.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	runs, err := state.cluster.runCounts()
	check(ts, err)
	got := strconv.Itoa(runs[state.key(args[0])])
	if !slices.Contains(strings.Split(args[1], "|"), got) {
		ts.Fatalf("call %s ran %s times, want %s", args[0], got, args[1])
	}
}

// cmdRan implements ran KEY N: it waits until the services have run the call N
// times.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	check(ts, waitFor(func() error {
		runs, err := state.cluster.runCounts()
		if err != nil {
			return err
		}
		if got := strconv.Itoa(runs[state.key(args[0])]); got != args[1] {
			return fmt.Errorf("call %s ran %s times, want %s", args[0], got, args[1])
		}
		return nil
	}))
}

// cmdFault implements fault UPSTREAM name=value...: it sets the faults of an engine
// or service.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	plain, named := options(args)
	body := map[string]any{}
	for k, v := range named {
		if n, err := strconv.Atoi(v); err == nil {
			body[k] = n
		} else {
			body[k] = v == "true"
		}
	}
	c.control(c.upstreamURLs[plain[0]]+"/control/faults", body)
}

// cmdCounted implements counted ENGINE NAME N: it waits until the engine's own
// counter has the value N.
func cmdCounted(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	check(ts, waitFor(func() error {
		counts, err := c.engineCounts(args[0])
		if err != nil {
			return err
		}
		if got := strconv.Itoa(counts[args[1]]); got != args[2] {
			return fmt.Errorf("engine %s reports %s %s, want %s", args[0], got, args[1], args[2])
		}
		return nil
	}))
}

// cmdCtl implements ctl ENTRY ARGS...: it runs sparshorectl against an entry. The
// stdout and stderr commands can then match its output.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	c := stateOf(ts).cluster
	ts.Setenv("SPARSHORE_SERVER", c.proc(args[0]).baseURL)
	ts.Setenv("SPARSHORE_TOKEN", opToken)
	err := ts.Exec("sparshorectl", args[1:]...)
	if (err != nil) != neg {
		ts.Fatalf("sparshorectl %v: %v", args[1:], err)
	}
}

// cmdTimeline implements timeline ID ENTRY: it fetches the timeline of a stream's
// request from an entry.
func cmdTimeline(ts *testscript.TestScript, _ bool, args []string) {
	stream := stateOf(ts).streams[args[0]]
	cmdCtl(ts, false, []string{args[1], "timeline", "--request", stream.requestID})
}

// cmdState implements state ENTRY NAME STATE|STATE: it waits until the entry reports
// the process in one of the states.
func cmdState(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	check(ts, waitFor(func() error {
		s, err := c.status(args[0])
		if err != nil {
			return err
		}
		for _, p := range s.Peers {
			if p.VM == args[1] && slices.Contains(strings.Split(args[2], "|"), p.State) {
				return nil
			}
		}
		return fmt.Errorf("entry %s does not report %s as %s", args[0], args[1], args[2])
	}))
}

// cmdLogged implements logged NAME EVENT N: it waits until the process has logged
// the event at least N times, counted over all its incarnations.
func cmdLogged(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[2])
	check(ts, err)
	check(ts, stateOf(ts).cluster.waitLogged(args[0], args[1], want))
}

// maxLogTail limits in bytes how much of a process's log an error message quotes.
// The excerpt helps to trace failures that can't be reproduced.
const maxLogTail = 6 << 10

// logTails returns the end of the log of each process, in order of the names.
func (c *cluster) logTails() string {
	c.mu.Lock()
	names := slices.Sorted(maps.Keys(c.procs))
	c.mu.Unlock()
	var out strings.Builder
	for _, name := range names {
		b, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
		_, _ = fmt.Fprintf(&out, "%s (read: %v):\n%s\n", name, err, b[max(len(b)-maxLogTail, 0):])
	}
	return out.String()
}

func (c *cluster) waitLogged(name, event string, times int) error {
	return waitFor(func() error {
		b, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
		if err != nil {
			return err
		}
		if n := strings.Count(string(b), `"msg":"`+event+`"`); n < times {
			return fmt.Errorf("%s logged %s %d of %d times; end of its log:\n%s", name, event, n, times, b[max(len(b)-maxLogTail, 0):])
		}
		return nil
	})
}

// cmdPause implements pause DURATION: it waits for a fault to take effect. No
// assertion depends on the duration.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	check(ts, err)
	time.Sleep(d)
}

// cmdRace implements race ENTRY ENTRY base=N: two operators submit different
// changes concurrently. Exactly one change must be accepted, and the other operator
// must be told which change won.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).cluster
	plain, named := options(args)
	base := strconv.Itoa(intOption(named, "base", 1))
	outs := make([]string, len(plain))
	var wg sync.WaitGroup
	for i, entry := range plain {
		file := filepath.Join(c.dir, fmt.Sprintf("race-%d.yaml", i))
		check(ts, os.WriteFile(file, []byte(c.configText()+fmt.Sprintf("# operator %d\n", i)), 0o644))
		wg.Go(func() {
			out, _ := c.ctl(entry, "config", "apply", "--base", base, file).CombinedOutput()
			outs[i] = string(out)
		})
	}
	wg.Wait()
	accepted, refused := 0, 0
	for _, out := range outs {
		switch {
		case strings.Contains(out, "accepted"):
			accepted++
		case strings.Contains(out, "refused") && strings.Contains(out, "won"):
			refused++
		}
	}
	if accepted != 1 || refused != len(plain)-1 {
		ts.Fatalf("%d changes accepted and %d refused: %q", accepted, refused, outs)
	}
}
