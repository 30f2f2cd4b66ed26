//! Configurations like those of the small deployments.

use crate::json::Json;
use crate::object;

pub const HOST: &str = "desk.example";

/// A route of a configuration.
pub fn route(name: &str, kind: &str, service: &str, attempts: u64, timeout_ms: u64) -> Json {
    let is_stream = kind == "stream";
    object! {
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "routeType": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": 800_u64, "priority": 1_u64, "service": service,
        "attempts": attempts, "sticky": is_stream, "resumable": is_stream, "gapTargetMs": 300_u64,
    }
}

/// The plain service of a configuration.
pub fn plain(name: &str) -> Json {
    object! { "name": name, "healthPath": "/health", "maxConns": 100_u64 }
}

/// The service of model runners, with one model.
pub fn models(weights_mb: f64, model_mb: f64, adapter_mb: f64) -> Json {
    let model = object! {
        "name": "m", "weightsMb": model_mb, "loadS": 2.9, "adapters": 3_000_u64, "adapterMb": adapter_mb,
    };
    let engine = object! {
        "slots": 64_u64, "kvCapacity": 149_868_u64, "weightsMb": weights_mb, "adapterSlots": 6_u64,
        "loadsPerS": 5.2, "models": vec![model],
    };
    object! { "name": "models", "healthPath": "/health", "maxConns": 370_u64, "engine": engine }
}

pub fn configuration(version: u64, routes: Vec<Json>, services: Vec<Json>) -> Json {
    let limits = object! {
        "maxHeaderBytes": 16_384_u64, "maxBodyBytes": 4_194_304_u64, "headerTimeoutMs": 3_000_u64,
        "idleTimeoutMs": 15_000_u64,
    };
    object! { "version": version, "routes": routes, "services": services, "limits": limits }
}
