//! Shares what the schedulers know of prompts that end engines, through a row in the store for each zone.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use orioleroute::ingress::attempt::Generation;
use orioleroute::ingress::quarantine::{Change, Quarantine, Report};
use orioleroute::prelude::*;
use orioleroute::scheduler::EngineCheck;
use orioleroute_platform::store::Write;
use orioleroute_wire::http1::socket::Socket;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::leadership;
use super::state::Gateway;
use super::sync::CLUSTER_TABLE;

/// The key prefix of the rows with the reports of the zones' schedulers.
pub const REPORT_PREFIX: &str = "suspects/";

/// The longest wait for a connection to an engine that may be lost: ten round trips between regions. An engine whose
/// process has ended refuses the connection at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The number of connections that have to time out for an engine to count as lost, because single packets are lost too.
const CHECKS: u32 = 2;

/// The delay before a report that could not be written is written again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The verdicts on prompt parts, and what is still to be written.
#[derive(Default)]
pub struct Shared {
    quarantine: RefCell<Quarantine>,
    /// The fencing tokens of the schedulers whose rows were applied last, by zone.
    fencing: RefCell<Map<Arc<str>, u64>>,
    /// The zones whose reports are still to be written.
    unwritten: RefCell<Set<Arc<str>>>,
    is_writing: Cell<bool>,
}

impl Shared {
    /// Returns the part of a prompt for which requests of a service are refused, if there is one.
    pub fn blamed(&self, service: &Arc<str>, generation: &Generation, now: Instant) -> Option<u64> {
        let (_, shared) = generation.parts.split_last()?;
        self.quarantine.borrow().blamed(service, shared.iter().map(|part| part.id), now)
    }

    /// Returns the last report of a zone, for a scheduler that takes it over.
    pub fn report(&self, zone: &str, now: Instant) -> Option<Report> {
        self.quarantine.borrow().report(zone, now)
    }

    /// Returns the verdicts.
    pub fn verdicts(&self) -> Quarantine {
        self.quarantine.borrow().clone()
    }
}

/// The row of a zone.
#[derive(Serialize, Deserialize)]
struct Row {
    /// The fencing token of the scheduler that wrote it.
    fencing: u64,
    /// When it was written, in milliseconds since the Unix epoch by the clock of the instance.
    written_ms: u64,
    report: Report,
}

/// Applies the row of a zone, unless its scheduler runs here or a later one has written before.
pub fn apply_row(gateway: &Rc<Gateway>, zone: &str, value: Option<&str>) {
    let zone: Arc<str> = zone.into();
    let row = match value.map(serde_json::from_str::<Row>).transpose() {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(error) => {
            return warn!(gateway.log, "malformed row"; "row" => format!("{REPORT_PREFIX}{zone}"),
                "error" => error.to_string());
        }
    };
    let own = gateway.leadership.fencing_token(&zone);
    let known = gateway.suspects.fencing.borrow().get(&zone).copied();
    let newest = own.max(known).unwrap_or_default();
    if row.fencing < newest && own == Some(newest) {
        // A former scheduler has overwritten the row.
        publish_again(gateway, &zone);
    }
    if row.fencing < newest || own == Some(row.fencing) {
        return;
    }
    gateway.suspects.fencing.borrow_mut().insert(zone.clone(), row.fencing);
    let mut report = row.report;
    report.add_age(Duration::from_millis(unix_ms().saturating_sub(row.written_ms)));
    apply(gateway, &zone, report);
}

/// Applies the report of a scheduler that runs here, and writes it to the store.
pub fn publish(gateway: &Rc<Gateway>, zone: &Arc<str>, report: Report) {
    gateway.suspects.unwritten.borrow_mut().insert(zone.clone());
    apply(gateway, zone, report);
    if !gateway.suspects.is_writing.replace(true) {
        monoio::spawn(write_reports(gateway.clone()));
    }
}

/// Writes the report of a zone again that is scheduled here, because the store may have lost it.
pub fn publish_again(gateway: &Rc<Gateway>, zone: &Arc<str>) {
    if let Some(report) = gateway.suspects.report(zone, gateway.now()) {
        publish(gateway, zone, report);
    }
}

/// Checks whether an engine on which a run broke off is lost, and passes the result to its scheduler.
pub async fn check_engine(
    gateway: Rc<Gateway>,
    zone: Arc<str>,
    address: SocketAddr,
    check: EngineCheck,
) {
    let mut is_lost = false;
    for _ in 0..CHECKS {
        let connected = Socket::connect(address, CHECK_TIMEOUT).await;
        let error = connected.err().map(|error| error.kind());
        // Any other error is one of this instance.
        is_lost = matches!(error, Some(ErrorKind::ConnectionRefused | ErrorKind::TimedOut));
        if error != Some(ErrorKind::TimedOut) {
            break;
        }
    }
    info!(gateway.log, "engine checked"; "zone" => &*zone, "address" => address.to_string(),
        "is_lost" => is_lost);
    leadership::handle_check(&gateway, &zone, check, is_lost);
}

fn apply(gateway: &Rc<Gateway>, zone: &Arc<str>, report: Report) {
    let changes = {
        let mut quarantine = gateway.suspects.quarantine.borrow_mut();
        let changes = quarantine.update(zone, report, gateway.now());
        metrics::gauge!("orioleroute_blamed_parts").set(quarantine.blamed_parts() as f64);
        changes
    };
    for change in changes {
        match change {
            Change::Blamed(part, verdict) => warn!(gateway.log, "prompt part quarantined";
                "part" => format!("{:x}", part.id), "service" => &*part.service,
                "losses" => verdict.losses, "requests" => verdict.requests,
                "for_s" => verdict.until.since(gateway.now()).as_secs()),
            Change::Released(part) => warn!(gateway.log, "prompt part released";
                "part" => format!("{:x}", part.id), "service" => &*part.service),
        }
    }
    leadership::update_quarantine(gateway);
}

/// Writes reports until all are written. Those of zones that are scheduled elsewhere by now are dropped.
async fn write_reports(gateway: Rc<Gateway>) {
    loop {
        let next = gateway.suspects.unwritten.borrow().iter().next().cloned();
        let Some(zone) = next else { break };
        gateway.suspects.unwritten.borrow_mut().remove(&zone);
        let Some(fencing) = gateway.leadership.fencing_token(&zone) else { continue };
        let Some(report) = gateway.suspects.report(&zone, gateway.now()) else { continue };
        let row = Row { fencing, written_ms: unix_ms(), report };
        let write = Write {
            table: CLUSTER_TABLE,
            key: format!("{REPORT_PREFIX}{zone}"),
            expected_version: None,
            value: serde_json::to_vec(&row).ok(),
        };
        if let Err(error) = gateway.store.commit(&[write]).await {
            warn!(gateway.log, "reporting suspects failed"; "zone" => &*zone,
                "error" => error.to_string());
            gateway.suspects.unwritten.borrow_mut().insert(zone);
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
    gateway.suspects.is_writing.set(false);
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
