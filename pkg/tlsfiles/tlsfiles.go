// Package tlsfiles builds TLS configurations from certificate files and reloads
// the files when they change, so that a certificate can be renewed without a
// restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Files holds a certificate and, if configured, the certificate authorities used
// to verify the peer. It is safe for concurrent use.
type Files struct {
	certificate, key, authorities string
	now                           func() time.Time
	log                           logrus.FieldLogger

	mu        sync.Mutex
	lastCheck time.Time
	modTime   time.Time
	current   *keyMaterial
	// failure is the reason why the files could not be reloaded; empty if they
	// could.
	failure string
}

// keyMaterial holds the contents of the files as loaded by one read.
type keyMaterial struct {
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// Load reads the files. authorities may be empty. A nil now means time.Now. Later
// changes of the files that can't be loaded are logged.
func Load(certificate, key, authorities string, now func() time.Time, log logrus.FieldLogger) (*Files, error) {
	if now == nil {
		now = time.Now
	}
	f := &Files{certificate: certificate, key: key, authorities: authorities, now: now, log: log}
	modTime, err := f.latestModTime()
	if err != nil {
		return nil, err
	}
	current, err := f.read()
	if err != nil {
		return nil, err
	}
	f.current, f.modTime, f.lastCheck = current, modTime, now()
	return f, nil
}

func (f *Files) read() (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s", f.certificate)
	}
	m := &keyMaterial{certificate: &certificate}
	if f.authorities == "" {
		return m, nil
	}
	data, err := os.ReadFile(f.authorities)
	if err != nil {
		return nil, eris.Wrap(err, "read authorities")
	}
	m.caPool = x509.NewCertPool()
	if !m.caPool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("%s holds no certificate in PEM", f.authorities)
	}
	return m, nil
}

// latestModTime returns the most recent modification time of the files.
func (f *Files) latestModTime() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{f.certificate, f.key, f.authorities} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return newest, eris.Wrap(err, "look at certificate files")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// refresh reloads the files if they have changed and returns the key material in
// use. If the files cannot be read, for example because they are being replaced,
// the previous key material stays in use.
func (f *Files) refresh() *keyMaterial {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.lastCheck) < checkInterval {
		return f.current
	}
	f.lastCheck = now
	f.logReload(f.reload())
	return f.current
}

// reload reads the files if they have changed since they were last read.
func (f *Files) reload() (reloaded bool, err error) {
	modTime, err := f.latestModTime()
	if err != nil || modTime.Equal(f.modTime) {
		return false, err
	}
	next, err := f.read()
	if err != nil {
		return false, err
	}
	f.current, f.modTime = next, modTime
	return true, nil
}

// logReload logs a successful reload, and a failed one if its reason is new.
func (f *Files) logReload(reloaded bool, err error) {
	if err == nil {
		f.failure = ""
		if reloaded {
			f.log.WithField("certificate", f.certificate).Info("certificate files reloaded")
		}
		return
	}
	if err.Error() != f.failure {
		f.failure = err.Error()
		f.log.WithError(err).Error("certificate files can't be reloaded; keeping the previous ones")
	}
}

// Server returns the configuration for a listener. If authorities are configured,
// the client must present a certificate that they issued, directly or through
// intermediates.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := f.refresh()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*m.certificate},
				NextProtos:   []string{"http/1.1"},
			}
			if m.caPool != nil {
				config.ClientCAs = m.caPool
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// Client returns the configuration for connections to other daemons. It keeps the
// authorities that are loaded when Client is called; the certificate is reloaded.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    f.refresh().caPool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.refresh().certificate, nil
		},
	}
}
