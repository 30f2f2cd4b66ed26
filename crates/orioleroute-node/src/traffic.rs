//! Counts what instances send each other, by how far it goes.

use orioleroute::ingress::Reach;

use crate::gateway::Gateway;

/// Returns how far it is to an instance of a zone.
pub fn reach(gateway: &Gateway, zone: &str) -> Reach {
    let settings = gateway.settings();
    let own = (settings.zone.as_str(), settings.region.as_str());
    Reach::between(own, (zone, gateway.region_of(zone).as_deref()))
}

/// Counts the bytes of a message to another instance, without the headers of the transport.
pub fn count_bytes(kind: &'static str, reach: Reach, bytes: usize) {
    metrics::counter!("orioleroute_feed_bytes_total", "kind" => kind, "reach" => <&str>::from(reach))
        .increment(bytes as u64);
}
