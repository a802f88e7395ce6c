package server_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
)

// BenchmarkRepeatableCall measures repeatable calls, one after another on one connection of a caller.
func BenchmarkRepeatableCall(b *testing.B) {
	service := startEngine(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	in := startInstanceWithService(b, server.DefaultLimits(), startEngine(b, http.NotFoundHandler()), service)
	c := openRaw(b, in)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, err := io.WriteString(c, rawRequest("repeatable", fmt.Sprint("call-", i)))
		require.NoError(b, err)
		a, err := c.answer()
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, a.status, a.body)
	}
}
