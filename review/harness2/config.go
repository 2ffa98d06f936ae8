package main

// Paths of the routes.
const (
	pathLookup = "/lookup/1" // Idempotent.
	pathFile   = "/file/1"   // Non-idempotent.
	pathDraft  = "/draft/1"  // A stream whose turns the system keeps.
	pathPlain  = "/plain/1"  // A stream that may be resumed, without kept turns.
)

// Names of the services.
const (
	serviceModel = "model"
	serviceApp   = "app"
)

// retainS is retain_s of the example configuration.
const retainS = 60.0

// putConfig writes a configuration like the example of the installation.
func (b *bench) putConfig(version int, change func(routes []map[string]any)) {
	routes := []map[string]any{
		{"name": "lookup", "prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2, "service": serviceApp, "attempts": 2},
		{"name": "file", "prefix": "/file/", "kind": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 1200, "priority": 2, "service": serviceApp, "attempts": 1},
		{
			"name": "draft", "prefix": "/draft/", "kind": "stream", "timeout_ms": 5000, "target_latency_ms": 250, "priority": 1, "service": serviceModel,
			"attempts": 1, "stateful": true, "retain_s": retainS, "sticky": true, "resumable": false, "gap_target_ms": 250,
		},
		{
			"name": "plain", "prefix": "/plain/", "kind": "stream", "timeout_ms": 5000, "target_latency_ms": 250, "priority": 0, "service": serviceModel,
			"attempts": 1, "stateful": false, "retain_s": retainS, "sticky": true, "resumable": true, "gap_target_ms": 250,
		},
	}
	for _, r := range routes {
		r["host"] = host
	}
	if change != nil {
		change(routes)
	}
	b.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{
				"name": serviceModel, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity": 203661, "kv_bytes": 18432, "link_mbps": 88000.0, "stride": 3, "models": []map[string]any{{"name": "m"}},
				},
			},
			{"name": serviceApp, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startDeployment starts gateways and workers with the usual configuration.
func (b *bench) startDeployment(gateways int, env ...string) error {
	if err := b.addWorkers(serviceModel, true, 3); err != nil {
		return err
	}
	if err := b.addWorkers(serviceApp, false, 3); err != nil {
		return err
	}
	b.putConfig(1, nil)
	for range gateways {
		if _, err := b.addGateway(env...); err != nil {
			return err
		}
	}
	return b.awaitReady()
}
