//! A stand-in of the platform's metadata store: rows with tables, parts and keys, transactions, and the feed of changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, response, serve};
use crate::json::{Json, base64};
use crate::object;

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and Base64 value by table, part and key. A removed row has no value.
    rows: BTreeMap<(String, String, String), (u64, Option<String>)>,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let shared = Arc::new(Shared {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let served = shared.clone();
        serve(listener, Arc::default(), move |mut connection| while answer(&served, &mut connection).is_some() {});
        Self { address, shared }
    }

    /// Writes a row, and returns its version once it is acknowledged.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &Json) -> u64 {
        self.write(table, part, key, Some(base64(value.write().as_bytes())))
    }

    pub fn remove(&self, table: &str, part: &str, key: &str) -> u64 {
        self.write(table, part, key, None)
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) -> u64 {
        let mut rows = self.shared.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), part.into(), key.into()), (version, value));
        self.shared.changed.notify_all();
        version
    }
}

fn answer(shared: &Shared, connection: &mut Connection) -> Option<()> {
    let head = connection.head().ok()??;
    let body = connection.body(&head).ok()?;
    let (status, mut value) = match head.path() {
        "/rows-get" => (200, get(shared, &head)),
        "/rows-feed" => feed(shared, &head),
        "/rows-tx" => transact(shared, &Json::parse(std::str::from_utf8(&body).ok()?)?),
        _ => (404, object! {}),
    };
    value.set("nowMs", shared.started.elapsed().as_millis() as u64);
    let fields = "Content-Type: application/json\r\n";
    connection.send(&response(status, fields, value.write().as_bytes())).ok()
}

fn get(shared: &Shared, head: &Head) -> Json {
    let rows = shared.rows.lock().unwrap();
    let parameter = |name| head.parameter(name).unwrap_or_default();
    let (table, part, from) = (parameter("table"), parameter("part"), parameter("from"));
    let limit = head.parameter("limit").and_then(|limit| limit.parse().ok()).unwrap_or(500);
    let listed = rows.rows.iter().filter(|((row_table, row_part, key), (_, value))| {
        *row_table == table && *row_part == part && *key >= from && value.is_some()
    });
    let listed: Vec<Json> = listed.map(|(key, row)| to_json(key, row)).collect();
    let more = listed.len() > limit;
    let listed: Vec<Json> = listed.into_iter().take(limit).collect();
    object! { "rows": listed, "rowVersion": rows.version, "morePages": more }
}

fn feed(shared: &Shared, head: &Head) -> (u16, Json) {
    let number = |name| head.parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let table = head.parameter("table").unwrap_or_default();
    let after: u64 = number("after");
    let rows = shared.rows.lock().unwrap();
    if after > rows.version {
        return (410, object! {});
    }
    let is_new = |key: &(String, String, String), version: u64| key.0 == table && version > after;
    let wait = Duration::from_millis(number("waitMs"));
    let (rows, _) = shared
        .changed
        .wait_timeout_while(rows, wait, |rows| {
            !rows.rows.iter().any(|(key, (version, _))| is_new(key, *version))
        })
        .unwrap();
    let changed = rows.rows.iter().filter(|(key, (version, _))| is_new(key, *version));
    let mut changed: Vec<_> = changed.collect();
    changed.sort_by_key(|(_, (version, _))| *version);
    let changed: Vec<Json> = changed.into_iter().map(|(key, row)| to_json(key, row)).collect();
    (200, object! { "rows": changed, "rowVersion": rows.version })
}

fn to_json(key: &(String, String, String), row: &(u64, Option<String>)) -> Json {
    let mut json = object! { "table": &*key.0, "part": &*key.1, "key": &*key.2, "rowVersion": row.0 };
    match &row.1 {
        Some(value) => json.set("value", &**value),
        None => json.set("removed", true),
    }
    json
}

fn transact(shared: &Shared, call: &Json) -> (u16, Json) {
    let mut rows = shared.rows.lock().unwrap();
    let key = |entry: &Json| {
        let text = |name| entry.text(name).unwrap_or_default().to_owned();
        (text("table"), text("part"), text("key"))
    };
    let holds = |entry: &Json| {
        let row = rows.rows.get(&key(entry)).filter(|(_, value)| value.is_some());
        row.map_or(0, |(version, _)| *version) == entry.number("rowVersion").unwrap_or_default()
    };
    if !call.list("ifRevision").iter().all(holds) {
        return (412, object! { "rows": Vec::new(), "rowVersion": rows.version });
    }
    rows.version += 1;
    let version = rows.version;
    for put in call.list("puts") {
        let value = put.text("value").unwrap_or_default().to_owned();
        rows.rows.insert(key(put), (version, Some(value)));
    }
    for removal in call.list("remove") {
        rows.rows.insert(key(removal), (version, None));
    }
    shared.changed.notify_all();
    (200, object! { "rowVersion": version })
}
