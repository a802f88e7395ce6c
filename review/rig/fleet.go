package main

import (
	"bufio"
	"errors"
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
)

const (
	host        = "rig.example"
	mainKey     = "key-main"
	daemonPath  = "target/bambooferryd"
	readyWait   = 20 * time.Second
	stopWait    = 10 * time.Second
	memoryMB    = 284
	maxBodySize = 4 << 20
	healthPath  = "/health"
	settings    = `node=%s
role=entry
machineClass=front
serves=front,control
ip=%s
zone=%s
region=rig
zones.rig-a=rig
zones.rig-b=rig
zones.rig-c=rig
listen.front=%s:8740
listen.ready=%s:8749
listen.control=%s:8748
internalPorts=7200,7215
seeds=%s
bootstrap=true
limits.memoryMb=%d
limits.maxFds=4100
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,pressure,platform
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.retryBudgetRatio=0.8
bounds.budgetWindowS=10
bounds.budgetSlack=150
bounds.exposeShare=0.1
bounds.badVersionSlack=50
platformSettings.address=%s
platformSettings.form=kv
platformSettings.writesPerS=400
platformSettings.readsPerS=2000
`
)

var zones = []string{"rig-a", "rig-b", "rig-c"}

// instance is one process of the project.
type instance struct {
	name, ip, settingsPath, logPath string
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

func (in *instance) front() string { return in.ip + ":8740" }

// fleet is a small deployment with its stand-ins.
type fleet struct {
	dir       string
	store     *store
	instances []*instance
	engines   []*engine
	record    *recorder
	// maxFDs is the limit of each instance's descriptors, or 0 for that of the machine.
	maxFDs int

	mu   sync.Mutex
	runs []run
}

// recorder writes the lines of record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
	_ = r.out.Flush()
}

// newFleet starts the store. It writes the record to a file.
func newFleet(recordPath string) (*fleet, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, store: s, record: &recorder{out: bufio.NewWriter(file), began: time.Now()}}, nil
}

// addEngines starts engines of a service.
func (f *fleet) addEngines(service string, n int) error {
	for range n {
		i := len(f.engines)
		e, err := f.startEngine(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], "127.0.0.1:0")
		if err != nil {
			return err
		}
		e.serve(f.store)
	}
	return nil
}

func (f *fleet) observe(r *run) {
	f.mu.Lock()
	f.runs = append(f.runs, *r)
	f.mu.Unlock()
	f.record.printf("engine %s runs request %q: %s %s, %d bytes of body, header %v", r.engine, r.id, r.method, r.target, len(r.body), headerLine(r.header))
}

// headerLine returns the headers of a run that the rules speak of.
func headerLine(h http.Header) string {
	var parts []string
	for _, name := range []string{"Authorization", headerTenant, headerPrefix} {
		if v, ok := h[name]; ok {
			parts = append(parts, name+"="+strings.Join(v, ","))
		}
	}
	return strings.Join(parts, " ")
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, r := range f.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

// startInstances starts n instances at free addresses, and waits until they are ready.
func (f *fleet) startInstances(n int) error {
	subnet, err := freeSubnet(n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8748", subnet, i+1))
	}
	for i := range n {
		ip, zone := fmt.Sprintf("%s.%d", subnet, i+1), zones[i%len(zones)]
		in := &instance{name: fmt.Sprintf("front-%d", i+1), ip: ip}
		in.settingsPath, in.logPath = filepath.Join(f.dir, in.name+".conf"), filepath.Join(f.dir, in.name+".log")
		text := fmt.Sprintf(settings, in.name, ip, zone, ip, ip, ip, strings.Join(seeds, ","), memoryMB, f.store.address())
		if err := os.WriteFile(in.settingsPath, []byte(text), 0o600); err != nil {
			return err
		}
		f.instances = append(f.instances, in)
		if err := f.start(in); err != nil {
			return err
		}
	}
	for _, in := range f.instances {
		if err := in.awaitReady(); err != nil {
			return err
		}
	}
	f.record.printf("%d instances are ready, the first at %s", n, f.instances[0].front())
	return nil
}

// start starts the process of an instance.
func (f *fleet) start(in *instance) error {
	log, err := os.OpenFile(in.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	in.cmd = exec.Command(daemonPath)
	if f.maxFDs > 0 {
		in.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", f.maxFDs, daemonPath))
	}
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "BAMBOOFERRY_SETTINGS=" + in.settingsPath}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return err
	}
	f.record.printf("%s starts", in.name)
	in.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(in.cmd, in.exited)
	return nil
}

// lastLine returns the last line that an instance has written.
func (in *instance) lastLine() string {
	data, err := os.ReadFile(in.logPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

func (in *instance) kill() {
	_ = in.cmd.Process.Signal(syscall.SIGKILL)
	<-in.exited
}

func (in *instance) hasExited() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

func (in *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyWait); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get("http://" + in.ip + ":8749/api/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready", in.name)
}

// residentMB returns the resident memory of an instance's process.
func (in *instance) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, in := range f.instances {
		if in.cmd != nil && !in.hasExited() {
			_ = in.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, in := range f.instances {
		select {
		case <-in.exited:
		case <-time.After(stopWait):
			in.kill()
		}
	}
	for _, e := range f.engines {
		e.close()
	}
	f.store.close()
	_ = os.RemoveAll(f.dir)
}

// freeSubnet returns the first three numbers of loopback addresses whose ports are free.
func freeSubnet(n int) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range n {
			for _, port := range []int{8740, 8748, 8749, 7200, 7201} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = ln.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// putConfig writes a configuration.
func (f *fleet) putConfig(version int, routes []map[string]any, services []string, keys ...string) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": healthPath, "maxConnections": 370, "protocol": "h1", "tls": false})
	}
	f.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodySize, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant-main", "apiKeys": append([]string{mainKey}, keys...)}},
	})
	f.record.printf("operator writes configuration %d with the keys %v", version, append([]string{mainKey}, keys...))
}

// routeOf returns a route of a configuration.
func routeOf(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false,
	}
}

// allRuns returns the runs of all requests.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}
