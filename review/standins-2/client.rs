//! Stand-ins of clients: each keeps a connection to an instance and sends one request after the other.

use std::net::SocketAddr;
use std::time::Duration;

use crate::base::{Connection, Message};
use crate::deployment::HOST;

/// What a client got for a request.
#[derive(Clone, Debug)]
pub enum Got {
    Answer(Message),
    /// The connection ended without a whole answer, or nothing came in time.
    Nothing,
    /// The instance could not be reached.
    Unreachable,
}

impl Got {
    pub fn status(&self) -> u16 {
        match self {
            Got::Answer(answer) if answer.is_whole => answer.status,
            _ => 0,
        }
    }
}

/// A client with a kept connection to one instance.
pub struct Client {
    pub address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Sends a request and waits for its answer, at most for `limit`.
    pub fn call(&mut self, method: &str, path: &str, attempt: &str, fields: &str, body: &str, limit: Duration) -> Got {
        if self.connection.is_none() {
            self.connection = Connection::open(self.address, Duration::from_secs(1)).ok();
        }
        let Some(connection) = &mut self.connection else { return Got::Unreachable };
        let length = match method {
            "GET" if body.is_empty() => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let deadline = limit.as_millis();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nOrioleroute-Attempt-Id: {attempt}\r\n\
             Orioleroute-Deadline-Ms: {deadline}\r\n{fields}{length}\r\n{body}"
        );
        let _ = connection.stream.set_read_timeout(Some(limit + Duration::from_millis(500)));
        let got = match connection.write(&text) {
            Ok(()) => connection.read().ok().flatten(),
            Err(_) => None,
        };
        let closes = match &got {
            Some(answer) => !answer.is_whole || answer.field("connection").is_some_and(|value| value == "close"),
            None => true,
        };
        if closes {
            self.connection = None;
        }
        got.map_or(Got::Nothing, Got::Answer)
    }
}

/// Returns the header fields of a generation by an adapter.
pub fn generation(adapter: u64, part: u64) -> String {
    format!(
        "Orioleroute-Model: m0/a{adapter}\r\nOrioleroute-Token-Count: 600,24\r\n\
         Orioleroute-Prompt-Prefix: 5c1e07a2:341,{:x}:259\r\n",
        0x1000_0000 + part
    )
}
