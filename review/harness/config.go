package main

// route returns a route of the operator's configuration, with the time limits of the installations.
func route(name, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "ficu95.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 5000,
		"target_latency_ms": 250, "priority": 0, "service": service, "attempts": attempts,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// putConfig writes a configuration with the routes. Its limits are those of the installations.
func (s *scene) putConfig(version int, routes ...any) {
	s.store.put("op/config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{
				"name": "llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 24, "kv_capacity": 200000, "kv_bytes": 35136, "link_mbps": 370000.0, "stride": 5},
			},
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "app2", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// maxBodyBytes is max_body_bytes of the configuration.
const maxBodyBytes = 4 << 20
