//! A streamed request that measures the arrival of its tokens.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Method, StatusCode};
use orioleroute_wire::client::{Call, Pool};
use serde_json::json;

/// The result of a request.
pub struct Outcome {
    /// The time to the first token, or `None` if there was none.
    pub time_to_first_token: Option<Duration>,
    /// The time to the end of the response.
    pub total: Duration,
    /// The number of tokens received.
    pub tokens: u64,
    /// The delay of each token from the engine's send to its arrival, in microseconds.
    pub delays_us: Vec<u64>,
    /// The reason of a failure, if the request failed.
    pub error: Option<String>,
}

impl Outcome {
    fn failed(start: Instant, error: impl Into<String>) -> Self {
        Self {
            time_to_first_token: None,
            total: start.elapsed(),
            tokens: 0,
            delays_us: Vec::new(),
            error: Some(error.into()),
        }
    }
}

/// Requests `tokens` tokens of `model` and reads them as they arrive.
pub async fn run(pool: &Pool, address: SocketAddr, model: &str, tokens: u32) -> Outcome {
    let start = Instant::now();
    let body = json!({ "model": model, "prompt": "p", "max_tokens": tokens, "stream": true });
    let call = Call::new(Method::POST, "/v1/completions").json(&body);
    let mut answer = match pool.open(address, call).await {
        Ok(answer) => answer,
        Err(error) => return Outcome::failed(start, format!("{:?}", error.step)),
    };
    if answer.status != StatusCode::OK {
        return Outcome::failed(start, answer.status.as_str());
    }
    let mut outcome = Outcome::failed(start, "ended early");
    let mut last = Vec::new();
    while let Some(part) = answer.next().await {
        let part = match part {
            Ok(part) => part,
            Err(_) => break,
        };
        outcome.time_to_first_token.get_or_insert_with(|| start.elapsed());
        let text = String::from_utf8_lossy(&part);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        for sent in sent_us(&text) {
            outcome.tokens += 1;
            outcome.delays_us.push((now.as_micros() as u64).saturating_sub(sent));
        }
        last = part.to_vec();
    }
    outcome.total = start.elapsed();
    if last.ends_with(b"[DONE]\n\n") {
        outcome.error = None;
    }
    outcome
}

/// Returns the send times of the tokens in a part of the response, in microseconds since the Unix epoch.
fn sent_us(text: &str) -> impl Iterator<Item = u64> {
    text.split("\"sent_us\":").skip(1).filter_map(|rest| {
        let end = rest.find(|character: char| !character.is_ascii_digit())?;
        rest[..end].parse().ok()
    })
}
