package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is what a case has started, and its record.
type world struct {
	root, dir string
	start     time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closers   []func()
}

// newWorld opens the record of a case and a temporary folder.
func newWorld(recordPath string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat("deploy/balancer.toml"); err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, start: time.Now(), record: record}, nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// onClose has a function called when the case ends.
func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all that the case has started.
func (w *world) close() {
	w.mu.Lock()
	processes, closers := w.processes, w.closers
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, f := range closers {
		f()
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}

// process is a started program.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// startProcess starts a command line by /bin/sh from the root, as the platform does. Its output goes to a file of the temporary
// folder. extraFiles are its descriptors from 3.
func (w *world) startProcess(name, line string, env []string, extraFiles ...*os.File) *process {
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	must(err)
	defer out.Close()
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = w.root, out, out, extraFiles
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + w.dir, "HOME=" + w.dir}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	must(cmd.Start())
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.note("%s started, process %d: %s", name, cmd.Process.Pid, line)
	go func() {
		cmd.Wait()
		w.note("%s ended: %v", name, cmd.ProcessState)
		close(p.ended)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		p.cmd.Process.Signal(s)
	}
}

// kill ends the process and what it has started in its group, and waits for its end.
func (p *process) kill() {
	select {
	case <-p.ended:
	default:
		syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	}
	<-p.ended
}

// waitEnded waits for the end of the process and reports whether it came in time.
func (p *process) waitEnded(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o644) }

// noteOutputs notes what processes have written.
func (w *world) noteOutputs(names ...string) {
	for _, name := range names {
		for line := range strings.Lines(w.output(name)) {
			w.note("%s wrote: %s", name, strings.TrimSpace(line))
		}
	}
}

// output returns what a process has written so far.
func (w *world) output(name string) string {
	text, _ := os.ReadFile(filepath.Join(w.dir, name+".log"))
	return string(text)
}

// freeAddr returns a free loopback address.
func freeAddr(network string) string {
	if network == "udp" {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		must(err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// waitFor waits until a condition holds, and stops the case if it does not in time.
func (w *world) waitFor(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			stop("waited %v for %s", limit, what)
		}
	}
}

var adminClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes an operator's call and returns the status and the body; 0 if there was no answer.
func (w *world) call(method, addr, path string) (status int, body string) {
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	must(err)
	response, err := adminClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text))
}

// router is one router as the platform knows it.
type router struct {
	w        *world
	number   int
	listen   string
	admin    string
	config   map[string]any
	env      []string // further variables
	started  int      // processes so far
	current  *process
	listener *os.File // the clients' socket, if the platform holds it
}

// writeConfig writes the router's configuration to a file and returns its path.
func (r *router) writeConfig(name string) string {
	text, err := json.Marshal(r.config)
	must(err)
	path := filepath.Join(r.w.dir, name)
	must(os.WriteFile(path, text, 0o644))
	return path
}

// runLine returns the line run of the deploy file.
func (w *world) runLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(value, `"`)
		}
	}
	stop("the deploy file has no line run")
	return ""
}

// start starts a process of the router.
func (r *router) start() *process {
	r.started++
	path := r.writeConfig(fmt.Sprintf("router%d.json", r.number))
	env := append([]string{"RELAY_CONFIG=" + path, "RELAY_NAME=" + r.config["name"].(string), "RELAY_LISTEN=" + r.listen}, r.env...)
	if r.admin != "" {
		env = append(env, "RELAY_ADMIN="+r.admin)
	}
	var files []*os.File
	if r.listener != nil {
		null, err := os.Open(os.DevNull)
		must(err)
		defer null.Close()
		files = []*os.File{null, r.listener}
		env = append(env, "RELAY_SOCKET_FD=4")
	}
	r.current = r.w.startProcess(fmt.Sprintf("router%d-%d", r.number, r.started), r.w.runLine(), env, files...)
	return r.current
}

// ready reports whether the router answers mn with MN.
func (r *router) ready() bool { return ask(r.listen, "mn") == "MN" }

// ask sends one line on a new connection and returns the first line of the answer, or an empty text.
func ask(addr, line string) string {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "%s\r\n", line)
	b := make([]byte, 256)
	n, _ := c.Read(b)
	text, _, _ := strings.Cut(string(b[:n]), "\r\n")
	return text
}
