//! Parts that all stand-ins share: JSON, Base64, HTTP over blocking sockets, and processes. Only the standard library is used.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        if bytes.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        fields.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        let next = *bytes.get(*at + 1)?;
                        *at += 2;
                        match next {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let mut buffer = [0; 4];
                                let letter = char::from_u32(code).unwrap_or('?');
                                text.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                                *at += 4;
                            }
                            other => text.push(other),
                        }
                    }
                    byte => {
                        text.push(*byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            letter if (letter as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A request as a server or client sees it, or a response if `status` is not 0.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub status: u16,
    /// The header fields with their names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived as a whole.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            if let Ok(code) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                decoded.push(code);
                at += 3;
                continue;
            }
        }
        decoded.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with the bytes that have been received and not parsed.
pub struct Connection {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    /// Reads more input. Returns whether any arrived.
    pub fn fill(&mut self) -> std::io::Result<bool> {
        let mut buffer = [0_u8; 16_384];
        let length = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..length]);
        Ok(length > 0)
    }

    fn read_head(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.input, b"\r\n\r\n") {
                let head: Vec<u8> = self.input.drain(..end + 4).collect();
                return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a request or a response. Returns `None` if the connection ends before its head is complete.
    pub fn read(&mut self) -> std::io::Result<Option<Message>> {
        let Some(head) = self.read_head()? else { return Ok(None) };
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let mut words = first.split(' ');
        let (one, two) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let mut message = Message::default();
        match one.starts_with("HTTP/") {
            true => message.status = two.parse().unwrap_or(0),
            false => (message.method, message.target) = (one.into(), two.into()),
        }
        for line in lines.filter(|line| !line.is_empty()) {
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.to_lowercase(), value.trim().to_owned()));
            }
        }
        let is_chunked = message.field("transfer-encoding").is_some();
        let length = message.field("content-length").and_then(|text| text.parse::<usize>().ok());
        message.is_whole = true;
        if is_chunked {
            message.is_whole = self.read_chunks(&mut message.body)?;
        } else if let Some(length) = length {
            while self.input.len() < length {
                if !self.fill().unwrap_or(false) {
                    message.is_whole = false;
                    return Ok(Some(message));
                }
            }
            message.body = self.input.drain(..length).collect();
        }
        Ok(Some(message))
    }

    /// Reads a chunked body, and returns whether its end has arrived.
    fn read_chunks(&mut self, body: &mut Vec<u8>) -> std::io::Result<bool> {
        loop {
            let Some(end) = find(&self.input, b"\r\n") else {
                match self.fill() {
                    Ok(true) => continue,
                    _ => return Ok(false),
                }
            };
            let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(false) };
            while self.input.len() < end + 2 + size + 2 {
                if !self.fill().unwrap_or(false) {
                    return Ok(false);
                }
            }
            body.extend_from_slice(&self.input[end + 2..end + 2 + size]);
            self.input.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(true);
            }
        }
    }

    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Writes a response with a body of a known length.
    pub fn respond(&mut self, status: u16, fields: &str, body: &str) -> std::io::Result<()> {
        let length = body.len();
        self.write(&format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n{body}"))
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Serves every connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = std::thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || handle(Connection::new(stream)));
        }
    });
}

/// Returns a loopback address without a listener. Ports are below the ephemeral range of the system.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(397);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = 12_000 + number % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that this one has started.
pub fn signal(process: u32, number: i32) {
    // SAFETY: `kill` takes plain numbers and has no memory effects in this process.
    unsafe { kill(process as i32, number) };
}

/// A small generator of pseudo-random numbers (xorshift).
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit
    }

    /// Returns a number from 0 to 1.
    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Sleeps until a moment.
pub fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if left > Duration::ZERO {
        std::thread::sleep(left);
    }
}

pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
