package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

type panickingRouter struct{}

func (panickingRouter) Choose(server.TargetQuery) (server.TargetChoice, bool) { panic("secret prompt") }

func (panickingRouter) Adopt(time.Time, *catalogue.Entry, string) (server.TargetChoice, bool) {
	panic("secret prompt")
}

// TestHandlerPanic guards against a panic in one request that ends the instance, is answered with a false outcome or leaks request content into logs.
func TestHandlerPanic(t *testing.T) {
	// The router is called only if the catalogue has an engine.
	in := startInstance(t, server.DefaultLimits(), startEngine(t, fastEngine{tokenBytes: 10, gap: time.Millisecond}))
	in.Router = panickingRouter{}
	for _, end := range []string{"", `,"stream":true`} {
		out := sendExchange(t, in, exchange{body: bodyWith(end)})
		require.Contains(t, out, `"code":"internal"`)
		require.Contains(t, out, `"outcome":"unknown"`)
	}
	require.NotContains(t, in.logs.String(), "secret prompt")
	require.Equal(t, 0.0, heldBytes(in))
}
