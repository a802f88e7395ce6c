package command

import (
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// SettingError reports a setting whose value breaks a rule.
type SettingError struct {
	Flag  string
	Value string
	Rule  string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("-%s: %q: %s", e.Flag, e.Value, e.Rule)
}

// settings holds the flags of one subcommand; each can also be set by an environment variable.
type settings struct {
	*flag.FlagSet
	env    Environment
	checks []func() error
}

func newSettings(e Environment, name, description string) *settings {
	s := &settings{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError), env: e}
	s.SetOutput(e.Stderr)
	s.Usage = func() {
		fmt.Fprintf(e.Stderr, "usage: bambooferry %s [FLAGS]\n\n%s\n\nEach flag can also be set by an environment variable, such as %s.\n\n", name, description, envVariable("data-centre"))
		s.PrintDefaults()
	}
	return s
}

func envVariable(name string) string {
	return "BAMBOOFERRY_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// addCheck adds a rule that is checked after all settings are read.
func (s *settings) addCheck(name string, ok func() bool, rule string) {
	s.checks = append(s.checks, func() error {
		if ok() {
			return nil
		}
		return s.settingError(name, rule)
	})
}

func (s *settings) settingError(name, rule string) error {
	return &SettingError{Flag: name, Value: s.Lookup(name).Value.String(), Rule: rule}
}

// parseAndCheck reads the arguments, then the environment for flags that were not given, and runs the checks.
func (s *settings) parseAndCheck(args []string) error {
	if err := s.parseFlags(args); err != nil {
		return err
	}
	setByFlag := map[string]bool{}
	s.Visit(func(f *flag.Flag) { setByFlag[f.Name] = true })
	var err error
	s.VisitAll(func(f *flag.Flag) {
		v := s.env.Getenv(envVariable(f.Name))
		if v == "" || setByFlag[f.Name] || err != nil {
			return
		}
		if s.Set(f.Name, v) != nil {
			err = &SettingError{Flag: f.Name, Value: v, Rule: "must be a valid value of the flag (from " + envVariable(f.Name) + ")"}
		}
	})
	for _, c := range s.checks {
		if err == nil {
			err = c()
		}
	}
	return err
}

// parseFlags parses the arguments and returns an error of the flag package as one line, without its usage text.
func (s *settings) parseFlags(args []string) error {
	for _, a := range args {
		if a == "-h" || a == "-help" || a == "--help" || a == "--h" {
			s.Usage()
			return flag.ErrHelp
		}
	}
	s.SetOutput(discardWriter{})
	defer s.SetOutput(s.env.Stderr)
	usage := s.Usage
	s.Usage = func() {}
	defer func() { s.Usage = usage }()
	if err := s.FlagSet.Parse(args); err != nil {
		return &SettingError{Flag: strings.Join(args, " "), Value: "", Rule: err.Error()}
	}
	return nil
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// addressFlag adds a flag that takes an IP address and port.
func (s *settings) addressFlag(name, value, usage string) *netip.AddrPort {
	a := &netip.AddrPort{}
	text := s.String(name, value, usage)
	s.checks = append(s.checks, func() error {
		if *text == "" {
			return nil
		}
		var err error
		if *a, err = netip.ParseAddrPort(*text); err != nil {
			return s.settingError(name, "must be an IP address and port, such as 127.0.0.1:8080")
		}
		return nil
	})
	return a
}

// keyFileFlag adds a flag that takes the name of a file with hexadecimal keys, one per line.
func (s *settings) keyFileFlag(name, usage string) *[][]byte {
	keys := &[][]byte{}
	path := s.String(name, "", usage)
	s.checks = append(s.checks, func() error {
		if *path == "" {
			return s.settingError(name, "must name a file")
		}
		data, err := os.ReadFile(*path)
		if err != nil {
			return s.settingError(name, "must be a readable file")
		}
		for _, line := range strings.Fields(string(data)) {
			key, err := hex.DecodeString(line)
			if err != nil || len(key) < 16 {
				return s.settingError(name, "must hold keys of at least 32 hexadecimal digits, one per line")
			}
			*keys = append(*keys, key)
		}
		if len(*keys) == 0 {
			return s.settingError(name, "must hold at least one key")
		}
		return nil
	})
	return keys
}
