package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthrack/jacinthrack/platform/standin"
)

// world is a deployment on loopback addresses: a stand-in of the store in this process, and
// instances and backend servers as processes of their own.
type world struct {
	dir       string // temporary folder
	network   string // first three bytes of the addresses
	store     *standin.Store
	storeAddr string
	record    *record
	started   time.Time

	mu        sync.Mutex
	processes []*process
}

// process is a process that the world started.
type process struct {
	name    string
	address string
	output  string // path of its output
	command *exec.Cmd
	exited  chan struct{}
}

// record writes record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// newWorld starts a world without instances and servers. The record goes to record.txt in the
// case's folder.
func newWorld(caseDir string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	w := &world{
		dir: dir, network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)), store: &standin.Store{}, started: now,
		record: &record{file: file, started: now},
	}
	listener, err := net.Listen("tcp", w.network+".250:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	return w, nil
}

// putConfig writes a configuration to the store, as the operator does.
func (w *world) putConfig(config []byte) { w.store.Put("op", "config", config) }

// freePorts returns n ports on an address, each of which was free a moment ago.
func freePorts(ip string, n int) ([]int, error) {
	for first := 20000 + rand.IntN(20000); first < 60000; first += n {
		free := true
		for port := first; port < first+n && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			ports := make([]int, n)
			for i := range ports {
				ports[i] = first + i
			}
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports on %s", n, ip)
}

// startServer starts a backend server of the service "desk" and lists it in the store.
func (w *world) startServer(n, slots int, zone string, flags ...string) (*process, error) {
	id := fmt.Sprintf("i-%d", n)
	ip := fmt.Sprintf("%s.%d", w.network, 100+n)
	ports, err := freePorts(ip, 1)
	if err != nil {
		return nil, err
	}
	address := fmt.Sprintf("%s:%d", ip, ports[0])
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	arguments := append([]string{"server", "--id", id, "--address", address, "--slots", strconv.Itoa(slots)}, flags...)
	p, err := w.start(id, address, nil, program, arguments...)
	if err != nil {
		return nil, err
	}
	if err := awaitListener(address); err != nil {
		return nil, err
	}
	record := (&standin.Server{ID: id, Slots: slots}).Record("desk", address, zone)
	record["born"] = time.Now().UnixMilli()
	return p, w.store.PutJSON("servers", id, record)
}

// instance is an entry instance. Its process is replaced when it is started again.
type instance struct {
	*process
	ready, directory string
	number           int
	settings         string
}

// startInstance starts an entry instance with the command of the deploy file.
func (w *world) startInstance(n, cores int, zone string) (*instance, error) {
	ip := fmt.Sprintf("%s.%d", w.network, n)
	ports, err := freePorts(ip, 10)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("frontend-%s-%d", zone, n)
	text := settingsTemplate
	for placeholder, value := range map[string]string{"NAME": name, "IP": ip, "ZONE": zone, "STORE": w.storeAddr, "CORES": strconv.Itoa(cores), "BOOTSTRAP": "true"} {
		text = strings.ReplaceAll(text, "@"+placeholder+"@", value)
	}
	for i, port := range ports {
		text = strings.ReplaceAll(text, fmt.Sprintf("@PORT%d@", i), strconv.Itoa(port))
	}
	if !json.Valid([]byte(text)) {
		return nil, fmt.Errorf("the settings of %s are not valid JSON", name)
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	in := &instance{
		ready: fmt.Sprintf("http://%s:%d/ready", ip, ports[1]), directory: fmt.Sprintf("%s:%d", ip, ports[2]), number: n, settings: path,
	}
	in.process, err = w.start(name, fmt.Sprintf("%s:%d", ip, ports[0]), []string{names.SettingsVariable + "=" + path}, "target/jacinthrack-gateway", "serve")
	return in, err
}

// start starts a process in the root of the repository.
func (w *world) start(name, address string, environment []string, program string, arguments ...string) (*process, error) {
	output := filepath.Join(w.dir, name+".out")
	file, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = file, file
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, address: address, output: output, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.record.printf("started %s, process %d, at %s", name, command.Process.Pid, address)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// awaitListener waits until a connection to an address is accepted.
func awaitListener(address string) error {
	for range 200 {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// awaitReady waits until an instance says that it is ready.
func (in *instance) awaitReady() error {
	for range 400 {
		response, err := http.Get(in.ready)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", in.name)
}

// close ends all processes and appends what the servers printed to the record.
func (w *world) close() {
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	w.record.file.Close()
	os.RemoveAll(w.dir)
}

// serverLine is a line that a server printed.
type serverLine struct {
	at               time.Time
	server, what, id string
	more             string
}

// serverLines returns what the servers printed, and copies it into the record.
func (w *world) serverLines() []serverLine {
	var lines []serverLine
	for _, p := range w.processes {
		if !strings.HasPrefix(p.name, "i-") {
			continue
		}
		data, err := os.ReadFile(p.output)
		if err != nil {
			continue
		}
		for _, text := range strings.Split(string(data), "\n") {
			fields := strings.SplitN(text, " ", 5)
			if len(fields) < 4 {
				continue
			}
			ms, err := strconv.ParseInt(fields[0], 10, 64)
			if err != nil {
				continue
			}
			line := serverLine{at: time.UnixMilli(ms), server: fields[1], what: fields[2], id: fields[3]}
			if len(fields) == 5 {
				line.more = fields[4]
			}
			lines = append(lines, line)
		}
	}
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	for _, line := range lines {
		fmt.Fprintf(w.record.file, "%8.3f  server %s %s %s %s\n", line.at.Sub(w.started).Seconds(), line.server, line.what, line.id, line.more)
	}
	return lines
}
