// Package settings reads the YAML settings of a daemon. It reports every
// problem of a file at once, each with its line, its field, what it got and
// what the field accepts.
package settings

import "time"

// Settings is everything a daemon is told at its start. The tags give the YAML
// name, the check and, in words, what the field accepts.
type Settings struct {
	// Region and DataCentre are the daemon's own place.
	Region     string   `yaml:"region" validate:"required" accepts:"the name of a published region"`
	DataCentre string   `yaml:"data_centre" validate:"required" accepts:"the name of a published data centre"`
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

// Listener is an address for callers.
type Listener struct {
	// Address is where the daemon listens, "ip:port".
	Address string `yaml:"address" validate:"required,ip_port" accepts:"an address ip:port"`
	// Advertise is the address that others are told, "ip:port"; empty means
	// Address.
	Advertise string `yaml:"advertise" validate:"omitempty,ip_port" accepts:"an address ip:port, or nothing to use the address field"`
	TLS       TLS    `yaml:"tls"`
}

// TLS names the files of a certificate and its key. Both empty means plain
// HTTP. The files are read again when they change.
type TLS struct {
	Certificate string `yaml:"certificate" validate:"required_with=Key" accepts:"the path of a PEM file, together with key"`
	Key         string `yaml:"key" validate:"required_with=Certificate" accepts:"the path of a PEM file, together with certificate"`
	// Authorities is the path of a PEM file with the certificates that the
	// other side's certificate must derive from; empty means that peers do
	// not use TLS and callers need no certificate.
	Authorities string `yaml:"authorities" accepts:"the path of a PEM file"`
}

// Enabled reports whether a certificate is set.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Peer is the daemon's address for other daemons and the keys they share.
type Peer struct {
	Address   string `yaml:"address" validate:"required,ip_port" accepts:"an address ip:port"`
	Advertise string `yaml:"advertise" validate:"omitempty,ip_port" accepts:"an address ip:port, or nothing to use the address field"`
	TLS       TLS    `yaml:"tls"`
	// Keys authenticate daemons to each other and sign tickets: the first one
	// signs, all verify.
	Keys []Key `yaml:"keys" validate:"required,min=1,max=4,dive" accepts:"one to four keys"`
}

// Key is a secret that all daemons of a deployment share.
type Key struct {
	ID string `yaml:"id" validate:"required,alphanum,max=32" accepts:"1 to 32 letters and digits"`
	// File is the path of a file with the secret in base64, at least 32 bytes.
	File string `yaml:"file" validate:"required" accepts:"the path of a file with at least 32 bytes in base64"`
}

// Admin is the address of metrics, health and the administration API.
type Admin struct {
	Address string `yaml:"address" validate:"omitempty,ip_port" accepts:"an address ip:port, or nothing for none"`
}

// Platform names the platform's services.
type Platform struct {
	// URL is the base of the configuration service, the VM list, the weight
	// store and the client directory.
	URL string `yaml:"url" validate:"omitempty,http_url" accepts:"an http:// or https:// URL, unless static files are set"`
}

// Bundle says how published bundles are recognised.
type Bundle struct {
	// PublicKeys are the publisher's ed25519 keys in base64.
	PublicKeys []string `yaml:"public_keys" validate:"omitempty,max=4,dive,base64" accepts:"up to four ed25519 public keys in base64"`
}

// Static names files that take the platform's place in a trial.
type Static struct {
	Configuration string `yaml:"configuration" validate:"required_with=VMList" accepts:"the path of a JSON file, together with vm_list"`
	VMList        string `yaml:"vm_list" validate:"required_with=Configuration" accepts:"the path of a JSON file, together with configuration"`
}

// Enabled reports whether the files are set.
func (s Static) Enabled() bool {
	return s.Configuration != ""
}

// Limits bounds what the daemon takes on.
type Limits struct {
	Requests     int64 `yaml:"requests" validate:"min=1,max=1000000" accepts:"1 to 1000000 requests at once"`
	Connections  int   `yaml:"connections" validate:"min=1,max=1000000" accepts:"1 to 1000000 connections at once"`
	HeaderBytes  int   `yaml:"header_bytes" validate:"min=1024,max=1048576" accepts:"1024 to 1048576 bytes"`
	BodyBytes    int64 `yaml:"body_bytes" validate:"min=1024,max=1073741824" accepts:"1024 to 1073741824 bytes"`
	BodyMemory   int64 `yaml:"body_memory" validate:"min=1048576" accepts:"at least 1048576 bytes"`
	AnswerBytes  int64 `yaml:"answer_bytes" validate:"min=1024,max=1073741824" accepts:"1024 to 1073741824 bytes"`
	EventBytes   int   `yaml:"event_bytes" validate:"min=1024,max=16777216" accepts:"1024 to 16777216 bytes"`
	PeerRequests int64 `yaml:"peer_requests" validate:"min=1,max=1000000" accepts:"1 to 1000000 requests at once"`
}

// Timeouts bounds how long the daemon waits.
type Timeouts struct {
	Header  time.Duration `yaml:"header" validate:"min=100ms,max=10m" accepts:"100ms to 10m"`
	Body    time.Duration `yaml:"body" validate:"min=100ms,max=1h" accepts:"100ms to 1h"`
	Idle    time.Duration `yaml:"idle" validate:"min=1s,max=1h" accepts:"1s to 1h"`
	Answer  time.Duration `yaml:"answer" validate:"min=1s,max=1h" accepts:"1s to 1h"`
	Write   time.Duration `yaml:"write" validate:"min=100ms,max=1h" accepts:"100ms to 1h"`
	Request time.Duration `yaml:"request" validate:"min=100ms,max=24h" accepts:"100ms to 24h"`
	// Drain bounds a graceful stop; a published drain limit replaces it.
	Drain time.Duration `yaml:"drain" validate:"min=1s,max=24h" accepts:"1s to 24h"`
	// DrainNotice is how long a stopping daemon still takes new requests,
	// while callers learn to use other entries.
	DrainNotice time.Duration `yaml:"drain_notice" validate:"min=0,max=10m" accepts:"0s to 10m"`
	// DrainTickets is how long a stopping daemon at least answers for the
	// tickets that name it, to callers or through other daemons.
	DrainTickets time.Duration `yaml:"drain_tickets" validate:"min=0,max=10m" accepts:"0s to 10m"`
}

// Log sets what is logged.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error" accepts:"debug, info, warn or error"`
}

// Defaults returns the settings before a file is read. Fields that are zero
// here have no default.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			Requests:     20_000,
			Connections:  40_000,
			HeaderBytes:  64 << 10,
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

// CallerAddress returns the address that callers are told.
func (s *Settings) CallerAddress() string {
	if s.Caller.Advertise != "" {
		return s.Caller.Advertise
	}
	return s.Caller.Address
}

// PeerAddress returns the address that other daemons are told.
func (s *Settings) PeerAddress() string {
	if s.Peer.Advertise != "" {
		return s.Peer.Advertise
	}
	return s.Peer.Address
}
