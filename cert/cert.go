// Package cert loads TLS credentials from PEM files and reloads changed files.
//
// # Concept
//
// Certificates are replaced while the process runs. A Source reads its files
// again when they change, at most once a second. When the files cannot be read,
// the last valid certificate stays in use.
//
// VMs address each other by IP address, so peers are verified by the fleet's
// own authority and not by host name.
//
// # Usage
//
//	source, err := cert.Load(files)
//	callers := source.CallerConfig()
//	dial, serve := source.PeerConfigs()
package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry/conf"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Source provides the current credentials of a set of files. It is safe for
// concurrent use.
type Source struct {
	files conf.TLSFiles

	mu          sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	checkedAt   time.Time
	modifiedAt  time.Time
}

// Load reads the files. It returns nil without error when the files are not
// set.
func Load(files conf.TLSFiles) (*Source, error) {
	if files == (conf.TLSFiles{}) {
		return nil, nil
	}
	source := &Source{files: files}
	if err := source.read(); err != nil {
		return nil, err
	}
	return source, nil
}

// read loads the certificate, the key and the authority.
func (s *Source) read() (err error) {
	var pair tls.Certificate
	if pair, err = tls.LoadX509KeyPair(s.files.Certificate, s.files.Key); err != nil {
		return trace.Wrap(err, "load the certificate %s", s.files.Certificate)
	}
	authority := x509.NewCertPool()
	if s.files.Authority != "" {
		var text []byte
		if text, err = os.ReadFile(s.files.Authority); err != nil {
			return trace.ConvertSystemError(err)
		}
		if !authority.AppendCertsFromPEM(text) {
			return trace.BadParameter("%s contains no PEM certificate", s.files.Authority)
		}
	}
	s.certificate, s.authority, s.modifiedAt = &pair, authority, s.lastModified()
	return nil
}

// lastModified returns the latest modification time of the files.
func (s *Source) lastModified() (newest time.Time) {
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// credentials returns the credentials in use, after a check of the files.
func (s *Source) credentials() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checkedAt) >= checkInterval {
		s.checkedAt = now
		if !s.lastModified().Equal(s.modifiedAt) {
			// Files that are only partly replaced are read again at the next check.
			_ = s.read()
		}
	}
	return s.certificate, s.authority
}

// CallerConfig returns the configuration of the listener for callers, or nil
// when s is nil.
func (s *Source) CallerConfig() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := s.credentials()
			return certificate, nil
		},
	}
}

// PeerConfigs returns the configurations for sessions between VMs, or nil when
// s is nil. Both sides present a certificate of the authority.
func (s *Source) PeerConfigs() (dial, serve *tls.Config) {
	if s == nil {
		return nil, nil
	}
	dial = &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified in VerifyConnection, without a host name.
		InsecureSkipVerify: true, //nolint:gosec // See VerifyConnection.
		VerifyConnection:   s.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.credentials()
			return certificate, nil
		},
	}
	serve = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: s.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := s.credentials()
			return certificate, nil
		},
	}
	return dial, serve
}

// verify checks that the peer's certificate was issued by the authority.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("the peer presented no certificate")
	}
	_, authority := s.credentials()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
