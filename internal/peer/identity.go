package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Identity holds the keys that secure links, from files that are read again when they change.
//
// The CA file may hold several certificates, so that an old and a new CA are both
// accepted during a rotation. The deployment's own CA signs instances only, and
// their addresses change, so names in certificates are not compared.
type Identity struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// OnLoadError, if set, is told that changed files could not be read; the keys in use stay.
	OnLoadError func(err error)

	mu    sync.Mutex
	files [3]stamp
	cert  *tls.Certificate
	roots *x509.CertPool
}

type stamp struct {
	size int64
	time time.Time
}

// Load reads the files if they changed since they were last read.
func (i *Identity) Load() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	var files [3]stamp
	for k, name := range []string{i.CertFile, i.KeyFile, i.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return errors.Wrap(err, "peer keys")
		}
		files[k] = stamp{info.Size(), info.ModTime()}
	}
	if files == i.files {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(i.CertFile, i.KeyFile)
	if err != nil {
		return errors.Wrap(err, "peer keys")
	}
	pem, err := os.ReadFile(i.CAFile)
	if err != nil {
		return errors.Wrap(err, "peer keys")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("peer keys: %s holds no certificate", i.CAFile)
	}
	i.files, i.cert, i.roots = files, &cert, roots
	return nil
}

// TLSConfig returns the TLS settings of one new link, with the keys as they are now.
func (i *Identity) TLSConfig() *tls.Config {
	if err := i.Load(); err != nil && i.OnLoadError != nil {
		i.OnLoadError(err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cert == nil {
		return &tls.Config{MinVersion: tls.VersionTLS13}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*i.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.roots,
		// A resumed session would skip the check against a changed CA.
		SessionTicketsDisabled: true,
		// The chain is checked below, without the name.
		InsecureSkipVerify: true,
		VerifyConnection:   verify(i.roots),
	}
}

func verify(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		rest := x509.NewCertPool()
		for _, c := range s.PeerCertificates[1:] {
			rest.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: rest, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}
