//! The state of one instance, shared by its tasks on one thread.

use std::cell::{Cell, Ref, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Instant as StdInstant, SystemTime, UNIX_EPOCH};

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use orioleroute::hash::Map;
use orioleroute::ingress::deadline::DeadlineTracker;
use orioleroute::ingress::feed::Record;
use orioleroute::ingress::health::Health;
use orioleroute::ingress::refusal::Refusals;
use orioleroute::ingress::registry::Registry;
use orioleroute::ingress::roster::{Member, Roster};
use orioleroute::ingress::upstream::Announcement;
use orioleroute::ingress::{Configuration, Path};
use orioleroute::prelude::*;
use orioleroute::retry;
use orioleroute_platform::store::Store;
use orioleroute_wire::client::Pool;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slog::{Logger, info, warn};

use super::exchange::Connections;
use super::feed::Feed;
use super::leadership::Leadership;
use super::limits::Limits;
use super::link::Links;
use super::pauses::Pauses;
use super::settings::{Outcome, Settings};
use super::{builds, origins, quarantine, turned_away};
use crate::quota::Quotas;
use crate::room::Room;
use crate::work::{InFlight, Work};

/// The fraction of the grace period during which a stopping instance still accepts new requests.
/// Clients may cache its address, so this covers the cache lifetime as far as the grace period allows.
const ACCEPTING_GRACE_FRACTION: f64 = 0.3;

/// The fraction of the grace period after which the process exits even if requests are in flight.
const FORCED_EXIT_GRACE_FRACTION: f64 = 0.93;

/// How often a stopping instance checks whether requests are in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The largest report of an engine and the largest answer to an order, in bytes. A report names each of some hundred requests.
pub const MAX_REPORT_BYTES: usize = 64 << 10;

/// A base model and the name of an adapter on it.
type AdapterKey = (Arc<str>, Arc<str>);

/// The shared state of one instance.
pub struct Gateway {
    /// The logger.
    pub log: Logger,
    /// The client of the platform's store.
    pub store: Store,
    /// Connections to engines, for orders and reports.
    pub pool: Pool,
    /// Connections to upstreams, for requests.
    pub connections: Connections,
    /// What is held for clients and other peers.
    pub room: Room,
    /// The connections for which there was no room.
    pub turned_away: turned_away::Logged,
    /// The limits that upstreams have named.
    pub limits: Limits,
    /// The pauses that upstreams have asked for.
    pub pauses: Pauses,
    /// Connections to schedulers and from other instances.
    pub links: Links,
    /// The tables of the store, and their feeds between instances.
    pub feed: Feed,
    /// The writes of the row of builds.
    pub builds: builds::Shared,
    /// The software versions at which streams began.
    pub origins: origins::Shared,
    /// The verdicts on requests that end upstreams.
    pub suspects: quarantine::Shared,
    /// The leaders of the availability zones, and the schedulers that run here.
    pub leadership: Leadership,
    /// What is lent and borrowed of the quotas of organisations.
    pub quotas: Quotas,
    /// What this instance is at work on.
    pub in_flight: InFlight,
    settings: RefCell<Settings>,
    started: StdInstant,
    incarnation: u64,
    configuration: RefCell<Option<Arc<Configuration>>>,
    /// The rows of the operator's table by which this instance acts.
    in_force: RefCell<Map<Arc<str>, Record>>,
    /// The rows of the operator's table that are refused.
    refusals: RefCell<Refusals>,
    registry: RefCell<Registry>,
    roster: RefCell<Roster>,
    health: RefCell<Map<Arc<str>, Health>>,
    paths: RefCell<Map<Arc<str>, Path>>,
    retries: RefCell<Map<Arc<str>, retry::Allowance>>,
    predecessor: Cell<retry::Predecessor>,
    adapter_versions: RefCell<Map<AdapterKey, u64>>,
    deadlines: RefCell<Map<Arc<str>, DeadlineTracker>>,
    stopping_since: Cell<Option<Instant>>,
    reserved_body_bytes: Cell<usize>,
}

impl Gateway {
    /// Returns the state of an instance that has read nothing from the store yet.
    pub fn new(settings: Settings, log: Logger) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = since_epoch.as_micros() as u64;
        let own = Member {
            name: settings.name.as_str().into(),
            incarnation,
            region: settings.region.as_str().into(),
            zone: settings.zone.as_str().into(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            capacity: (settings.processor_share * 100.0) as u32,
        };
        Self {
            log,
            store: Store::new(settings.store_address),
            pool: Pool::resetting().with_max_answer(MAX_REPORT_BYTES),
            connections: Connections::default(),
            room: Room::new(settings.machine()),
            turned_away: turned_away::Logged::default(),
            limits: Limits::default(),
            pauses: Pauses::default(),
            links: Links::default(),
            feed: Feed::default(),
            builds: builds::Shared::default(),
            origins: origins::Shared::default(),
            suspects: quarantine::Shared::default(),
            leadership: Leadership::default(),
            quotas: Quotas::default(),
            in_flight: InFlight::default(),
            settings: RefCell::new(settings),
            started: StdInstant::now(),
            incarnation,
            configuration: RefCell::default(),
            in_force: RefCell::default(),
            refusals: RefCell::default(),
            registry: RefCell::default(),
            roster: RefCell::new(Roster::new(own)),
            health: RefCell::default(),
            paths: RefCell::default(),
            retries: RefCell::default(),
            predecessor: Cell::default(),
            adapter_versions: RefCell::default(),
            deadlines: RefCell::default(),
            stopping_since: Cell::new(None),
            reserved_body_bytes: Cell::new(0),
        }
    }

    /// Returns the time since the start of the process, on the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Returns the active settings.
    pub fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// Returns the incarnation: the start time in microseconds since the Unix epoch, which
    /// distinguishes restarts of an instance.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the active configuration, or `None` before the first one is read.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns those rows of the operator's table by which this instance acts that `is_wanted` selects.
    pub fn in_force(&self, is_wanted: impl Fn(&Record) -> bool) -> Vec<Record> {
        let in_force = self.in_force.borrow();
        in_force.values().filter(|record| is_wanted(record)).cloned().collect()
    }

    /// Records that this instance acts by a row of the operator's table.
    pub fn set_in_force(&self, record: &Record) {
        self.in_force.borrow_mut().insert(record.key.clone(), record.clone());
    }

    /// Returns the rows of the operator's table that are refused.
    pub fn refusals(&self) -> RefMut<'_, Refusals> {
        self.refusals.borrow_mut()
    }

    /// Activates a configuration unless the active one is at least as new, and returns whether it did.
    pub fn configure(&self, configuration: Configuration) -> bool {
        let previous = self.configuration.borrow().as_ref().map(|previous| previous.version);
        if previous.is_some_and(|previous| previous >= configuration.version) {
            return false;
        }
        info!(self.log, "configuration in force"; "version" => configuration.version,
            "before" => previous, "routes" => configuration.route_count());
        let configuration = Arc::new(configuration);
        *self.configuration.borrow_mut() = Some(configuration.clone());
        self.leadership.configure(&configuration);
        self.update_serving();
        true
    }

    /// Returns the registry of upstreams.
    pub fn registry(&self) -> RefMut<'_, Registry> {
        self.registry.borrow_mut()
    }

    /// Returns the roster of instances.
    pub fn roster(&self) -> RefMut<'_, Roster> {
        self.roster.borrow_mut()
    }

    /// Returns the health of the upstreams by id.
    pub fn health(&self) -> RefMut<'_, Map<Arc<str>, Health>> {
        self.health.borrow_mut()
    }

    /// Returns what is known of this instance's path to the upstreams of a service.
    pub fn path(&self, service: &Arc<str>) -> RefMut<'_, Path> {
        let paths = self.paths.borrow_mut();
        RefMut::map(paths, |paths| paths.entry(service.clone()).or_default())
    }

    /// Returns the services of which a probe of the path is due, and counts the probes as made.
    pub fn take_due_probes(&self) -> Vec<Arc<str>> {
        let mut paths = self.paths.borrow_mut();
        let due = paths
            .iter_mut()
            .filter_map(|(service, path)| path.take_probe(self.now()).then(|| service.clone()));
        due.collect()
    }

    /// Returns whether this instance can do little for clients and nothing for engines: its path to the upstreams of a service
    /// with engines is lost, or that to the upstreams of all services.
    pub fn is_cut_off(&self) -> bool {
        let Some(configuration) = self.configuration() else { return false };
        let paths = self.paths.borrow();
        let lost = |service: &Arc<str>| paths.get(service).is_some_and(Path::is_lost);
        let has_engine = |service: &Arc<str>| {
            configuration.services.get(service).is_some_and(|service| service.engine.is_some())
        };
        let registry = self.registry.borrow();
        let mut services = registry.iter().map(|upstream| &upstream.service);
        paths.keys().any(|service| lost(service) && has_engine(service))
            || registry.iter().next().is_some() && services.all(lost)
    }

    /// Returns the newest announced version of an adapter.
    pub fn version(&self, model: &Arc<str>, adapter: &Arc<str>) -> Option<u64> {
        self.adapter_versions.borrow().get(&(model.clone(), adapter.clone())).copied()
    }

    /// Records the announcement of an adapter version if it is the newest, passes it to the schedulers, and returns
    /// whether it is.
    pub fn record_announcement(&self, announcement: &Announcement) -> bool {
        let key = (announcement.model.clone(), announcement.revision.name.clone());
        let mut versions = self.adapter_versions.borrow_mut();
        let newest = versions.entry(key).or_default();
        let is_newest = *newest < announcement.revision.version;
        if is_newest {
            *newest = announcement.revision.version;
            info!(self.log, "adapter version announced"; "model" => &*announcement.model,
                "adapter" => &*announcement.revision.name, "version" => *newest);
        }
        drop(versions);
        self.leadership.record_announcement(announcement);
        is_newest
    }

    /// Returns the newest announced version of each adapter.
    pub fn announcements(&self) -> Vec<Announcement> {
        let versions = self.adapter_versions.borrow();
        let announcement = |((model, adapter), version): (&AdapterKey, &u64)| {
            let revision = orioleroute::ingress::upstream::Revision {
                name: adapter.clone(),
                version: *version,
            };
            Announcement { model: model.clone(), revision }
        };
        versions.iter().map(announcement).collect()
    }

    /// Counts a request of a service, which earns a part of a retry.
    pub fn deposit_retry(&self, service: &Arc<str>) {
        let now = self.now();
        self.retries.borrow_mut().entry(service.clone()).or_default().deposit(now);
    }

    /// Withdraws one retry of a service, and returns whether one was available.
    pub fn withdraw_retry(&self, service: &Arc<str>) -> bool {
        let (fixed, instances) = self.shared_retries();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().withdraw(fixed, instances, self.now())
    }

    /// Returns how much of its retries of a service this instance has used.
    pub fn retry_usage(&self, service: &Arc<str>) -> retry::Usage {
        let (fixed, instances) = self.shared_retries();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().usage(fixed, instances, self.now())
    }

    /// Returns the fixed number of retries that this instance may have a part of, and among how many it is divided.
    fn shared_retries(&self) -> (u32, u32) {
        let uptime = self.now().since(Instant::ZERO);
        let fixed = self.predecessor.get().usable(self.settings().retry_allowance, uptime);
        (fixed, 1 + self.roster.borrow().peers().count() as u32)
    }

    /// Returns what is known of an earlier process of this instance.
    pub fn predecessor(&self) -> retry::Predecessor {
        self.predecessor.get()
    }

    /// Records whether there was an earlier process of this instance.
    pub fn set_predecessor(&self, predecessor: retry::Predecessor) {
        self.predecessor.set(predecessor);
    }

    /// Returns a withdrawn retry of a service that was not made.
    pub fn restore_retry(&self, service: &Arc<str>) {
        let now = self.now();
        self.retries.borrow_mut().entry(service.clone()).or_default().restore(now);
    }

    /// Returns how long a client of a route has been waiting since its first attempt, estimated from
    /// the `time_left` until its deadline.
    pub fn elapsed_at_client(&self, route: &Arc<str>, time_left: Duration) -> Duration {
        let now = self.now();
        self.deadlines.borrow_mut().entry(route.clone()).or_default().elapsed(time_left, now)
    }

    /// Returns the region of an availability zone.
    pub fn region_of(&self, zone: &str) -> Option<String> {
        let settings = self.settings();
        settings.zones.iter().find(|(name, _)| name == zone).map(|(_, region)| region.clone())
    }

    /// Returns whether this instance has received a termination signal.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns how long ago this instance received a termination signal, if it has.
    pub fn stopping_for(&self) -> Option<Duration> {
        self.stopping_since.get().map(|since| self.now().since(since))
    }

    /// Returns whether new requests are accepted.
    pub fn is_accepting(&self) -> bool {
        let accepting = self.settings().grace.mul_f64(ACCEPTING_GRACE_FRACTION);
        self.stopping_for().is_none_or(|time| time < accepting)
    }

    /// Returns whether this instance is ready for clients: it knows the configuration and the upstreams,
    /// and is not stopping.
    pub fn is_serving(&self) -> bool {
        !self.is_stopping()
            && self.configuration.borrow().is_some()
            && self.registry.borrow().is_read()
    }

    /// Reserves `bytes` of memory for a request body, and returns whether that much was available.
    pub fn reserve_body(&self, bytes: usize) -> bool {
        let total = self.reserved_body_bytes.get() + bytes;
        if total > self.settings().body_memory {
            return false;
        }
        self.reserved_body_bytes.set(total);
        true
    }

    /// Releases `bytes` of memory reserved for a request body.
    pub fn release_body(&self, bytes: usize) {
        self.reserved_body_bytes.set(self.reserved_body_bytes.get().saturating_sub(bytes));
    }

    /// Returns the addresses of the instances that a client in a region should use.
    pub fn addresses(&self, region: &str) -> Vec<SocketAddr> {
        self.roster.borrow().addresses(region, self.now())
    }

    /// Notifies the other instances in the next heartbeat whether this one is serving.
    pub fn update_serving(&self) {
        let is_serving = self.is_serving();
        self.roster().set_serving(is_serving);
    }

    fn begin_stop(&self) {
        if self.is_stopping() {
            return;
        }
        info!(self.log, "stopping"; "in_flight" => self.in_flight.count(Work::Request),
            "detours" => self.in_flight.count(Work::Detour));
        self.stopping_since.set(Some(self.now()));
        self.update_serving();
    }

    fn reload(&self) {
        match Settings::from_environment() {
            Outcome::Run(settings) if *settings == *self.settings() => {
                info!(self.log, "settings unchanged");
            }
            Outcome::Run(settings) => {
                info!(self.log, "settings reloaded");
                self.room.adapt(settings.machine());
                *self.settings.borrow_mut() = *settings;
            }
            Outcome::Print(_) => {}
            Outcome::Fail(message) => {
                warn!(self.log, "settings rejected, keeping the previous ones"; "error" => message);
            }
        }
    }
}

/// The handled signals. They are caught from the moment of construction.
pub struct Signals {
    termination: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if a handler or its pipe cannot be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            termination: signal_stream(&[SIGTERM, SIGINT])?,
            reload: signal_stream(&[SIGHUP])?,
        })
    }
}

/// Returns a stream that yields one byte for each of the given signals received.
fn signal_stream(signals: &[i32]) -> std::io::Result<UnixStream> {
    let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    receiver.set_nonblocking(true)?;
    UnixStream::from_std(receiver)
}

/// Runs until a termination signal arrives, then until the instance has no work in flight after
/// [`IDLE_EXIT_GRACE_FRACTION`] of the grace period or reaches [`FORCED_EXIT_GRACE_FRACTION`] of it. What it does for other
/// instances is work, too.
///
/// # Errors
///
/// Fails if the signals cannot be read.
pub async fn run_until_stopped(gateway: Rc<Gateway>, signals: Signals) -> std::io::Result<()> {
    let Signals { mut termination, reload } = signals;
    monoio::spawn(reload_on_signal(gateway.clone(), reload));
    let (read, _) = termination.read(vec![0_u8; 1]).await;
    read?;
    let since = gateway.now();
    gateway.begin_stop();
    // Spawned, because the store may be unavailable and must not delay the exit.
    monoio::spawn(super::election::step_down(gateway.clone()));
    let grace = gateway.settings().grace;
    loop {
        monoio::time::sleep(STOP_POLL_INTERVAL).await;
        let elapsed = gateway.now().since(since);
        let is_idle = gateway.in_flight.is_empty();
        if (is_idle && elapsed > grace.mul_f64(IDLE_EXIT_GRACE_FRACTION))
            || elapsed > grace.mul_f64(FORCED_EXIT_GRACE_FRACTION)
        {
            break;
        }
    }
    info!(gateway.log, "stopped"; "in_flight" => gateway.in_flight.count(Work::Request),
        "detours" => gateway.in_flight.count(Work::Detour));
    Ok(())
}

/// The fraction of the grace period for which an idle instance keeps running, for clients that still
/// have its address cached.
const IDLE_EXIT_GRACE_FRACTION: f64 = 0.6;

async fn reload_on_signal(gateway: Rc<Gateway>, mut signals: UnixStream) {
    loop {
        let (read, _) = signals.read(vec![0_u8; 16]).await;
        match read {
            Ok(bytes) if bytes > 0 => gateway.reload(),
            _ => return,
        }
    }
}
