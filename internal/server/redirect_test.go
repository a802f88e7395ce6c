package server_test

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
)

// TestRepeatableCallFollowsRedirect guards against calls that a target's redirect sends to an address which the
// catalogue does not name.
func TestRepeatableCallFollowsRedirect(t *testing.T) {
	unlisted := &recordingTarget{}
	location := &url.URL{Scheme: "http", Host: startEngine(t, unlisted).String(), Path: "/run/redirected"}
	service := startEngine(t, http.RedirectHandler(location.String(), http.StatusFound))
	in := startInstanceWithService(t, server.DefaultLimits(), startEngine(t, http.NotFoundHandler()), service)
	c := openRaw(t, in)
	_, err := io.WriteString(c, rawRequest("repeatable", "first"))
	require.NoError(t, err)
	a, err := c.answer()
	require.NoError(t, err)
	require.False(t, unlisted.reached("redirected"))
	require.Equal(t, http.StatusFound, a.status, a.body)
	require.True(t, strings.Contains(a.body, location.String()), a.body)
}
