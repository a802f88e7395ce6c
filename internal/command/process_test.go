package command

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/port"
	"bambooferry.example/bambooferry/pkg/instance"
)

// runProgramEnv makes the test binary run the program, so that a test can freeze and kill whole processes.
const runProgramEnv = "BAMBOOFERRY_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) != "" {
		os.Exit(Main(context.Background(), ProcessEnvironment(), os.Args[1:]))
	}
	goleak.VerifyTestMain(m)
}

// process is an entry instance that runs in its own process.
type process struct {
	*exec.Cmd
	args      []string
	statusURL string
	// logs is the process's standard error; it is complete after Wait.
	logs bytes.Buffer
}

func (p *process) start(t *testing.T) {
	p.Cmd = exec.Command(os.Args[0], p.args...)
	p.Env = append(os.Environ(), runProgramEnv+"=1")
	p.Stderr = &p.logs
	require.NoError(t, p.Start())
	cmd := p.Cmd
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
}

// memberStatus returns the status of a member as the process reports it, or a zero value on failure.
func (p *process) memberStatus(id string) server.MemberStatus {
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Get(p.statusURL)
	if err != nil {
		return server.MemberStatus{}
	}
	defer res.Body.Close()
	st := server.Status{}
	if json.NewDecoder(res.Body).Decode(&st) != nil {
		return server.MemberStatus{}
	}
	for _, m := range st.Members {
		if m.ID == id {
			return m
		}
	}
	return server.MemberStatus{}
}

// freeAddress returns an address whose port no other program gets during the test.
func freeAddress(t *testing.T) string {
	address, release, err := port.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, release()) })
	return address.String()
}

func writePeerKeys(t *testing.T, dir string) []string {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &privateKey.PublicKey, privateKey)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(privateKey)
	require.NoError(t, err)
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
	return []string{"-peer-cert-file=" + cert, "-peer-key-file=" + key, "-peer-ca-file=" + cert}
}

// TestFrozenAndKilledProcesses guards against instances, connected by TLS, that do not detect a frozen or
// killed process or do not readmit it.
func TestFrozenAndKilledProcesses(t *testing.T) {
	dir := t.TempDir()
	cursor := filepath.Join(dir, "cursor")
	require.NoError(t, os.WriteFile(cursor, []byte(strings.Repeat("ab", 32)), 0o600))
	service := httptest.NewServer((&platform.Service{}).Handler())
	defer func() {
		service.CloseClientConnections()
		service.Close()
	}()
	keys := writePeerKeys(t, dir)
	var processes []*process
	t.Cleanup(func() {
		if t.Failed() {
			for i, p := range processes {
				t.Logf("logs of process %d, %s:\n%s", i, p.args, p.logs.String())
			}
		}
	})
	seed := freeAddress(t)
	for i := range 3 {
		peerAddress, metricsAddress := seed, freeAddress(t)
		if i > 0 {
			peerAddress = freeAddress(t)
		}
		p := &process{statusURL: "http://" + metricsAddress + "/status", args: append([]string{
			"serve", fmt.Sprintf("-id=i%d", i), "-data-centre=dc-0", "-listen=127.0.0.1:0", "-cursor-key-file=" + cursor,
			"-platform=" + service.Listener.Addr().String(), "-metrics-listen=" + metricsAddress, "-peer-listen=" + peerAddress, "-peers=" + seed,
		}, keys...)}
		p.start(t)
		processes = append(processes, p)
	}
	waitForState := func(id string, state instance.State, observers ...*process) time.Duration {
		startedAt := time.Now()
		require.Eventually(t, func() bool {
			for _, p := range observers {
				if p.memberStatus(id).State != state {
					return false
				}
			}
			return true
		}, 20*time.Second, 20*time.Millisecond, "%s must be %s", id, state)
		return time.Since(startedAt)
	}
	for _, id := range []string{"i0", "i1", "i2"} {
		waitForState(id, instance.Alive, processes...)
	}
	incarnation := processes[0].memberStatus("i2").Incarnation

	require.NoError(t, processes[2].Process.Signal(syscall.SIGSTOP))
	t.Logf("frozen: dead after %v", waitForState("i2", instance.Dead, processes[:2]...))
	require.NoError(t, processes[2].Process.Signal(syscall.SIGCONT))
	t.Logf("resumed: alive after %v", waitForState("i2", instance.Alive, processes[:2]...))
	require.Equal(t, incarnation, processes[0].memberStatus("i2").Incarnation)
	for _, id := range []string{"i0", "i1"} {
		require.NotEqual(t, instance.Dead, processes[2].memberStatus(id).State, "a frozen instance must not declare others dead")
	}

	require.NoError(t, processes[2].Process.Kill())
	_ = processes[2].Wait()
	processes[2].start(t)
	startedAt := time.Now()
	require.Eventually(t, func() bool { return processes[0].memberStatus("i2").Incarnation > incarnation }, 20*time.Second, 20*time.Millisecond)
	waitForState("i2", instance.Alive, processes...)
	t.Logf("killed and restarted: alive after %v", time.Since(startedAt))
}
