package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

type brokenRouter struct{}

func (brokenRouter) Choose(server.TargetQuery) (server.TargetChoice, bool) { panic("secret prompt") }

func (brokenRouter) Adopt(time.Time, *catalogue.Entry, string) (server.TargetChoice, bool) {
	panic("secret prompt")
}

// TestPanic guards against a fault in one request that ends the instance or claims an outcome.
func TestPanic(t *testing.T) {
	// The router is asked only when the catalogue has an engine.
	in := startInstance(t, server.DefaultLimits(), startEngine(t, fastEngine{tokenBytes: 10, gap: time.Millisecond}))
	in.Router = brokenRouter{}
	for _, end := range []string{"", `,"stream":true`} {
		out := play(t, in, exchange{body: with(end)})
		require.Contains(t, out, `"code":"internal"`)
		require.Contains(t, out, `"outcome":"unknown"`)
	}
	require.NotContains(t, in.logs.String(), "secret prompt")
	require.Equal(t, 0.0, heldBytes(in))
}
