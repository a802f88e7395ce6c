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

// peerSettings holds the settings of the connections to other instances.
type peerSettings struct {
	listen    *netip.AddrPort
	seeds     []netip.AddrPort
	identity  peer.Identity
	plaintext bool
}

func addPeerFlags(s *settings) *peerSettings {
	p := &peerSettings{}
	p.listen = s.addressFlag("peer-listen", "", "`address` for other instances; if empty, the instance runs alone")
	seeds := s.String("peers", "", "`addresses` of other instances to contact at the start, separated by commas")
	s.StringVar(&p.identity.CertFile, "peer-cert-file", "", "`file` with the instance's certificate; reloaded when it changes")
	s.StringVar(&p.identity.KeyFile, "peer-key-file", "", "`file` with the certificate's key")
	s.StringVar(&p.identity.CAFile, "peer-ca-file", "", "`file` with the certificates of the deployment's CAs")
	s.BoolVar(&p.plaintext, "peer-plain", false, "use unencrypted links between instances, on loopback addresses only")
	s.checks = append(s.checks, func() error { return p.readSeeds(s, *seeds) })
	s.addCheck("peer-listen", func() bool { return !p.listen.IsValid() || !p.listen.Addr().IsUnspecified() }, "must be the address that other instances call, not an unspecified one")
	s.addCheck("peer-plain", func() bool { return !p.plaintext || p.loopbackOnly() }, "must be used only if -peer-listen and -peers are loopback addresses")
	s.addCheck("peer-plain", func() bool { return !p.plaintext || p.identity.CertFile+p.identity.KeyFile+p.identity.CAFile == "" }, "must not be given together with key files")
	for _, f := range []struct {
		name  string
		value *string
	}{{"peer-cert-file", &p.identity.CertFile}, {"peer-key-file", &p.identity.KeyFile}, {"peer-ca-file", &p.identity.CAFile}} {
		s.addCheck(f.name, func() bool { return !p.listen.IsValid() || p.plaintext || *f.value != "" }, "must be given with -peer-listen, unless -peer-plain is")
	}
	s.addCheck("peer-cert-file", func() bool { return !p.listen.IsValid() || p.plaintext || p.identity.Load() == nil }, "must be readable and match -peer-key-file, and -peer-ca-file must hold a certificate")
	return p
}

func (p *peerSettings) readSeeds(s *settings, text string) error {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return s.settingError("peers", "must be IP addresses and ports, separated by commas")
		}
		p.seeds = append(p.seeds, a)
	}
	if len(p.seeds) > 0 && !p.listen.IsValid() {
		return s.settingError("peers", "must be given together with -peer-listen")
	}
	return nil
}

func (p *peerSettings) loopbackOnly() bool {
	ok := !p.listen.IsValid() || p.listen.Addr().IsLoopback()
	for _, a := range p.seeds {
		ok = ok && a.Addr().IsLoopback()
	}
	return ok
}

// listenForPeers opens the listener for peers and sets up inst's network, or returns nil if no address is set.
func (p *peerSettings) listenForPeers(ctx context.Context, inst *server.Server) (*peer.Network, error) {
	if !p.listen.IsValid() {
		return nil, nil
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := &peer.Network{Listener: ln, DialTimeout: dialTimeout}
	if !p.plaintext {
		p.identity.OnLoadError = func(err error) {
			inst.Log.Error().Err(err).Msg("peer: Changed key files cannot be loaded. The previous keys stay in use.")
		}
		n.TLS = p.identity.TLSConfig
	}
	inst.Peers, inst.PeerAddress, inst.Seeds = n, n.Address(), p.seeds
	return n, nil
}
