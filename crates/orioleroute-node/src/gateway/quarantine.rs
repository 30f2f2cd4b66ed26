//! Shares what the schedulers know of prompts that end engines, through a row in the store for each zone.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use orioleroute::ingress::attempt::Generation;
use orioleroute::ingress::quarantine::{Change, Quarantine, Report};
use orioleroute::prelude::*;
use orioleroute::scheduler::EngineCheck;
use orioleroute_platform::store::Write;
use orioleroute_wire::http1::socket::Socket;
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

/// The verdicts on prompt parts, and the reports that are still to be written.
#[derive(Default)]
pub struct Shared {
    quarantine: RefCell<Quarantine>,
    unwritten: RefCell<Map<Arc<str>, Report>>,
    is_writing: Cell<bool>,
}

impl Shared {
    /// Returns the part of a prompt for which requests of a service are refused, if there is one.
    pub fn blamed(&self, service: &Arc<str>, generation: &Generation, now: Instant) -> Option<u64> {
        let (_, shared) = generation.parts.split_last()?;
        self.quarantine.borrow().blamed(service, shared.iter().map(|part| part.id), now)
    }

    /// Returns the last report of a zone, for a scheduler that takes it over.
    pub fn report(&self, zone: &str) -> Option<Report> {
        self.quarantine.borrow().report(zone).cloned()
    }

    /// Returns the verdicts.
    pub fn verdicts(&self) -> Quarantine {
        self.quarantine.borrow().clone()
    }
}

/// Applies the row of a zone that another instance schedules.
pub fn apply_row(gateway: &Rc<Gateway>, zone: &str, value: Option<&str>) {
    // The scheduler itself knows better what it has written.
    if gateway.leadership.fencing_token(zone).is_some() {
        return;
    }
    match value.map(serde_json::from_str::<Report>).transpose() {
        Ok(report) => apply(gateway, &zone.into(), report.unwrap_or_default()),
        Err(error) => {
            warn!(gateway.log, "malformed row"; "row" => format!("{REPORT_PREFIX}{zone}"),
                "error" => error.to_string());
        }
    }
}

/// Applies the report of a scheduler that runs here, and writes it to the store.
pub fn publish(gateway: &Rc<Gateway>, zone: &Arc<str>, report: Report) {
    gateway.suspects.unwritten.borrow_mut().insert(zone.clone(), report.clone());
    apply(gateway, zone, report);
    if !gateway.suspects.is_writing.replace(true) {
        monoio::spawn(write_reports(gateway.clone()));
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
        match Socket::connect(address, CHECK_TIMEOUT).await {
            Ok(_) => {
                is_lost = false;
                break;
            }
            Err(error) => {
                is_lost = true;
                if error.kind() != std::io::ErrorKind::TimedOut {
                    break;
                }
            }
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

/// Writes reports until all are written. A report of a zone that is scheduled elsewhere by now is dropped.
async fn write_reports(gateway: Rc<Gateway>) {
    loop {
        let next = gateway.suspects.unwritten.borrow().keys().next().cloned();
        let Some(zone) = next else { break };
        let report = gateway.suspects.unwritten.borrow_mut().remove(&zone).unwrap_or_default();
        if gateway.leadership.fencing_token(&zone).is_none() {
            continue;
        }
        let write = Write {
            table: CLUSTER_TABLE,
            key: format!("{REPORT_PREFIX}{zone}"),
            expected_version: None,
            value: serde_json::to_vec(&report).ok(),
        };
        if let Err(error) = gateway.store.commit(&[write]).await {
            warn!(gateway.log, "reporting suspects failed"; "zone" => &*zone,
                "error" => error.to_string());
            gateway.suspects.unwritten.borrow_mut().entry(zone).or_insert(report);
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
    gateway.suspects.is_writing.set(false);
}
