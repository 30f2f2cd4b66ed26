//! The system under test: one node, its platform and two engines.

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

use orioleroute::operator::{Answer, Command};
use serde_json::json;
use standins::engine::Settings;
use standins::process::{Process, binary_path};
use standins::system::{self, listing, publish_listings, start_node, status, wait_until};

const REGION: &str = "zurich";

/// The interval between tokens of the paced engine.
const PACED_TOKEN_INTERVAL: Duration = Duration::from_millis(10);

/// The served name of the adapter on the paced engine.
pub const PACED: &str = "paced@v1";

/// The served name of the adapter on the engine that sends tokens as fast as the connection accepts
/// them.
pub const UNPACED: &str = "unpaced@v1";

/// A system to benchmark.
pub struct System {
    /// The node.
    pub node: Process,
    /// The node's address for callers.
    pub callers: SocketAddr,
    /// The address of the engine that sends its tokens at a fixed interval.
    pub paced: SocketAddr,
    /// The address of the engine that sends its tokens without a pause.
    pub unpaced: SocketAddr,
}

impl System {
    /// Starts a system and waits until its document is active.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot be started or rejects the document.
    pub fn start() -> Result<Self> {
        let platform = system::start_platform();
        let paced = system::start_engine(Settings {
            token_interval: PACED_TOKEN_INTERVAL,
            ..Settings::default()
        });
        let unpaced = system::start_engine(Settings {
            token_interval: Duration::ZERO,
            ..Settings::default()
        });
        publish_listings(
            platform,
            &[
                listing("engine-1", "paced", REGION, paced),
                listing("engine-2", "unpaced", REGION, unpaced),
            ],
        );
        let node = start_node(&binary_path("orioleroute-node")?, "a", REGION, platform, &[])?;
        let callers = node
            .address("callers")
            .ok_or_else(|| Error::other("the node printed no address for callers"))?;
        wait_until("the node to join", || {
            status(&node).is_some_and(|status| status.instances.len() == 1)
        });
        let submit = Command::Submit { base: 0, document: document().to_string().into() };
        match system::send_command(&node, &submit) {
            Some(Answer::Accepted { .. }) => {}
            other => return Err(Error::other(format!("the document was not accepted: {other:?}"))),
        }
        wait_until("the document to be active", || {
            status(&node).is_some_and(|status| status.version == 1)
        });
        Ok(Self { node, callers, paced, unpaced })
    }
}

fn document() -> serde_json::Value {
    let pool = |name: &str, model: &str| json!({ "name": name, "model": model, "slots": 4, "concurrency": 4096, "fencing": "checked" });
    let adapter = |name: &str, model: &str| json!({ "name": name, "model": model, "versions": ["v1"], "default": "v1", "queue": 4096 });
    json!({
        "format": 1,
        "models": [{ "name": "one" }, { "name": "two" }],
        "pools": [pool("paced", "one"), pool("unpaced", "two")],
        "adapters": [adapter("paced", "one"), adapter("unpaced", "two")],
        "policy": { "deadline_ms": 120_000 },
    })
}
