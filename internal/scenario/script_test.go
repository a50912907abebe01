// Package scenario runs scripted failures against a deployment of separate
// processes on loopback. The verdict comes only from what callers received and
// what the upstreams counted.
package scenario

import (
	"context"
	"crypto/rand"
	"fmt"
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

// standinEngine is an engine's handler on real time.
func standinEngine(c *cluster) http.Handler {
	e := standin.NewEngine(standin.EngineSettings{Model: engineSize(), Speed: 1, Seed: 1})
	go e.Run(c.ctx)
	return e.Handler()
}

func engineSize() enginemodel.Settings { return enginemodel.DefaultSettings() }

// world is the state of one script.
type world struct {
	cluster *cluster
	asks    map[string]*answer
	calls   map[string]*call
	keys    map[string]string
	entries []string
}

type worldKey struct{}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			w := &world{asks: map[string]*answer{}, calls: map[string]*call{}, keys: map[string]string{}}
			env.Values[worldKey{}] = w
			env.Defer(func() {
				if w.cluster != nil {
					w.cluster.close()
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

// options reads name=value arguments; what has no "=" is returned as it is.
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

func number(named map[string]string, name string, otherwise int) int {
	if n, err := strconv.Atoi(named[name]); err == nil {
		return n
	}
	return otherwise
}

// deploy [entries=N] [engines=N] [services=N] [speed=N] [SETTING=V...]: starts a
// deployment over zones a and b and brings a configuration into force.
func cmdDeploy(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	_, named := options(args)
	c, err := newCluster(ts.Getenv("WORK"), environment(named)...)
	check(ts, err)
	w.cluster = c
	w.entries, err = c.deploy(number(named, "entries", 1), number(named, "engines", 0), number(named, "services", 0), number(named, "speed", 1))
	check(ts, err)
	check(ts, c.apply(w.entries[0], 0, c.configText()))
	check(ts, c.ready(w.entries...))
	for name := range c.services {
		check(ts, c.logged(name, "lease-acquired", 1))
	}
}

// environment returns the settings among a script's arguments.
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

// configText is the configuration of what the cluster runs.
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

// apply submits a configuration and waits until it is accepted. All processes
// may still be connecting, so a refusal for that reason is asked again.
func (c *cluster) apply(entry string, base int64, source string) error {
	file := filepath.Join(c.dir, "applied.yaml")
	if err := os.WriteFile(file, []byte(source), 0o644); err != nil {
		return err
	}
	// Each try asks for the same change: one that was committed and not yet in
	// force everywhere would refuse another change from the same base.
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
	cmd.Env = append(os.Environ(), "SPARSHORE_SERVER="+c.proc(entry).http, "SPARSHORE_TOKEN="+opToken)
	return cmd
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "stop": syscall.SIGTERM, "reload": syscall.SIGHUP,
}

// signal kill|freeze|thaw|stop|reload NAME.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
	check(ts, c.signal(args[1], signals[args[0]]))
	if args[0] == "kill" {
		<-c.proc(args[1]).done
	}
}

// restart NAME: a new incarnation at the same place.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	check(ts, worldOf(ts).cluster.restart(args[0]))
}

// gone NAME: waits until the process has ended by itself.
func cmdGone(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
	check(ts, waitFor(func() error {
		if !c.exited(args[0]) {
			return fmt.Errorf("%s still runs", args[0])
		}
		return nil
	}))
}

// cut on|off|reset NAME: the link to the process.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	r := worldOf(ts).cluster.relays[args[1]]
	switch args[0] {
	case "reset":
		r.Reset()
	default:
		r.Cut(args[0] == "on")
	}
}

// outage [outage=true] [vm_outage=true] [lose=N] [lose_objects=N] [delay=MS]: the platform's stores.
func cmdOutage(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
	_, named := options(args)
	c.control(c.stores+"/control/faults", map[string]any{
		"outage": named["outage"] == "true", "vm_outage": named["vm_outage"] == "true",
		"lose_replies": number(named, "lose", 0), "lose_object_replies": number(named, "lose_objects", 0), "delay_ms": number(named, "delay", 0),
	})
}

// table backup|restore: copies the platform's table, or restores it from the latest copy.
func cmdTable(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
	c.control(c.stores+"/control/"+args[0], nil)
}

// list NAME ZONE STATE: the VM list's word on a process's VM.
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).cluster.listVM(args[0], args[1], args[2])
}

// ask ID entry=NAME [out=N]: a streamed request in the background; with an ID
// that was asked before, the caller goes on with its stream.
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	plain, named := options(args)
	a := w.asks[plain[0]]
	if a == nil {
		a = newAnswer()
		w.asks[plain[0]] = a
	} else {
		<-a.done
		a.done = make(chan struct{})
	}
	url := w.cluster.proc(named["entry"]).http
	go func() {
		defer close(a.done)
		a.ask(url, number(named, "out", 20))
	}()
}

// tokens ID N: waits until the caller has at least N tokens.
func cmdTokens(ts *testscript.TestScript, _ bool, args []string) {
	a := worldOf(ts).asks[args[0]]
	want, err := strconv.Atoi(args[1])
	check(ts, err)
	check(ts, waitFor(func() error {
		if n := a.count(); n < want {
			return fmt.Errorf("caller %s has %d of %d tokens", args[0], n, want)
		}
		return nil
	}))
}

// answer ID END [tokens=N] [outcome=O] [retry=true]: waits for the stream's end
// and judges it.
func cmdAnswer(ts *testscript.TestScript, _ bool, args []string) {
	plain, named := options(args)
	a := worldOf(ts).asks[plain[0]]
	<-a.done
	check(ts, a.check())
	if !slices.Contains(strings.Split(plain[1], "|"), a.end) {
		ts.Fatalf("stream %s ended %s (status %d, %s), want %s", plain[0], a.end, a.status, a.cutAt, plain[1])
	}
	if n, ok := named["tokens"]; ok && n != strconv.Itoa(len(a.tokens)) {
		ts.Fatalf("stream %s has %d tokens, want %s", plain[0], len(a.tokens), n)
	}
	if o, ok := named["outcome"]; ok && o != a.outcome {
		ts.Fatalf("stream %s: outcome %q, want %q", plain[0], a.outcome, o)
	}
	if named["retry"] == "true" && a.retry == "" {
		ts.Fatalf("stream %s was refused without Retry-After", plain[0])
	}
}

// hangup ID: the caller closes its connection.
func cmdHangup(ts *testscript.TestScript, _ bool, args []string) {
	a := worldOf(ts).asks[args[0]]
	a.mu.Lock()
	a.stop()
	a.mu.Unlock()
	<-a.done
}

// key returns the caller's key with a script's name: a fresh UUID of version 7
// for names that start with "dated", the name itself otherwise.
func (w *world) key(name string) string {
	if !strings.HasPrefix(name, "dated") {
		return name
	}
	if w.keys[name] == "" {
		w.keys[name] = newDatedKey(time.Now())
	}
	return w.keys[name]
}

func newDatedKey(at time.Time) string {
	var b [10]byte
	_, _ = rand.Read(b[:])
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, uint(b[0])<<4, uint(b[1])<<4, b[2:8])
}

// file ID entry=NAME [key=NAME]: a call that may not be repeated, in the
// background.
func cmdFile(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	plain, named := options(args)
	url, key := w.cluster.proc(named["entry"]).http, w.key(named["key"])
	background(w, plain[0], func() *call { return file(context.Background(), url, key) })
}

// settle ID entry=NAME key=NAME: asks what became of a call.
func cmdSettle(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	plain, named := options(args)
	url, key := w.cluster.proc(named["entry"]).http, w.key(named["key"])
	background(w, plain[0], func() *call { return settle(context.Background(), url, key) })
}

func background(w *world, id string, f func() *call) {
	holder := &call{done: make(chan struct{})}
	w.calls[id] = holder
	go func() {
		got := f()
		holder.status, holder.outcome, holder.id, holder.retry, holder.err = got.status, got.outcome, got.id, got.retry, got.err
		close(holder.done)
	}()
}

// outcome ID O|O: waits for a call's answer and compares its outcome; "broken"
// is a connection that ended without one.
func cmdOutcome(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).calls[args[0]]
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

// runs KEY N|N: how often the services ran the call.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	runs, err := w.cluster.runs()
	check(ts, err)
	got := strconv.Itoa(runs[w.key(args[0])])
	if !slices.Contains(strings.Split(args[1], "|"), got) {
		ts.Fatalf("call %s ran %s times, want %s", args[0], got, args[1])
	}
}

// ran KEY N: waits until the services have run the call N times.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	check(ts, waitFor(func() error {
		runs, err := w.cluster.runs()
		if err != nil {
			return err
		}
		if got := strconv.Itoa(runs[w.key(args[0])]); got != args[1] {
			return fmt.Errorf("call %s ran %s times, want %s", args[0], got, args[1])
		}
		return nil
	}))
}

// fault UPSTREAM name=value...: tells an engine or service to go wrong.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
	plain, named := options(args)
	body := map[string]any{}
	for k, v := range named {
		if n, err := strconv.Atoi(v); err == nil {
			body[k] = n
		} else {
			body[k] = v == "true"
		}
	}
	c.control(c.urls[plain[0]]+"/control/faults", body)
}

// counted ENGINE NAME N: waits until an engine's own count is N.
func cmdCounted(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
	check(ts, waitFor(func() error {
		counts, err := c.counts(args[0])
		if err != nil {
			return err
		}
		if got := strconv.Itoa(counts[args[1]]); got != args[2] {
			return fmt.Errorf("engine %s counted %s %s, want %s", args[0], got, args[1], args[2])
		}
		return nil
	}))
}

// ctl ENTRY ARGS...: runs sparshorectl against an entry; its output can be
// compared with stdout and stderr.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	c := worldOf(ts).cluster
	ts.Setenv("SPARSHORE_SERVER", c.proc(args[0]).http)
	ts.Setenv("SPARSHORE_TOKEN", opToken)
	err := ts.Exec("sparshorectl", args[1:]...)
	if (err != nil) != neg {
		ts.Fatalf("sparshorectl %v: %v", args[1:], err)
	}
}

// timeline ID ENTRY: the time line of a stream's request, asked at an entry.
func cmdTimeline(ts *testscript.TestScript, _ bool, args []string) {
	a := worldOf(ts).asks[args[0]]
	cmdCtl(ts, false, []string{args[1], "timeline", "--request", a.request})
}

// state ENTRY NAME STATE|STATE: waits until an entry sees a process so.
func cmdState(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
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
		return fmt.Errorf("entry %s does not see %s as %s", args[0], args[1], args[2])
	}))
}

// logged NAME EVENT N: waits until a process has logged an event N times, over
// all its incarnations.
func cmdLogged(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[2])
	check(ts, err)
	check(ts, worldOf(ts).cluster.logged(args[0], args[1], want))
}

// mostTail bounds in bytes what is told of a process's log: what shows once can be traced then.
const mostTail = 6 << 10

func (c *cluster) logged(name, event string, times int) error {
	return waitFor(func() error {
		b, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
		if err != nil {
			return err
		}
		if n := strings.Count(string(b), `"msg":"`+event+`"`); n < times {
			return fmt.Errorf("%s logged %s %d of %d times; its latest lines:\n%s", name, event, n, times, b[max(len(b)-mostTail, 0):])
		}
		return nil
	})
}

// pause DURATION: lets time pass for a fault to take hold; no verdict hangs on
// its length.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	check(ts, err)
	time.Sleep(d)
}

// race ENTRY ENTRY base=N: two operators submit different changes at once;
// exactly one must win, and the other be told so.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).cluster
	plain, named := options(args)
	base := strconv.Itoa(number(named, "base", 1))
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
		ts.Fatalf("%d won and %d were refused: %q", accepted, refused, outs)
	}
}
