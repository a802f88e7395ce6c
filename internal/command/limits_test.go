package command

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLimitSettings guards against a limit that is not validated, or whose error takes more than one line.
func TestLimitSettings(t *testing.T) {
	for _, c := range []struct{ flag, value, rule string }{
		{"buffer-bytes", "1023", "must be from 1024 to 1048576"},
		{"buffer-bytes", "1048577", "must be from 1024 to 1048576"},
		{"keep-bytes", "-1", "must be from 0 to 1048576"},
		{"workspace-bytes", "1048575", "must be at least 1048576"},
		{"instance-bytes", "1048576", "must be at least workspace-bytes"},
		{"answer-bytes", "1000", "must be from 1024 to workspace-bytes"},
		{"answer-bytes", "1073741824", "must be from 1024 to workspace-bytes"},
		{"reader-idle", "0s", "must be at least 1ms"},
		{"detach-after", "-1s", "must be at least 1ms"},
		{"upload-wait", "0s", "must be at least 1ms"},
		{"header-wait", "0s", "must be at least 1ms"},
		{"keep-alive", "0s", "must be at least 1ms"},
		{"resume-wait", "0s", "must be at least 1ms"},
		{"cursor-life", "1µs", "must be at least 1ms"},
		{"stop-wait", "0s", "must be at least 1ms"},
	} {
		t.Run(c.flag+"="+c.value, func(t *testing.T) {
			stderr := &bytes.Buffer{}
			e := Environment{Stdout: &bytes.Buffer{}, Stderr: stderr, Getenv: func(string) string { return "" }}
			status := Main(context.Background(), e, []string{"serve", "-data-centre", "a", "-platform", "127.0.0.1:1", "-cursor-key-file", keyFile(t), "-" + c.flag, c.value})
			require.Equal(t, exitSetting, status)
			require.Equal(t, "bambooferry serve: -"+c.flag+": \""+c.value+"\": "+c.rule+"\n", stderr.String())
		})
	}
}
