//! A stand-in of a runner of a plain service.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Head, response, serve};
use crate::json::Json;
use crate::object;
use crate::record::Record;
use crate::store::Store;

/// The time between two writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a runner has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
    /// Whether its answer was written.
    pub is_answered: bool,
}

struct Shared {
    id: String,
    address: SocketAddr,
    service: &'static str,
    started_ms: u64,
    /// How long it works on a request.
    work: Duration,
    /// The length of the answers to requests below `/order/big`, in bytes; others are 800 bytes long.
    big: usize,
    /// The number of writes of the entry.
    entry: Mutex<u64>,
    runs: Mutex<Vec<Run>>,
    store: Store,
    record: Arc<Record>,
}

#[derive(Clone)]
pub struct Runner {
    shared: Arc<Shared>,
}

impl Runner {
    /// Starts a runner, which registers in the store and writes its entry again at each heartbeat.
    pub fn start(
        id: &str,
        service: &'static str,
        work: Duration,
        big: usize,
        store: &Store,
        record: &Arc<Record>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            service,
            started_ms,
            work,
            big,
            entry: Mutex::default(),
            runs: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
        });
        shared.write_entry();
        let served = shared.clone();
        serve(listener, Arc::default(), move |connection| served.serve(connection));
        let beating = shared.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.write_entry();
            }
        });
        Self { shared }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }
}

impl Shared {
    fn description(&self) -> Json {
        object! {
            "service": self.service,
            "address": self.address.to_string(),
            "zone": "a",
            "version": "v1",
            "slots": 6_u64,
            "state": "ready",
            "coldLeftMs": 0_u64,
            "seq": 0_u64,
            "born": self.started_ms,
        }
    }

    fn write_entry(&self) {
        let mut writes = self.entry.lock().unwrap();
        *writes += 1;
        let mut description = self.description();
        description.set("seq", *writes);
        self.store.put("servers", "", &self.id, &description);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let Ok(_) = connection.body(&head) else { return };
            let answered = self.answer(&mut connection, &head);
            if answered.is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        if head.path() == "/health" {
            let fields = format!("Orioleroute-Instance-Id: {}\r\n", self.id);
            return connection.send(&response(200, &fields, b""));
        }
        let echo = format!("Orioleroute-Attempt-Id: {}\r\n", head.attempt());
        if head.field("orioleroute-expect-instance").is_some_and(|id| id != self.id) {
            let fields = format!("{echo}Orioleroute-Not-Executed: 1\r\n");
            return connection.send(&response(421, &fields, b""));
        }
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { attempt: head.attempt().into(), at: Instant::now(), is_answered: false });
            runs.len() - 1
        };
        self.record.add(format!("{} ({}) runs {}", self.id, self.service, head.attempt()));
        std::thread::sleep(self.work);
        let length = if head.path().starts_with("/order/big") { self.big } else { 800 };
        let fields = format!("{echo}Orioleroute-Response-Seal: seal.{}\r\n", self.id);
        connection.send(&response(200, &fields, &vec![b'x'; length]))?;
        self.runs.lock().unwrap()[number].is_answered = true;
        Ok(())
    }
}
