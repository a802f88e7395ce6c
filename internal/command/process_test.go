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
	"net"
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
	"bambooferry.example/bambooferry/pkg/instance"
)

// asProgram makes the test binary run the program, so that a test can stop and kill whole processes.
const asProgram = "BAMBOOFERRY_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(Main(context.Background(), ProcessEnvironment(), os.Args[1:]))
	}
	goleak.VerifyTestMain(m)
}

// process is one entry instance in a process of its own.
type process struct {
	*exec.Cmd
	args   []string
	status string
	// logs is what the process wrote to standard error; it is complete after Wait.
	logs bytes.Buffer
}

func (p *process) start(t *testing.T) {
	p.Cmd = exec.Command(os.Args[0], p.args...)
	p.Env = append(os.Environ(), asProgram+"=1")
	p.Stderr = &p.logs
	require.NoError(t, p.Start())
	cmd := p.Cmd
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
}

// member returns what the process holds of a member.
func (p *process) member(id string) server.MemberStatus {
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Get(p.status)
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

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func writePeerKeys(t *testing.T, dir string) []string {
	secret, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &secret.PublicKey, secret)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(secret)
	require.NoError(t, err)
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
	return []string{"-peer-cert-file=" + cert, "-peer-key-file=" + key, "-peer-ca-file=" + cert}
}

// TestProcesses guards against instances over secured links that do not notice a frozen or
// killed process, or do not take it back.
func TestProcesses(t *testing.T) {
	dir := t.TempDir()
	cursor := filepath.Join(dir, "cursor")
	require.NoError(t, os.WriteFile(cursor, []byte(strings.Repeat("ab", 32)), 0o600))
	service := httptest.NewServer((&platform.Service{}).Handler())
	defer func() {
		service.CloseClientConnections()
		service.Close()
	}()
	keys := writePeerKeys(t, dir)
	var all []*process
	seed := freeAddress(t)
	for i := range 3 {
		at, status := seed, freeAddress(t)
		if i > 0 {
			at = freeAddress(t)
		}
		p := &process{status: "http://" + status + "/status", args: append([]string{
			"serve", fmt.Sprintf("-id=i%d", i), "-data-centre=dc-0", "-listen=127.0.0.1:0", "-cursor-key-file=" + cursor,
			"-platform=" + service.Listener.Addr().String(), "-metrics-listen=" + status, "-peer-listen=" + at, "-peers=" + seed,
		}, keys...)}
		p.start(t)
		all = append(all, p)
	}
	until := func(what string, state instance.State, by ...*process) time.Duration {
		begun := time.Now()
		require.Eventually(t, func() bool {
			for _, p := range by {
				if p.member(what).State != state {
					return false
				}
			}
			return true
		}, 20*time.Second, 20*time.Millisecond, "%s must be %s", what, state)
		return time.Since(begun)
	}
	for _, id := range []string{"i0", "i1", "i2"} {
		until(id, instance.Alive, all...)
	}
	incarnation := all[0].member("i2").Incarnation

	require.NoError(t, all[2].Process.Signal(syscall.SIGSTOP))
	t.Logf("frozen: dead after %v", until("i2", instance.Dead, all[:2]...))
	require.NoError(t, all[2].Process.Signal(syscall.SIGCONT))
	t.Logf("thawed: alive after %v", until("i2", instance.Alive, all[:2]...))
	require.Equal(t, incarnation, all[0].member("i2").Incarnation)
	for _, id := range []string{"i0", "i1"} {
		require.NotEqual(t, instance.Dead, all[2].member(id).State, "a frozen instance must not declare others dead")
	}

	require.NoError(t, all[2].Process.Kill())
	_ = all[2].Wait()
	all[2].start(t)
	begun := time.Now()
	require.Eventually(t, func() bool { return all[0].member("i2").Incarnation > incarnation }, 20*time.Second, 20*time.Millisecond)
	until("i2", instance.Alive, all...)
	t.Logf("killed and restarted: back after %v", time.Since(begun))
}
