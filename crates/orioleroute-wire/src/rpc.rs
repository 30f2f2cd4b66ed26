//! Typed peer messages as JSON-RPC 2.0 notifications.
//!
//! The JSON-RPC types come from `jsonrpsee-types`. A message type is an enum that serde tags with
//! `method` and `params`, so that a `match` dispatches it; `docs/DESIGN.md` explains why the servers of
//! `jsonrpsee` are not used.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use jsonrpsee_types::Notification;
use serde::{Deserialize, Serialize};

use crate::client::{Call, Pool};
use crate::{Error, Step};

/// The path on which peers receive messages.
pub const PATH: &str = "/rpc";

/// The header field with the name of the sending instance.
pub const SENDER_HEADER: &str = "x-orioleroute-sender";

/// A message as `{"method": ..., "params": ...}`, the serialized form of an adjacently tagged enum.
#[derive(Serialize, Deserialize)]
struct Tagged {
    method: String,
    #[serde(default)]
    params: serde_json::Value,
}

/// Encodes `message` as a JSON-RPC notification.
///
/// # Errors
///
/// Fails if the message is not an enum tagged with `method` and `params`.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
    let tagged: Tagged = serde_json::from_value(serde_json::to_value(message)?)?;
    let notification = Notification::new(tagged.method.into(), tagged.params);
    serde_json::to_vec(&notification)
}

/// Decodes a message from a JSON-RPC notification.
///
/// # Errors
///
/// Fails if the bytes are not a notification, or if its method or parameters do not match `M`.
pub fn decode<M: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<M, serde_json::Error> {
    let notification: Notification<'_, serde_json::Value> = serde_json::from_slice(bytes)?;
    let tagged = Tagged { method: notification.method.into_owned(), params: notification.params };
    serde_json::from_value(serde_json::to_value(tagged)?)
}

/// Sends `message` to `peer` and waits up to `limit` for the peer to accept it.
///
/// # Errors
///
/// Fails with the step at which the exchange failed, or at [`Step::Decode`] if the message cannot be
/// encoded or the peer rejects it.
pub async fn notify(
    pool: &Pool,
    peer: SocketAddr,
    token: &str,
    sender: &str,
    message: &impl Serialize,
    limit: Duration,
) -> Result<(), Error> {
    let body = encode(message).map_err(|error| Error::new(Step::Decode, peer, error))?;
    let call = Call::new(Method::POST, PATH)
        .header("authorization", format!("Bearer {token}"))
        .header(SENDER_HEADER, sender)
        .body("application/json", body);
    let response = pool.call_within(peer, call, limit).await?;
    if response.status.is_success() {
        return Ok(());
    }
    Err(Error::new(Step::Decode, peer, response.status))
}
