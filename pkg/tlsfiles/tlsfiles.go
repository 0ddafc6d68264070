// Package tlsfiles serves TLS from certificate files that are read again when
// they change, so that a certificate is renewed without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// checkInterval is how often the files are looked at, at most.
const checkInterval = time.Second

// Files holds a certificate and, if named, the authorities of the other side.
// It is safe for concurrent use.
type Files struct {
	certificate, key, authorities string
	now                           func() time.Time

	mu       sync.Mutex
	checked  time.Time
	modified time.Time
	current  *material
}

// material is what one reading of the files gave.
type material struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// Load reads the files. Authorities may be empty. A nil clock means time.Now.
func Load(certificate, key, authorities string, now func() time.Time) (*Files, error) {
	if now == nil {
		now = time.Now
	}
	f := &Files{certificate: certificate, key: key, authorities: authorities, now: now}
	modified, err := f.modifiedAt()
	if err != nil {
		return nil, err
	}
	current, err := f.read()
	if err != nil {
		return nil, err
	}
	f.current, f.modified, f.checked = current, modified, now()
	return f, nil
}

func (f *Files) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s", f.certificate)
	}
	m := &material{certificate: &certificate}
	if f.authorities == "" {
		return m, nil
	}
	data, err := os.ReadFile(f.authorities)
	if err != nil {
		return nil, eris.Wrap(err, "read authorities")
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("%s holds no certificate in PEM", f.authorities)
	}
	return m, nil
}

// modifiedAt returns the newest modification time of the files.
func (f *Files) modifiedAt() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{f.certificate, f.key, f.authorities} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return newest, eris.Wrap(err, "look at certificate files")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// load returns the newest valid material. Files that can't be read, for example
// because they are being replaced, leave the former material in use.
func (f *Files) load() *material {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.checked) < checkInterval {
		return f.current
	}
	f.checked = now
	modified, err := f.modifiedAt()
	if err != nil || modified.Equal(f.modified) {
		return f.current
	}
	if next, err := f.read(); err == nil {
		f.current, f.modified = next, modified
	}
	return f.current
}

// Server returns the configuration of a listener. With authorities, the other
// side must show a certificate that derives from them.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := f.load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*m.certificate},
				NextProtos:   []string{"http/1.1"},
			}
			if m.pool != nil {
				config.ClientCAs = m.pool
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// Client returns the configuration for connections to other daemons. The
// authorities are those of the first reading; the certificate is reloaded.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    f.load().pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.load().certificate, nil
		},
	}
}
