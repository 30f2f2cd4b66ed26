//! Clients that send one request after the other on a kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Connection;
use crate::settings::HOST;

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<Duration>,
}

/// Returns a request.
pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nOrioleroute-Attempt-Id: {attempt}\r\n\
         Orioleroute-Deadline-Ms: {deadline_ms}\r\n{fields}"
    );
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A client with a connection that it keeps.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Sends a request and returns the answer, or why there is none.
    pub fn call(&mut self, request: &[u8], deadline: Duration) -> Result<Answer, String> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::connect(self.address, deadline).map_err(|error| error.to_string())?,
        };
        let exchange = |connection: &mut Connection| -> std::io::Result<Option<Answer>> {
            connection.send(request)?;
            let Some(head) = connection.head()? else { return Ok(None) };
            let body = connection.body(&head)?;
            let seconds = head.field("retry-after").and_then(|seconds| seconds.parse().ok());
            let retry_after = seconds.map(Duration::from_secs_f64);
            Ok(Some(Answer { status: head.status(), body, retry_after }))
        };
        match exchange(&mut connection) {
            Ok(Some(answer)) => {
                self.connection = Some(connection);
                Ok(answer)
            }
            Ok(None) => Err("closed without an answer".into()),
            Err(error) => Err(error.to_string()),
        }
    }
}
