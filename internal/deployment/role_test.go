package deployment_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/order"
	"bambooferry.example/bambooferry/pkg/version"
)

// role returns what an engine's load report tells.
func (tr *trial) role(i int) string {
	l := engine.Load{}
	res, err := http.Get("http://" + tr.Engines[i].Address().String() + "/load")
	require.NoError(tr.t, err)
	defer res.Body.Close()
	require.NoError(tr.t, json.NewDecoder(res.Body).Decode(&l))
	return l.Role
}

// askRoles puts a catalogue in force that asks for one role a target.
func (tr *trial) askRoles(roles ...string) {
	for i, r := range roles {
		tr.Catalogue.Entry(deployment.ModelName).Targets[i].Role = r
	}
	tr.Catalogue.Revision++
	require.NoError(tr.t, tr.PutCatalogue(tr.Catalogue))
}

func (tr *trial) awaitRoles(why string, roles ...string) {
	tr.t.Helper()
	require.Eventually(tr.t, func() bool {
		for i, r := range roles {
			if tr.role(i) != r {
				return false
			}
		}
		return true
	}, trialWait, 10*time.Millisecond, why)
}

// reported sums up the engines that the senders of orders report as having their role.
func (tr *trial) reported() (wanted, held int) {
	for _, in := range tr.Instances {
		r, _ := server.Roles.Get(in.Board)
		for _, s := range r.Roles {
			wanted, held = wanted+s.Wanted, held+s.Held
		}
	}
	return wanted, held
}

// oldestSender returns the lowest fencing number of the instances that send orders, or 0 if none does.
func (tr *trial) oldestSender() int64 {
	oldest := int64(0)
	for _, in := range tr.Instances {
		if r, _ := server.Roles.Get(in.Board); r.Fence > 0 && (oldest == 0 || r.Fence < oldest) {
			oldest = r.Fence
		}
	}
	return oldest
}

// TestRolesOfCatalogue guards against roles of the catalogue that engines do not get or
// keep, at engines that honour fencing numbers and at engines that ignore them.
func TestRolesOfCatalogue(t *testing.T) {
	for name, ignore := range map[string]bool{"honouring": false, "ignoring": true} {
		t.Run(name, func(t *testing.T) {
			tr := startTrial(t, false)
			tr.fault(standin.Faults{VersionFaults: standin.VersionFaults{IgnoreFence: ignore}})
			tr.askRoles("prefill", "decode", "decode", "")
			tr.awaitRoles("ordered without a version change; no role is left as it is", "prefill", "decode", "decode", "")
			require.Eventually(t, func() bool {
				wanted, held := tr.reported()
				return wanted == 3 && held == 3
			}, trialWait, 10*time.Millisecond, "reported for the status")
			tr.askRoles("decode", "decode", "prefill", "")
			tr.awaitRoles("an edit of the catalogue changes roles", "decode", "decode", "prefill", "")

			begun := tr.decidersBegun()
			tr.raiseFence()
			require.Eventually(t, func() bool { return tr.decidersBegun() > begun }, trialWait, time.Millisecond)
			// The first sender goes on until its own lease has run out, and may correct a role too.
			require.Eventually(t, func() bool { return tr.oldestSender() > 1 }, trialWait, time.Millisecond)
			// An order that the first sender sent long ago arrives only now, at an engine
			// that has not heard of a newer sender, since its role needed no order.
			late := order.Order{Fence: 1, Kind: order.Role, Model: deployment.ModelName, Role: "prefill"}
			require.Equal(t, http.StatusOK, tr.order(0, late))
			tr.awaitRoles("read back and corrected", "decode", "decode", "prefill", "")
			require.Equal(t, ignore, tr.order(0, late) == http.StatusOK, "the engine has heard of the newer sender")
			tr.awaitRoles("read back and corrected again", "decode", "decode", "prefill", "")
			fences := map[string]int64{}
			for i, e := range tr.Engines {
				for _, o := range e.ObeyedOrders() {
					if o != late {
						require.GreaterOrEqual(t, o.Fence, fences[o.Model+string(rune(i))], "orders of an older sender after those of a newer one")
						fences[o.Model+string(rune(i))] = o.Fence
					}
				}
			}
		})
	}
}

// TestRolesDuringChange guards against a version change that forgets roles, or roles that
// make engines of another version load.
func TestRolesDuringChange(t *testing.T) {
	tr := startTrial(t, false)
	for i, r := range []string{"prefill", "decode", "decode", "decode"} {
		tr.Catalogue.Entry(deployment.ModelName).Targets[i].Role = r
	}
	require.NoError(t, tr.ChangeModelVersion(time.Now().Add(30*time.Second), 0.2, 99))
	tr.await(version.Done, 0, 1, 2)
	tr.awaitRoles("ordered along with loads", "prefill", "decode", "decode", "decode")
	for i := range tr.Engines {
		require.Contains(t, tr.loaded(i), "v2")
	}
}
