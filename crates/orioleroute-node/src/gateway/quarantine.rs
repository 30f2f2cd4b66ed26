//! Shares what the schedulers know of requests that end upstreams: through a row in the store for each zone, and while the
//! store takes no rows, directly with the instances that are connected to the scheduler.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use orioleroute::hash;
use orioleroute::ingress::attempt::Generation;
use orioleroute::ingress::quarantine::{Change, Key, Kind, Loss, Quarantine, Report, Run, Subject};
use orioleroute::ingress::registry::Standing;
use orioleroute::ingress::unreported::Unreported;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{RunResult, ToInstance, ToScheduler, UngrantedRun};
use orioleroute::scheduler::{Client, EngineCheck, Finding, Reply};
use orioleroute_platform::engine;
use orioleroute_platform::store::Write;
use orioleroute_wire::Step;
use orioleroute_wire::client::Pool;
use orioleroute_wire::http1::socket::Socket;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::exchange::Target;
use super::leadership;
use super::link::{self, SchedulerHandle};
use super::state::{Gateway, MAX_REPORT_BYTES};
use super::sync::CLUSTER_TABLE;
use crate::detour;

/// The key prefix of the rows with the reports of the zones' schedulers.
pub const REPORT_PREFIX: &str = "suspects/";

/// The longest wait for a connection to an engine that may be lost, and for its answer: ten round trips between regions. An engine whose
/// process has ended refuses the connection at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The delay before an upstream is asked again that has closed a connection without an answer: a process that ends closes all
/// that it has open within this time.
const CLOSED_DELAY: Duration = Duration::from_millis(50);

/// The delay before a report that could not be written is written again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The verdicts on requests and prompt parts, and what is still to be written.
#[derive(Default)]
pub struct Shared {
    quarantine: RefCell<Quarantine>,
    /// The newest rows that were applied, by zone.
    applied: RefCell<Map<Arc<str>, Edition>>,
    /// The number of rows that were published here.
    published: Cell<u64>,
    /// The zones whose reports are still to be written.
    unwritten: RefCell<Set<Arc<str>>>,
    is_writing: Cell<bool>,
    /// The connected instances that want the reports.
    followers: RefCell<Set<Client>>,
    /// The runs that broke off and are still to be reported.
    unreported: RefCell<Unreported>,
}

/// Orders the rows of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Edition {
    fencing: u64,
    sequence: u64,
}

impl Shared {
    /// Returns for what requests with this content are refused, if they are.
    pub fn blamed(
        &self,
        service: &Arc<str>,
        content: u64,
        generation: Option<&Generation>,
        now: Instant,
    ) -> Option<Key> {
        let parts = generation.and_then(|generation| generation.parts.split_last());
        let shared = parts.into_iter().flat_map(|(_, shared)| shared);
        let keys = shared.map(|part| Key::part(part.id)).chain([Key::request(content)]);
        self.quarantine.borrow().blamed(service, keys, now)
    }

    /// Returns the number of upstreams that were lost under a request that has not shown that it is sound.
    pub fn losses_under(&self, service: &Arc<str>, content: u64) -> usize {
        let subject = Subject { service: service.clone(), key: Key::request(content) };
        self.quarantine.borrow().losses_under(&subject)
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
    /// The number of the row among those of its writer. Writers of an older release do not count.
    #[serde(default)]
    sequence: u64,
    /// When it was written, in milliseconds since the Unix epoch by the clock of the instance.
    written_ms: u64,
    report: Report,
}

/// How a row has come here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the store, some time after it was written.
    Store,
    /// From the scheduler, as soon as it was written.
    Scheduler,
}

/// Applies the row of a zone, unless its scheduler runs here or a later row has been applied.
pub fn apply_row(gateway: &Rc<Gateway>, zone: &str, value: Option<&str>, way: Way) {
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
    let edition = Edition { fencing: row.fencing, sequence: row.sequence };
    let applied = gateway.suspects.applied.borrow().get(&zone).copied();
    let newest = own.max(applied.map(|applied| applied.fencing)).unwrap_or_default();
    if row.fencing < newest && own == Some(newest) {
        // A former scheduler has overwritten the row.
        publish_again(gateway, &zone);
    }
    let is_repeated = edition.sequence > 0 && applied.is_some_and(|applied| edition <= applied);
    if row.fencing < newest || own == Some(row.fencing) || is_repeated {
        return;
    }
    gateway.suspects.applied.borrow_mut().insert(zone.clone(), edition);
    let mut report = row.report;
    if way == Way::Store {
        report.add_age(Duration::from_millis(unix_ms().saturating_sub(row.written_ms)));
    }
    apply(gateway, &zone, report);
}

/// Applies the report of a scheduler that runs here, and shares it.
pub fn publish(gateway: &Rc<Gateway>, zone: &Arc<str>, report: Report) {
    gateway.suspects.published.set(gateway.suspects.published.get() + 1);
    gateway.suspects.unwritten.borrow_mut().insert(zone.clone());
    apply(gateway, zone, report);
    if !gateway.suspects.is_writing.replace(true) {
        monoio::spawn(write_reports(gateway.clone()));
    }
}

/// Records that a connected instance wants the reports of the schedulers that run here, and sends it what there is.
pub fn add_follower(gateway: &Rc<Gateway>, client: Client) {
    gateway.suspects.followers.borrow_mut().insert(client);
    link::send_to_instance(gateway, client, ToInstance::Current);
    for zone in gateway.leadership.scheduled_zones() {
        send_report(gateway, &zone, &[client]);
    }
}

/// Records that an instance is no longer connected.
pub fn remove_follower(gateway: &Rc<Gateway>, client: Client) {
    gateway.suspects.followers.borrow_mut().remove(&client);
}

fn send_report(gateway: &Rc<Gateway>, zone: &Arc<str>, clients: &[Client]) {
    let row = row(gateway, zone).and_then(|row| serde_json::to_string(&row).ok());
    let Some(row) = row else { return };
    for client in clients {
        let message = ToInstance::Suspects { zone: zone.clone(), row: row.as_str().into() };
        link::send_to_instance(gateway, *client, message);
    }
}

/// Returns the row of a zone that is scheduled here, if there is anything to report.
fn row(gateway: &Rc<Gateway>, zone: &Arc<str>) -> Option<Row> {
    let fencing = gateway.leadership.fencing_token(zone)?;
    let report = gateway.suspects.report(zone, gateway.now())?;
    let sequence = gateway.suspects.published.get();
    Some(Row { fencing, sequence, written_ms: unix_ms(), report })
}

/// Writes the report of a zone again that is scheduled here, because the store may have lost it.
pub fn publish_again(gateway: &Rc<Gateway>, zone: &Arc<str>) {
    if let Some(report) = gateway.suspects.report(zone, gateway.now()) {
        publish(gateway, zone, report);
    }
}

/// Reports the end of a run that no scheduler granted to the scheduler that collects the losses of its upstream, if one is
/// in reach. That a run was sound is reported only if it is suspected.
pub fn report_run(gateway: &Rc<Gateway>, mut ended: UngrantedRun, result: RunResult) {
    match result {
        RunResult::Answered => {
            let now = gateway.now();
            gateway.suspects.unreported.borrow_mut().record_sound(&ended, now);
            let quarantine = gateway.suspects.quarantine.borrow();
            let service = ended.service.clone();
            ended.run.retain(|key| {
                quarantine.losses_under(&Subject { service: service.clone(), key }) > 0
            });
            if ended.run.is_sound() {
                return;
            }
        }
        // An upstream that leaves ends soon, whatever it runs.
        RunResult::Broken if is_staying(gateway, &ended.upstream) => {}
        _ => return,
    }
    if let Some(ended) = send_ended(gateway, ended, result)
        && result == RunResult::Broken
    {
        gateway.suspects.unreported.borrow_mut().push(ended, gateway.now());
    }
}

/// Reports the runs that broke off while no scheduler was in reach.
fn report_kept(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let kept = gateway.suspects.unreported.borrow_mut().take(now);
    for ended in &kept {
        let unreported = gateway.suspects.unreported.borrow();
        let sound = unreported.sound_among(ended, ended.run.keys(), now);
        drop(unreported);
        report_sound(gateway, sound);
    }
    for ended in kept {
        if let Some(ended) = send_ended(gateway, ended, RunResult::Broken) {
            gateway.suspects.unreported.borrow_mut().push(ended, now);
        }
    }
}

/// Tells the scheduler of a zone which of its suspects were sound in runs that no scheduler granted.
fn clear_suspects(gateway: &Rc<Gateway>, zone: &Arc<str>, losses: &[Loss]) {
    for loss in losses {
        let run = UngrantedRun {
            zone: zone.clone(),
            service: loss.service.clone(),
            upstream: Arc::default(),
            started_ms: None,
            address: loss.engine,
            has_answered: true,
            age_ms: 0,
            run: Run::default(),
        };
        let keys: Set<Key> = loss.runs.iter().flat_map(Run::keys).collect();
        let unreported = gateway.suspects.unreported.borrow();
        let sound = unreported.sound_among(&run, keys, gateway.now());
        drop(unreported);
        report_sound(gateway, sound);
    }
}

/// Reports what was sound. It is not kept if no scheduler is in reach, since it is remembered.
fn report_sound(gateway: &Rc<Gateway>, sound: Option<UngrantedRun>) {
    if let Some(sound) = sound {
        let _ = send_ended(gateway, sound, RunResult::Answered);
    }
}

/// Sends the end of a run to the scheduler that collects the losses of its upstream, or returns it if none is in reach.
fn send_ended(
    gateway: &Rc<Gateway>,
    mut ended: UngrantedRun,
    result: RunResult,
) -> Option<UngrantedRun> {
    let Some((zone, scheduler)) = collector(gateway, &ended) else { return Some(ended) };
    ended.zone = zone;
    let ticket = gateway.links.next_ticket();
    scheduler.send(gateway, ToScheduler::ended_ungranted(ticket, result, ended));
    None
}

fn is_staying(gateway: &Gateway, upstream: &str) -> bool {
    matches!(gateway.registry().standing(upstream), Standing::Ready | Standing::Missing)
}

/// Returns the scheduler that collects the losses of an upstream: that of its zone, or another one that all instances choose
/// alike.
fn collector(gateway: &Rc<Gateway>, ended: &UngrantedRun) -> Option<(Arc<str>, SchedulerHandle)> {
    let mut zones: Vec<Arc<str>> = gateway.leadership.leaders.led_zones();
    let item = hash::digest(&ended.address);
    zones.sort_by_key(|zone| (*zone != ended.zone, hash::weight(item, hash::digest(&**zone))));
    zones.into_iter().find_map(|zone| {
        let scheduler = link::scheduler_of(gateway, &zone)?;
        Some((zone, scheduler))
    })
}

/// Connects to the schedulers of all zones, because they report lost upstreams to those that are connected.
pub fn follow_schedulers(gateway: &Rc<Gateway>) {
    for zone in gateway.leadership.leaders.led_zones() {
        link::scheduler_of(gateway, &zone);
    }
    report_kept(gateway);
}

/// Checks whether an upstream on which a run broke off is lost, and passes the result to its scheduler.
pub async fn check_engine(
    gateway: Rc<Gateway>,
    zone: Arc<str>,
    address: SocketAddr,
    check: EngineCheck,
) {
    let mut replies = Vec::new();
    let (id, service) = (check.upstream.clone(), check.service.clone());
    let target = Target { id, service, address };
    let finding = loop {
        if replies.last() == Some(&Reply::Closed) {
            monoio::time::sleep(CLOSED_DELAY).await;
        }
        replies.push(ask_identity(&gateway, &target).await);
        if let Some(finding) = check.judge(&replies) {
            break finding;
        }
    };
    info!(gateway.log, "engine checked"; "zone" => &*zone, "upstream" => &*check.upstream,
        "started_ms" => check.started_ms, "address" => address.to_string(),
        "is_lost" => finding == Finding::Lost, "finding" => finding.to_string(),
        "replies" => format!("{replies:?}"));
    leadership::handle_check(&gateway, &zone, &check, finding);
}

/// Asks who listens at the address of an upstream. That it cannot be reached says nothing once this instance has lost its path to
/// the others of its service either.
pub async fn ask_identity(gateway: &Gateway, target: &Target) -> Reply {
    let reply = match Socket::connect(target.address, CHECK_TIMEOUT).await {
        Ok(socket) => return ask_identity_over(gateway, socket, target).await,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Reply::Refused,
        Err(error) if error.kind() == ErrorKind::TimedOut => Reply::TimedOut,
        // An error of this instance.
        Err(_) => return Reply::Unclear,
    };
    detour::record_unreachable(gateway, target);
    if gateway.path(&target.service).is_lost() { Reply::Unclear } else { reply }
}

/// Asks on this connection who an upstream is.
pub async fn ask_identity_over(gateway: &Gateway, socket: Socket, target: &Target) -> Reply {
    let service = gateway.configuration().and_then(|configuration| {
        let service = configuration.services.get(&target.service)?;
        Some((service.engine.is_some(), service.health_path.clone()))
    });
    let health_path = match service {
        Some((true, _)) => None,
        Some((false, Some(path))) => Some(path),
        Some((false, None)) | None => return Reply::Unclear,
    };
    let call = engine::identity_request(&target.id, health_path.as_deref());
    let pool = Pool::resetting().with_max_answer(MAX_REPORT_BYTES);
    let answered = pool.call_over(socket, target.address, call);
    match monoio::time::timeout(CHECK_TIMEOUT, answered).await {
        Ok(Ok(answer)) => engine::identity_reply(&answer),
        Ok(Err(error)) if error.step == Step::Check => Reply::Unclear,
        Ok(Err(_)) => Reply::Closed,
        Err(_) => Reply::Unclear,
    }
}

fn apply(gateway: &Rc<Gateway>, zone: &Arc<str>, report: Report) {
    let losses = report.losses.clone();
    let changes = {
        let mut quarantine = gateway.suspects.quarantine.borrow_mut();
        let changes = quarantine.update(zone, report, gateway.now());
        metrics::gauge!("orioleroute_blamed_parts").set(quarantine.blamed_count(Kind::Part) as f64);
        metrics::gauge!("orioleroute_blamed_requests")
            .set(quarantine.blamed_count(Kind::Request) as f64);
        changes
    };
    for change in &changes {
        log_change(gateway, change);
    }
    leadership::update_quarantine(gateway);
    clear_suspects(gateway, zone, &losses);
}

fn log_change(gateway: &Rc<Gateway>, change: &Change) {
    let (subject, verdict) = match change {
        Change::Blamed(subject, verdict) => (subject, Some(verdict)),
        Change::Released(subject) => (subject, None),
    };
    let message = match (subject.key.kind, verdict) {
        (Kind::Part, Some(_)) => "prompt part quarantined",
        (Kind::Part, None) => "prompt part released",
        (Kind::Request, Some(_)) => "request quarantined",
        (Kind::Request, None) => "request released",
    };
    let id = format!("{:x}", subject.key.id);
    let (part, content) = match subject.key.kind {
        Kind::Part => (Some(&id), None),
        Kind::Request => (None, Some(&id)),
    };
    warn!(gateway.log, "{}", message; "part" => part, "content" => content,
        "service" => &*subject.service, "losses" => verdict.map(|verdict| verdict.losses),
        "requests" => verdict.map(|verdict| verdict.requests),
        "for_s" => verdict.map(|verdict| verdict.until.since(gateway.now()).as_secs()));
}

/// Writes reports until all are written. Those of zones that are scheduled elsewhere by now are dropped.
async fn write_reports(gateway: Rc<Gateway>) {
    loop {
        let next = gateway.suspects.unwritten.borrow().iter().next().cloned();
        let Some(zone) = next else { break };
        gateway.suspects.unwritten.borrow_mut().remove(&zone);
        let Some(row) = row(&gateway, &zone) else { continue };
        let write = Write {
            table: CLUSTER_TABLE,
            key: format!("{REPORT_PREFIX}{zone}"),
            expected_version: None,
            value: serde_json::to_vec(&row).ok(),
        };
        if let Err(error) = gateway.store.commit(&[write]).await {
            warn!(gateway.log, "reporting suspects failed"; "zone" => &*zone,
                "error" => error.to_string());
            // While the store takes no rows, the others learn of them here. It passes them on at a lower cost.
            let followers: Vec<Client> =
                gateway.suspects.followers.borrow().iter().copied().collect();
            send_report(&gateway, &zone, &followers);
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
