package server_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive the instance that started them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
