package command

import (
	"context"
	"net"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/peer"
	"bambooferry.example/bambooferry/internal/server"
)

// peerSettings tell how an instance meets other instances.
type peerSettings struct {
	listen *netip.AddrPort
	seeds  []netip.AddrPort
	keys   peer.Identity
	plain  bool
}

func peerFlags(s *settings) *peerSettings {
	p := &peerSettings{}
	p.listen = s.address("peer-listen", "", "`address` for other instances; none if empty, then the instance is alone")
	seeds := s.String("peers", "", "`addresses` of other instances to ask at the start, separated by commas")
	s.StringVar(&p.keys.CertFile, "peer-cert-file", "", "`file` with the instance's certificate; a changed file is read again")
	s.StringVar(&p.keys.KeyFile, "peer-key-file", "", "`file` with the certificate's key")
	s.StringVar(&p.keys.CAFile, "peer-ca-file", "", "`file` with the certificates of the deployment's CAs")
	s.BoolVar(&p.plain, "peer-plain", false, "whether links between instances are plain, on loopback addresses only")
	s.checks = append(s.checks, func() error { return p.readSeeds(s, *seeds) })
	s.check("peer-listen", func() bool { return !p.listen.IsValid() || !p.listen.Addr().IsUnspecified() }, "must be the address that other instances call, not an unspecified one")
	s.check("peer-plain", func() bool { return !p.plain || p.loopback() }, "must be used only if -peer-listen and -peers are loopback addresses")
	s.check("peer-plain", func() bool { return !p.plain || p.keys.CertFile+p.keys.KeyFile+p.keys.CAFile == "" }, "must not be given together with key files")
	for _, f := range []struct {
		name  string
		value *string
	}{{"peer-cert-file", &p.keys.CertFile}, {"peer-key-file", &p.keys.KeyFile}, {"peer-ca-file", &p.keys.CAFile}} {
		s.check(f.name, func() bool { return !p.listen.IsValid() || p.plain || *f.value != "" }, "must be given with -peer-listen, unless -peer-plain is")
	}
	s.check("peer-cert-file", func() bool { return !p.listen.IsValid() || p.plain || p.keys.Load() == nil }, "must be readable and fit -peer-key-file, and -peer-ca-file must hold a certificate")
	return p
}

func (p *peerSettings) readSeeds(s *settings, text string) error {
	for _, one := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		a, err := netip.ParseAddrPort(strings.TrimSpace(one))
		if err != nil {
			return s.wrong("peers", "must be IP addresses and ports, separated by commas")
		}
		p.seeds = append(p.seeds, a)
	}
	if len(p.seeds) > 0 && !p.listen.IsValid() {
		return s.wrong("peers", "must be given together with -peer-listen")
	}
	return nil
}

func (p *peerSettings) loopback() bool {
	ok := !p.listen.IsValid() || p.listen.Addr().IsLoopback()
	for _, a := range p.seeds {
		ok = ok && a.Addr().IsLoopback()
	}
	return ok
}

// network opens the instance's address for peers, or returns nil if it has none.
func (p *peerSettings) network(ctx context.Context, in *server.Server) (*peer.Network, error) {
	if !p.listen.IsValid() {
		return nil, nil
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := &peer.Network{Listener: ln, DialTimeout: dialTimeout}
	if !p.plain {
		p.keys.OnLoadError = func(err error) {
			in.Log.Error().Err(err).Msg("peer: Changed key files cannot be read. The old keys stay.")
		}
		n.TLS = p.keys.TLSConfig
	}
	in.Peers, in.PeerAddress, in.Seeds = n, n.Address(), p.seeds
	return n, nil
}
