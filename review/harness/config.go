package main

import (
	"maps"
	"time"
)

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, timeout time.Duration, more map[string]any) map[string]any {
	found := map[string]any{
		"name": name, "host": host, wire["prefix"]: prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(), wire["objective"]: 300,
		"priority": 2, "service": service, wire["attempts"]: 1, "sticky": false, "resumable": false, wire["homes"]: []string{},
	}
	maps.Copy(found, more)
	return found
}

// service returns a service; engines have a runtime as in the users' example.
func service(name string, connections int, engine bool) map[string]any {
	found := map[string]any{"name": name, "healthCheck": "/health", "maxConnections": connections, "protocol": "h1", "tls": false, "coldStartS": 0, wire["coldRate"]: 0}
	if engine {
		found["runtime"] = map[string]any{
			"slots": 64, "kvTokens": 354561, "kvBytes": 327680, "linkMbps": 260000.0, "migrations": true, "backups": true,
			"stride": 7, "most": 12, "pinTtlMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		}
	}
	return found
}

// config returns the operator's configuration with the users' example of limits.
func config(version int, routes []map[string]any, services ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
