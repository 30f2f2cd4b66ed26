//! Parts that the stand-ins of the review share: a small HTTP/1.1 reader, a JSON reader, the platform's store, and
//! instances that run as separate processes. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A record of what happened, with times since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            text.push_str(&format!("{:9.3} {line}\n", at.as_secs_f64()));
        }
        std::fs::write(path, text).unwrap();
    }
}

/// The head and body of a request or a response.
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut output = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], code.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                output.push(byte);
                at += 3;
            }
            (byte, _) => {
                output.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&output).into_owned()
}

/// A connection with the input that has been read and not used.
pub struct Wire {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut buffer = [0_u8; 16_384];
        let read = self.stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        self.input.extend_from_slice(&buffer[..read]);
        Some(())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.input.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.input.len() < length {
            self.fill()?;
        }
        Some(self.input.drain(..length).collect())
    }

    /// Reads the start line and the header fields.
    pub fn head(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(Message { start, fields, body: Vec::new() });
            }
            let (name, value) = line.split_once(':')?;
            fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a whole message. A body without a length or chunks ends with the connection if `until_close`.
    pub fn message(&mut self, until_close: bool) -> Option<Message> {
        let mut message = self.head()?;
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
                let data = self.take(size)?;
                message.body.extend_from_slice(&data);
                self.line()?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        match message.field("content-length").and_then(|text| text.parse().ok()) {
            Some(length) => message.body = self.take(length)?,
            None if until_close => {
                while self.fill().is_some() {}
                message.body = std::mem::take(&mut self.input);
            }
            None => {}
        }
        Some(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn respond(&mut self, status: u16, fields: &str, body: &str) -> bool {
        let length = body.len();
        let text = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
        self.send(text.as_bytes())
    }
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|char| char.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(chars, at)? else { return None };
                        skip(chars, at);
                        *at += 1;
                        table.insert(key, parse_value(chars, at)?);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(parse_value(chars, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                let char = *chars.get(*at)?;
                *at += 1;
                match char {
                    '"' => return Some(Json::Text(text)),
                    '\\' => {
                        let escape = *chars.get(*at)?;
                        *at += 1;
                        match escape {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'u' => {
                                let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                            }
                            other => text.push(other),
                        }
                    }
                    other => text.push(other),
                }
            }
        }
        _ => {
            let begin = *at;
            while chars.get(*at).is_some_and(|char| !matches!(char, ',' | '}' | ']') && !char.is_whitespace()) {
                *at += 1;
            }
            let word: String = chars[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut output = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().enumerate().fold(0_u32, |word, (at, byte)| word | u32::from(*byte) << (16 - 8 * at));
        for at in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * at) & 63) as usize] as char;
            output.push(if at <= group.len() { digit } else { '=' });
        }
    }
    output
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|digit| *digit == byte).map(|at| at as u32))
        .collect();
    let mut output = Vec::new();
    for group in digits.chunks(4) {
        let word = group.iter().enumerate().fold(0_u32, |word, (at, digit)| word | digit << (18 - 6 * at));
        for at in 0..group.len().saturating_sub(1) {
            output.push((word >> (16 - 8 * at) & 255) as u8);
        }
    }
    output
}

type Key = (String, String);

#[derive(Clone, Default)]
struct Rows {
    version: u64,
    /// Version and Base64 value; a removed row has no value.
    rows: BTreeMap<Key, (u64, Option<String>)>,
}

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serves,
    /// Calls get no answer, and change nothing.
    Silent,
    /// The connections of calls are closed, and nothing is changed.
    Closes,
}

struct Inner {
    rows: Rows,
    era: u64,
    mode: Mode,
}

/// The platform's store: tables with conditional transactions and a feed, and an era that rises when it comes back from
/// a copy.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap();
        let inner = Inner { rows: Rows::default(), era: 1, mode: Mode::Serves };
        let inner = Arc::new((Mutex::new(inner), Condvar::new()));
        let store = Self { address, inner, record: record.clone() };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes or removes a row for the operator or a runner, and returns whether the store took the write.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().unwrap();
        if inner.mode != Mode::Serves {
            return false;
        }
        let rows = &mut inner.rows;
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| base64(value.as_bytes()));
        rows.rows.insert((table.into(), key.into()), (version, value));
        changed.notify_all();
        true
    }

    pub fn get(&self, table: &str, key: &str) -> Option<Json> {
        let inner = self.inner.0.lock().unwrap();
        let (_, value) = inner.rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        Json::parse(&base64_decode(value.as_deref()?))
    }

    pub fn set_mode(&self, mode: Mode) {
        self.inner.0.lock().unwrap().mode = mode;
        self.inner.1.notify_all();
        self.record.add(format!("store: {mode:?}"));
    }

    /// Returns a copy of the store, for [`Store::come_back`].
    pub fn copy(&self) -> Box<dyn Fn(&Store) + Send> {
        let copy = self.inner.0.lock().unwrap().rows.clone();
        self.record.add(format!("store: copied at version {}", copy.version));
        Box::new(move |store| {
            let (inner, changed) = &*store.inner;
            let mut inner = inner.lock().unwrap();
            let before = inner.rows.version;
            inner.rows = copy.clone();
            inner.era += 1;
            inner.mode = Mode::Serves;
            store.record.add(format!(
                "store: back from the copy, version {before} -> {}, Store-Era {}",
                copy.version, inner.era
            ));
            changed.notify_all();
        })
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.message(false) {
            let mode = self.inner.0.lock().unwrap().mode;
            let answered = match mode {
                Mode::Serves => self.answer(&request),
                _ => None,
            };
            let mode = self.inner.0.lock().unwrap().mode;
            match (answered, mode) {
                (Some((status, era, body)), Mode::Serves) => {
                    if !wire.respond(status, &format!("Store-Era: {era}\r\n"), &body) {
                        return;
                    }
                }
                (_, Mode::Closes) => return,
                _ => {
                    // A connection on which a response is lost delivers nothing further.
                    while wire.fill().is_some() {}
                    return;
                }
            }
        }
    }

    /// Performs a call, or returns `None` if the store goes away meanwhile.
    fn answer(&self, request: &Message) -> Option<(u16, u64, String)> {
        let (inner, changed) = &*self.inner;
        match request.path() {
            "/rows-get" => {
                let inner = inner.lock().unwrap();
                let from = request.query("from").unwrap_or_default();
                let body = page(&inner.rows, &request.query("table")?, 0, &from, false);
                Some((200, inner.era, body))
            }
            "/rows-feed" => {
                let table = request.query("table")?;
                let after: u64 = request.query("after")?.parse().ok()?;
                let wait: u64 = request.query("waitMs")?.parse().ok()?;
                let guard = inner.lock().unwrap();
                let era = guard.era;
                let wait = Duration::from_millis(wait.min(30_000));
                let waits = |inner: &mut Inner| {
                    inner.mode == Mode::Serves
                        && inner.era == era
                        && after <= inner.rows.version
                        && !inner.rows.rows.iter().any(|((of, _), (version, _))| *of == table && *version > after)
                };
                let (guard, _) = changed.wait_timeout_while(guard, wait, waits).unwrap();
                if guard.mode != Mode::Serves {
                    return None;
                }
                if after > guard.rows.version {
                    return Some((410, guard.era, "{}".into()));
                }
                Some((200, guard.era, page(&guard.rows, &table, after, "", true)))
            }
            "/rows-tx" => {
                // A transaction takes `txMs`.
                std::thread::sleep(Duration::from_millis(5));
                let call = Json::parse(&request.body)?;
                let mut guard = inner.lock().unwrap();
                if guard.mode != Mode::Serves {
                    return None;
                }
                let era = guard.era;
                let rows = &mut guard.rows;
                let key = |entry: &Json| (entry.get("table").text().to_owned(), entry.get("key").text().to_owned());
                let holds = |entry: &Json| {
                    let current = rows.rows.get(&key(entry)).filter(|(_, value)| value.is_some());
                    Some(current.map_or(0, |(version, _)| *version)) == entry.get("rowVersion").number()
                };
                if !call.get("ifRevision").list().iter().all(holds) {
                    return Some((412, era, "{\"rows\":[]}".into()));
                }
                rows.version += 1;
                let version = rows.version;
                for put in call.get("puts").list() {
                    let value = put.get("value").text().to_owned();
                    let text = String::from_utf8_lossy(&base64_decode(&value)).into_owned();
                    if put.get("key").text().starts_with("scheduler/") {
                        self.record.add(format!("store: {version} {} = {text}", put.get("key").text()));
                    }
                    rows.rows.insert(key(put), (version, Some(value)));
                }
                for removal in call.get("remove").list() {
                    self.record.add(format!("store: {version} {} removed", removal.get("key").text()));
                    rows.rows.insert(key(removal), (version, None));
                }
                changed.notify_all();
                Some((200, era, format!("{{\"rowVersion\":{version},\"nowMs\":0}}")))
            }
            _ => Some((404, inner.lock().unwrap().era, "{}".into())),
        }
    }
}

/// The most rows of one page.
const PAGE_ROWS: usize = 500;

fn page(rows: &Rows, table: &str, after: u64, from: &str, include_removed: bool) -> String {
    let mut listed: Vec<_> = rows
        .rows
        .iter()
        .filter(|((of, key), (version, value))| {
            of == table && *version > after && key.as_str() >= from && (include_removed || value.is_some())
        })
        .collect();
    let more = listed.len() > PAGE_ROWS && !include_removed;
    match include_removed {
        true => listed.sort_by_key(|(_, (version, _))| *version),
        false => listed.truncate(PAGE_ROWS),
    }
    let listed: Vec<String> = listed
        .into_iter()
        .map(|((_, key), (version, value))| match value {
            Some(value) => format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"rowVersion\":{version},\"value\":\"{value}\"}}"),
            None => format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"rowVersion\":{version},\"removed\":true}}"),
        })
        .collect();
    format!("{{\"rows\":[{}],\"rowVersion\":{},\"nowMs\":0,\"morePages\":{more}}}", listed.join(","), rows.version)
}

/// Returns a loopback address without a listener, below the ephemeral ports.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() % 37) as u16 * 300;
    loop {
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// An instance of the deploy file's role, as a separate process.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// What all instances of a case have in common.
pub struct Deployment<'a> {
    /// The root of the repository.
    pub root: &'a Path,
    /// A temporary folder.
    pub folder: &'a Path,
    pub store: SocketAddr,
    /// `ZONE=REGION` of all zones.
    pub zones: &'a [(&'a str, &'a str)],
    pub engines_check_fencing: bool,
    pub retry_allowance: u32,
}

impl Instance {
    /// Writes the settings file as the template `deploy/settings.conf` says, and starts the process.
    pub fn start(deployment: &Deployment<'_>, record: &Record, name: &str, zone: &str) -> Self {
        let [callers, ready, directory, peers, metrics] = [(); 5].map(|()| free_address());
        let region = deployment.zones.iter().find(|(of, _)| *of == zone).unwrap().1;
        let zones: Vec<String> = deployment.zones.iter().map(|(zone, region)| format!("{zone}={region}")).collect();
        let settings = format!(
            "name = {name}\nregion = {region}\nzone = {zone}\nzones = {}\ncaller-address = {callers}\n\
             ready-address = {ready}\ndirectory-address = {directory}\npeer-address = {peers}\n\
             metrics-address = {metrics}\nstore-address = {}\nprocessor-share = 0.25\n\
             engines-check-fencing = {}\nretry-allowance = {}\n",
            zones.join(","),
            deployment.store,
            deployment.engines_check_fencing,
            deployment.retry_allowance,
        );
        std::fs::write(deployment.folder.join(format!("{name}.conf")), settings).unwrap();
        let folder = deployment.folder.to_owned();
        let mut instance =
            Self { name: name.into(), zone: zone.into(), callers, ready, directory, folder, child: None, record: record.clone() };
        instance.launch(deployment.root);
        instance
    }

    /// Starts the process, which is not running.
    pub fn launch(&mut self, root: &Path) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = std::fs::File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(root.join("target/release/orioleroute-node"))
            .args(["--backend", "platform"])
            .current_dir(root)
            .env("ORIOLEROUTE_CONFIG", self.folder.join(format!("{}.conf", self.name)))
            .env("ORIOLEROUTE_LOG_LEVEL", "info")
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the instance should start");
        self.record.add(format!("{}: started, process {}", self.name, child.id()));
        // For the script, which ends what is left of a case that was cut off.
        let pids = std::fs::File::options().create(true).append(true).open(self.folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        self.child = Some(child);
    }

    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        self.record.add(format!("{}: SIG{signal}", self.name));
        let _ = Command::new("kill").args([&format!("-{signal}"), &child.id().to_string()]).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.add(format!("{}: SIGKILL", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(200)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut wire = Wire::new(stream);
        wire.send(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        wire.message(false).is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until the condition holds, and returns whether it did within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}
