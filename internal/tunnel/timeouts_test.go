package tunnel

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against giving up a tunnel, on which nothing was sent, over a single lost probe: TCP_USER_TIMEOUT ends it at the
// first probe that is due after that time.
func TestUserTimeoutLeavesTimeForSeveralProbes(t *testing.T) {
	require.GreaterOrEqual(t, unackedTimeout, 3*keepAliveInterval)
}
