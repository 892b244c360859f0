"""The operators' configuration of a small deployment."""

ZONE, REGION = "zone-a", "region-a"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def plain_route(name, prefix, service, kind="idempotent", timeout_ms=4000, attempts=2):
    return {
        "name": name,
        "host": "app.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 500,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
        "sticky": False,
        "resumable": False,
    }


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1"}
