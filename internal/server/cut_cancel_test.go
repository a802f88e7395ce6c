package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
)

// TestCutAnswerConfirmsNoCancel guards against a generation that counts as ended since the answer to its cancellation
// broke off after the status.
func TestCutAnswerConfirmsNoCancel(t *testing.T) {
	s := &Server{Client: NewClient(time.Second), Limits: DefaultLimits(), Board: blackboard.New()}
	require.NoError(t, s.initCalls(context.Background()))
	text := "HTTP/1.1 200 S\r\nContent-Length: 2\r\n\r\nok"
	require.True(t, s.cancelGeneration(startCutTarget(t, text, false), "g", 1))
	require.False(t, s.cancelGeneration(startCutTarget(t, text[:len(text)-1], false), "g", 1))
}
