// Package settings reads and validates the YAML settings file of a daemon. It
// reports all problems of a file at once, each with its line, its field, the
// value found and the values that the field accepts.
package settings

import "time"

// Settings is the content of a daemon's settings file. The struct tags of a
// field hold its YAML name, its validation rule and, as text for operators, the
// accepted values and the effect.
type Settings struct {
	// Region and DataCentre are the location of this daemon.
	Region     string   `yaml:"region" validate:"required" accepts:"the name of a published region" effect:"the region that the daemon serves first and reports to others"`
	DataCentre string   `yaml:"data_centre" validate:"required" accepts:"the name of a published data centre" effect:"the data centre; daemons of one data centre share the reading of the configuration"`
	Caller     Listener `yaml:"caller"`
	Peer       Peer     `yaml:"peer"`
	Admin      Admin    `yaml:"admin"`
	Platform   Platform `yaml:"platform"`
	Bundle     Bundle   `yaml:"bundle"`
	Static     Static   `yaml:"static"`
	Limits     Limits   `yaml:"limits"`
	Timeouts   Timeouts `yaml:"timeouts"`
	Log        Log      `yaml:"log"`
}

// Listener configures the address and TLS of the listener for callers.
type Listener struct {
	// Address is the listen address, "ip:port".
	Address string `yaml:"address" validate:"required,ip_port" accepts:"an address ip:port" effect:"where callers reach the daemon"`
	// Advertise is the advertised address, "ip:port"; empty means Address.
	Advertise string `yaml:"advertise" validate:"omitempty,ip_port" accepts:"an address ip:port, or nothing to use the address field" effect:"the address that callers and other daemons are told"`
	TLS       TLS    `yaml:"tls"`
}

// TLS holds the paths of a certificate and its key. If both are empty, the
// listener uses plain HTTP. The files are reloaded when they change.
type TLS struct {
	Certificate string `yaml:"certificate" validate:"required_with=Key" accepts:"the path of a PEM file, together with key" effect:"serves TLS with this certificate; the file is read again when it changes"`
	Key         string `yaml:"key" validate:"required_with=Certificate" accepts:"the path of a PEM file, together with certificate" effect:"the key of the certificate"`
	// Authorities is the path of a PEM file with the CA certificates that
	// verify the certificate of the remote side. Empty means that peers do not
	// use TLS and callers need no certificate.
	Authorities string `yaml:"authorities" accepts:"the path of a PEM file" effect:"demands of the other side a certificate derived from one of these"`
}

// Enabled reports whether a certificate is configured.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Peer configures the listener for other daemons and the shared keys.
type Peer struct {
	Address   string `yaml:"address" validate:"required,ip_port" accepts:"an address ip:port" effect:"where other daemons reach the daemon; it is also the identity of the VM"`
	Advertise string `yaml:"advertise" validate:"omitempty,ip_port" accepts:"an address ip:port, or nothing to use the address field" effect:"the address that other daemons are told, when it differs"`
	TLS       TLS    `yaml:"tls"`
	// Seeds are the peer addresses of other daemons, which are queried while
	// the VM list can't be read.
	Seeds []string `yaml:"seeds" validate:"omitempty,max=16,dive,ip_port" accepts:"up to sixteen addresses ip:port" effect:"other daemons to ask for configuration and VM list while the platform can't be read"`
	// Keys authenticate daemons to each other and sign tickets. The first key
	// signs; all keys verify.
	Keys []Key `yaml:"keys" validate:"required,min=1,max=4,dive" accepts:"one to four keys" effect:"the keys that authenticate daemons and tickets: the first one signs, all verify"`
}

// Key is a secret that all daemons of a deployment share.
type Key struct {
	ID string `yaml:"id" validate:"required,alphanum,max=32" accepts:"1 to 32 letters and digits" effect:"names the key in messages and tickets"`
	// File is the path of a file with the base64-encoded secret of at least 32
	// bytes.
	File string `yaml:"file" validate:"required" accepts:"the path of a file with at least 32 bytes in base64" effect:"the secret; every daemon of the deployment has the same"`
}

// Admin configures the listener for metrics, health checks and the
// administration API.
type Admin struct {
	Address string `yaml:"address" validate:"omitempty,ip_port" accepts:"an address ip:port, or nothing for none" effect:"serves metrics, health and the administration API; nothing serves none"`
}

// Platform configures access to the services of the platform.
type Platform struct {
	// URL is the base URL of the configuration service, the VM list, the
	// weight store and the client directory.
	URL string `yaml:"url" validate:"omitempty,http_url" accepts:"an http:// or https:// URL, unless static files are set" effect:"where the configuration service, the VM list, the client directory and the weight store are read"`
}

// Bundle configures how published bundles are authenticated.
type Bundle struct {
	// PublicKeys are the publisher's Ed25519 public keys, base64-encoded.
	PublicKeys []string `yaml:"public_keys" validate:"omitempty,max=4,dive,base64" accepts:"up to four ed25519 public keys in base64" effect:"configurations signed by one of these keys are accepted; list the old and the new one while keys rotate"`
}

// Static holds the paths of files that replace the platform in a trial.
type Static struct {
	Configuration string `yaml:"configuration" validate:"required_with=VMList" accepts:"the path of a JSON file, together with vm_list" effect:"a configuration that never changes, for a trial without a platform"`
	VMList        string `yaml:"vm_list" validate:"required_with=Configuration" accepts:"the path of a JSON file, together with configuration" effect:"a VM list that never changes, for a trial without a platform"`
}

// Enabled reports whether static files are configured.
func (s Static) Enabled() bool {
	return s.Configuration != ""
}

// Limits bounds the load and the memory use of the daemon.
type Limits struct {
	Memory       int64 `yaml:"memory" validate:"omitempty,min=33554432" accepts:"at least 33554432 bytes, or 0 if it is not limited" effect:"the memory that the process may take: near 0.6 of it the garbage collector runs more often"`
	Requests     int64 `yaml:"requests" validate:"min=1,max=1000000" accepts:"1 to 1000000 requests at once" effect:"requests of callers at once; more are refused as not run"`
	Connections  int   `yaml:"connections" validate:"min=1,max=1000000" accepts:"1 to 1000000 connections at once" effect:"connections of callers at once, also bounded by 0.55 of the descriptors; beyond that the longest without a request is closed"`
	HeaderBytes  int   `yaml:"header_bytes" validate:"min=1024,max=1048576" accepts:"1024 to 1048576 bytes" effect:"the size of a request head; larger ones are refused"`
	HeadMemory   int64 `yaml:"head_memory" validate:"min=1048576" accepts:"at least 1048576 bytes" effect:"the memory of all request heads together; beyond that the connection with the largest incomplete one is closed"`
	BodyBytes    int64 `yaml:"body_bytes" validate:"min=1024,max=1073741824" accepts:"1024 to 1073741824 bytes" effect:"the size of a request body; larger ones are refused"`
	BodyMemory   int64 `yaml:"body_memory" validate:"min=1048576" accepts:"at least 1048576 bytes" effect:"the memory of the bodies of all listeners together; beyond it those that have been received for over 250 ms yield, and more are refused as not run; those over 64 KiB take 0.75 of it"`
	AnswerBytes  int64 `yaml:"answer_bytes" validate:"min=1024,max=1073741824" accepts:"1024 to 1073741824 bytes" effect:"the size up to which an answer is held whole before it is passed on"`
	EventBytes   int   `yaml:"event_bytes" validate:"min=1024,max=16777216" accepts:"1024 to 16777216 bytes" effect:"the size of one event of a stream; larger ones break it off"`
	PeerRequests int64 `yaml:"peer_requests" validate:"min=1,max=1000000" accepts:"1 to 1000000 requests at once" effect:"requests forwarded by other daemons at once; more are refused as not run"`
}

// Timeouts holds the timeouts of the daemon.
type Timeouts struct {
	Header  time.Duration `yaml:"header" validate:"min=100ms,max=10m" accepts:"100ms to 10m" effect:"the time to send a request head"`
	Body    time.Duration `yaml:"body" validate:"min=100ms,max=1h" accepts:"100ms to 1h" effect:"the time to send a request body"`
	Idle    time.Duration `yaml:"idle" validate:"min=1s,max=1h" accepts:"1s to 1h" effect:"how long an idle connection is kept"`
	Answer  time.Duration `yaml:"answer" validate:"min=1s,max=1h" accepts:"1s to 1h" effect:"the silence of an endpoint after which an answer counts as broken"`
	Write   time.Duration `yaml:"write" validate:"min=100ms,max=1h" accepts:"100ms to 1h" effect:"the time that a caller may take to read what was written to it"`
	Request time.Duration `yaml:"request" validate:"min=100ms,max=24h" accepts:"100ms to 24h" effect:"the deadline of a request whose service publishes none"`
	// Drain is the maximum duration of a graceful shutdown. A published drain
	// limit overrides it.
	Drain time.Duration `yaml:"drain" validate:"min=1s,max=24h" accepts:"1s to 24h" effect:"bounds a graceful stop when no limit is published"`
	// DrainNotice is how long a daemon in graceful shutdown still accepts new
	// requests, so that callers have time to switch to other entries.
	DrainNotice time.Duration `yaml:"drain_notice" validate:"min=0,max=10m" accepts:"0s to 10m" effect:"how long a stopping daemon still takes requests while callers turn to other entries"`
	// DrainTickets is the minimum time for which a daemon in graceful shutdown
	// still answers queries about tickets that name it, whether they come from
	// callers or through other daemons.
	DrainTickets time.Duration `yaml:"drain_tickets" validate:"min=0,max=10m" accepts:"0s to 10m" effect:"how long a stopping daemon at least answers for the tickets that name it"`
}

// Log configures logging.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error" accepts:"debug, info, warn or error" effect:"the least severe lines that are logged"`
}

// Defaults returns the default settings. Fields that are zero in the result
// have no default.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			Requests:     20_000,
			Connections:  40_000,
			HeaderBytes:  64 << 10,
			HeadMemory:   128 << 20,
			BodyBytes:    4 << 20,
			BodyMemory:   256 << 20,
			AnswerBytes:  1 << 20,
			EventBytes:   1 << 20,
			PeerRequests: 5_000,
		},
		Timeouts: Timeouts{
			Header:      10 * time.Second,
			Body:        30 * time.Second,
			Idle:        90 * time.Second,
			Answer:      60 * time.Second,
			Write:       30 * time.Second,
			Request:     2 * time.Minute,
			Drain:       10 * time.Minute,
			DrainNotice: 5 * time.Second, DrainTickets: 30 * time.Second,
		},
		Log: Log{Level: "info"},
	}
}

// CallerAddress returns the address that the daemon advertises to callers.
func (s *Settings) CallerAddress() string {
	if s.Caller.Advertise != "" {
		return s.Caller.Advertise
	}
	return s.Caller.Address
}

// PeerAddress returns the address that the daemon advertises to other daemons.
func (s *Settings) PeerAddress() string {
	if s.Peer.Advertise != "" {
		return s.Peer.Advertise
	}
	return s.Peer.Address
}
