package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/settings"
)

// CertificateName is the DNS name in the certificate of every entry instance. The addresses
// of instances change, so certificates are issued to the role and not to a host.
const CertificateName = "entry.jacinthrack"

// Certificates holds the instance's certificate and the trusted certificate authorities, and
// reloads them when their files change.
type Certificates struct {
	files settings.TLS

	mu            sync.Mutex
	loadedModTime time.Time
	cert          *tls.Certificate
	roots         *x509.CertPool
}

// CertificateError reports a certificate, key or CA file that cannot be read or used.
type CertificateError struct {
	File string
	Err  error
}

func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate file %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Err }

// NoCertificateError reports a CA file or a peer without any certificate.
type NoCertificateError struct{}

func (e *NoCertificateError) Error() string { return "no PEM certificate found" }

// LoadCertificates reads the files. Its error is a *CertificateError.
func LoadCertificates(files settings.TLS) (*Certificates, error) {
	c := &Certificates{files: files}
	if _, _, err := c.current(); err != nil {
		return nil, err
	}
	return c, nil
}

// current returns the certificate and authorities, after reloading them if a file has
// changed. If the new files are unusable, it returns the previous certificate and
// authorities.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	modified := c.newestModTime()
	if c.cert != nil && !modified.After(c.loadedModTime) {
		return c.cert, c.roots, nil
	}
	err := c.load()
	if err != nil && c.cert == nil {
		return nil, nil, err
	}
	if err == nil {
		c.loadedModTime = modified
	}
	return c.cert, c.roots, nil
}

func (c *Certificates) newestModTime() time.Time {
	var newest time.Time
	for _, file := range []string{c.files.CertFile, c.files.KeyFile, c.files.CAFile} {
		info, err := os.Stat(file)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (c *Certificates) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return &CertificateError{File: c.files.CertFile, Err: err}
	}
	pem, err := os.ReadFile(c.files.CAFile)
	if err != nil {
		return &CertificateError{File: c.files.CAFile, Err: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return &CertificateError{File: c.files.CAFile, Err: &NoCertificateError{}}
	}
	c.cert, c.roots = &cert, roots
	return nil
}

// ServerConfig returns the TLS settings for incoming connections.
func (c *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     minTLSVersion,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate() },
		ClientAuth:     tls.RequireAnyClientCert,
		// The authorities can change while the process runs, so VerifyConnection verifies
		// the chain against the current ones; ClientCAs would be fixed.
		VerifyConnection: c.verifier(x509.ExtKeyUsageClientAuth),
	}
}

// ClientConfig returns the TLS settings for outgoing connections.
func (c *Certificates) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           minTLSVersion,
		ServerName:           CertificateName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.certificate() },
		// VerifyConnection replaces the built-in verification, which would use a fixed pool
		// of authorities.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifier(x509.ExtKeyUsageServerAuth),
	}
}

func (c *Certificates) certificate() (*tls.Certificate, error) {
	cert, _, err := c.current()
	return cert, err
}

// verifier returns a function that verifies that the other side of a connection has a
// certificate of an entry instance of this deployment for the given usage.
func (c *Certificates) verifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		_, roots, err := c.current()
		if err != nil {
			return err
		}
		if len(state.PeerCertificates) == 0 {
			return &UntrustedPeerError{Err: &NoCertificateError{}}
		}
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
			DNSName:       CertificateName,
			Roots:         roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return &UntrustedPeerError{Err: err}
		}
		return nil
	}
}

// UntrustedPeerError reports a peer whose certificate is missing or not trusted.
type UntrustedPeerError struct{ Err error }

func (e *UntrustedPeerError) Error() string { return fmt.Sprintf("verify peer certificate: %v", e.Err) }

// Unwrap returns the cause.
func (e *UntrustedPeerError) Unwrap() error { return e.Err }
