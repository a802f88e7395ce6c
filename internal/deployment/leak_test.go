package deployment_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that keep running after the deployment that started them was closed.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
