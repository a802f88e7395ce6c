package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestPeerSettings guards against settings that allow unencrypted links between instances on other than loopback addresses.
func TestPeerSettings(t *testing.T) {
	dir := t.TempDir()
	keys := filepath.Join(dir, "cursor")
	require.NoError(t, os.WriteFile(keys, []byte(strings.Repeat("ab", 32)), 0o600))
	for _, c := range []struct {
		name string
		flag string
		args []string
	}{
		{"plain beyond loopback", "peer-plain", []string{"-peer-plain", "-peer-listen=192.0.2.1:7000"}},
		{"plain with a seed beyond loopback", "peer-plain", []string{"-peer-plain", "-peer-listen=127.0.0.1:0", "-peers=192.0.2.1:7000"}},
		{"plain with keys", "peer-plain", []string{"-peer-plain", "-peer-listen=127.0.0.1:0", "-peer-cert-file=x"}},
		{"no keys", "peer-cert-file", []string{"-peer-listen=127.0.0.1:0"}},
		{"no CA", "peer-ca-file", []string{"-peer-listen=127.0.0.1:0", "-peer-cert-file=x", "-peer-key-file=y"}},
		{"missing files", "peer-cert-file", []string{"-peer-listen=127.0.0.1:0", "-peer-cert-file=x", "-peer-key-file=y", "-peer-ca-file=z"}},
		{"seeds without an address", "peers", []string{"-peers=127.0.0.1:7000"}},
		{"wrong seed", "peers", []string{"-peer-plain", "-peer-listen=127.0.0.1:0", "-peers=here"}},
		{"unspecified address", "peer-listen", []string{"-peer-plain", "-peer-listen=0.0.0.0:7000"}},
	} {
		var out bytes.Buffer
		e := Environment{Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }}
		args := append([]string{"-data-centre=a", "-platform=127.0.0.1:1", "-listen=127.0.0.1:0", "-cursor-key-file=" + keys}, c.args...)
		err := runServe(context.Background(), e, args)
		s := (*SettingError)(nil)
		require.True(t, errors.As(err, &s), "%s: %v", c.name, err)
		require.Equal(t, c.flag, s.Flag, "%s: %v", c.name, err)
		require.NotContains(t, err.Error(), "\n")
	}
}
