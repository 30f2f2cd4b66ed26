//! HTTP/1.1 messages on blocking sockets, for stand-ins and clients.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// The names, in lower case, and values of the fields.
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }

    /// Returns the path of a request without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.line.split(' ').nth(1)?.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Returns the attempt that a request or response names.
    pub fn attempt(&self) -> &str {
        self.field("orioleroute-attempt-id").unwrap_or_default()
    }
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut output = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                output.push(byte);
                at += 3;
            }
            None => {
                output.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&output).into_owned()
}

/// A connection with a buffer of unparsed input.
pub struct Connection {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    pub fn connect(address: SocketAddr, patience: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more input, and returns whether there was some before the end of the connection.
    pub fn fill(&mut self) -> Result<bool> {
        let mut buffer = [0; 16 << 10];
        let read = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..read]);
        Ok(read > 0)
    }

    fn need(&mut self) -> Result<()> {
        if self.fill()? { Ok(()) } else { Err(Error::from(ErrorKind::UnexpectedEof)) }
    }

    /// Reads a head, or `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = self.input.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { line, fields: fields.collect() }));
            }
            if self.input.is_empty() {
                if !self.fill()? {
                    return Ok(None);
                }
            } else {
                self.need()?;
            }
        }
    }

    /// Reads the body that belongs to a head. Fails if it is cut.
    pub fn body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let end = loop {
                    match self.input.windows(2).position(|window| window == b"\r\n") {
                        Some(end) => break end,
                        None => self.need()?,
                    }
                };
                let size = String::from_utf8_lossy(&self.input[..end]).into_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
                while self.input.len() < end + 2 + size + 2 {
                    self.need()?;
                }
                body.extend_from_slice(&self.input[end + 2..end + 2 + size]);
                self.input.drain(..end + 2 + size + 2);
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = head.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.input.len() < length {
            self.need()?;
        }
        Ok(self.input.drain(..length).collect())
    }
}

/// Serves each connection of a listener on a thread of its own, until `is_over` is set and somebody connects once more.
pub fn serve(listener: TcpListener, is_over: Arc<AtomicBool>, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            let handle = handle.clone();
            std::thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}

/// Writes a response with a length.
pub fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let output = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    let mut output = output.into_bytes();
    output.extend_from_slice(body);
    output
}
