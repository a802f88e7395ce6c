package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// statusTimeout bounds one request; an instance queries hundreds of members before it responds.
	statusTimeout = 5 * time.Second
	// maxStatusBytes bounds the response that is read; it is several times the size for instance.MaxMembers members.
	maxStatusBytes = 4 << 20
	watchInterval  = time.Second
	// maxLag is the time within which an accepted revision must be in force at all instances.
	maxLag = 9 * time.Second
	// clearScreen is the escape sequence that moves the cursor to the top left corner and clears the screen.
	clearScreen = "\x1b[H\x1b[2J"
)

// addressList is a flag value of comma-separated addresses; the flag may be given several times.
type addressList []netip.AddrPort

func (l *addressList) String() string {
	var texts []string
	for _, a := range *l {
		texts = append(texts, a.String())
	}
	return strings.Join(texts, ",")
}

// Set appends comma-separated addresses.
func (l *addressList) Set(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return errors.New("must be IP addresses and ports, separated by commas")
		}
		*l = append(*l, a)
	}
	return nil
}

// statusCommand holds the settings of one run of catalogue status.
type statusCommand struct {
	out       io.Writer
	instances addressList
	client    *http.Client
	asJSON    bool
}

func catalogueStatus(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "catalogue status", "Shows the revision in force at each instance, the state of version changes, and the load of the instances.\n"+
		"The exit status is 1 if an instance lags by more than "+maxLag.String()+" or a change was rolled back.")
	c := &statusCommand{out: e.Stdout, client: &http.Client{Timeout: statusTimeout}}
	s.Var(&c.instances, "instance", "metrics `address` of an instance; of several, the first that responds is used")
	s.BoolVar(&c.asJSON, "json", false, "print JSON")
	watch := s.Bool("watch", false, "redraw the table every second until interrupted")
	s.addCheck("instance", func() bool { return len(c.instances) > 0 }, "must be given")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	if *watch {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		return c.watch(ctx)
	}
	return c.show(ctx, "")
}

// watch shows the status periodically until ctx ends and returns the result of the last complete one.
func (c *statusCommand) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var last error
	for {
		err := c.show(ctx, clearScreen)
		if ctx.Err() != nil {
			return last
		}
		last = err
		var exit *exitError
		if err != nil && !errors.As(err, &exit) {
			fmt.Fprintf(c.out, "%v\n", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return last
		}
	}
}

// show prints the status once; the text form is preceded by prefix.
func (c *statusCommand) show(ctx context.Context, prefix string) error {
	st, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	if c.asJSON {
		if err := json.NewEncoder(c.out).Encode(st); err != nil {
			return err
		}
	} else if _, err := io.WriteString(c.out, prefix+statusText(time.Now(), st)); err != nil {
		return err
	}
	if hasFailure(st) {
		return &exitError{exitFailed}
	}
	return nil
}

// fetch queries the instances in order until one responds.
func (c *statusCommand) fetch(ctx context.Context) (*server.Status, error) {
	var failures []string
	for _, a := range c.instances {
		st, err := c.fetchFrom(ctx, a)
		if err == nil {
			return st, nil
		}
		failures = append(failures, err.Error())
	}
	return nil, errors.Newf("no instance responded: %s", strings.Join(failures, "; "))
}

func (c *statusCommand) fetchFrom(ctx context.Context, a netip.AddrPort) (*server.Status, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/status", nil)
	if err != nil {
		return nil, err
	}
	res, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s: status %d", a, res.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, a.String())
	}
	st, err := decodeStatus(data)
	return st, errors.Wrap(err, a.String())
}

// decodeStatus decodes the response of an instance, which may be of a newer version with additional fields.
func decodeStatus(data []byte) (*server.Status, error) {
	st := &server.Status{}
	switch {
	case len(data) > maxStatusBytes:
		return nil, errors.Newf("the status is larger than %d bytes", maxStatusBytes)
	case json.Unmarshal(data, st) != nil:
		return nil, errors.New("the response is not a status")
	case st.Instance == "":
		return nil, errors.New("the response is not a status: it names no instance")
	case len(st.Members) > instance.MaxMembers+1 || len(st.Changes) > version.MaxReports:
		return nil, errors.Newf("the status has %d members and %d changes, which is too many", len(st.Members), len(st.Changes))
	}
	return st, nil
}

// hasFailure reports whether an instance lags for too long or a change was rolled back.
func hasFailure(st *server.Status) bool {
	for i := range st.Members {
		if lagsTooLong(&st.Members[i]) {
			return true
		}
	}
	for i := range st.Changes {
		if st.Changes[i].RolledBack() {
			return true
		}
	}
	return false
}

func lagsTooLong(m *server.MemberStatus) bool { return m.LagMillis > maxLag.Milliseconds() }
