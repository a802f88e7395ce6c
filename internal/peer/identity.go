package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Identity holds the TLS keys that secure links and reloads them when their files change.
//
// The CA file may hold several certificates, so that an old and a new CA are both
// accepted during a rotation. Names in certificates are not verified, since the
// deployment's own CA signs instances only and their addresses change.
type Identity struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// OnLoadError, if set, is called when changed files cannot be loaded; the keys in use are kept.
	OnLoadError func(err error)

	mu          sync.Mutex
	loadedFiles [3]fileStamp
	cert        *tls.Certificate
	roots       *x509.CertPool
}

type fileStamp struct {
	size    int64
	modTime time.Time
}

// Load reads the files if they have changed since they were last loaded.
func (i *Identity) Load() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	var files [3]fileStamp
	for k, name := range []string{i.CertFile, i.KeyFile, i.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return errors.Wrap(err, "peer keys")
		}
		files[k] = fileStamp{info.Size(), info.ModTime()}
	}
	if files == i.loadedFiles {
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
	i.loadedFiles, i.cert, i.roots = files, &cert, roots
	return nil
}

// TLSConfig returns the TLS configuration of a new link, with the current keys.
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
		// A resumed session would skip verification against a changed CA.
		SessionTicketsDisabled: true,
		// VerifyConnection verifies the chain, but not the name.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyChain(i.roots),
	}
}

func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, c := range s.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}
