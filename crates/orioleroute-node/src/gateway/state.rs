//! What one instance knows, shared by its tasks on one thread.

use std::cell::{Cell, Ref, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Instant as Clock, SystemTime, UNIX_EPOCH};

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use orioleroute::hash::Map;
use orioleroute::ingress::Configuration;
use orioleroute::ingress::deadline::Longest;
use orioleroute::ingress::health::Health;
use orioleroute::ingress::registry::Registry;
use orioleroute::ingress::roster::{Member, Roster};
use orioleroute::ingress::upstream::Announcement;
use orioleroute::prelude::*;
use orioleroute::retry;
use orioleroute_platform::store::Store;
use orioleroute_wire::client::Pool;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slog::{Logger, info, warn};

use super::exchange::Connections;
use super::leadership::Leadership;
use super::link::Links;
use super::settings::{Outcome, Settings};
use crate::log;

/// How long after a termination signal an instance still takes requests of clients that have not
/// heard of it: the time for which they may keep its address, as far as the grace allows.
const TAKING_SHARE: f64 = 0.3;

/// The part of the grace after which the process ends even if requests still run.
const RUNNING_SHARE: f64 = 0.93;

/// How often a stopping instance looks whether it has answered everything.
const STOP_POLL: Duration = Duration::from_millis(50);

/// A base model and an adapter on it.
type AdapterName = (Arc<str>, Arc<str>);

/// One instance.
pub struct Gateway {
    /// The log.
    pub log: Logger,
    /// The platform's store.
    pub store: Store,
    /// Connections for orders and reports.
    pub pool: Pool,
    /// Connections for requests.
    pub connections: Connections,
    /// Connections to schedulers.
    pub links: Links,
    /// The part of the instance that schedules availability zones.
    pub leadership: Leadership,
    settings: RefCell<Settings>,
    started: Clock,
    incarnation: u64,
    configuration: RefCell<Option<Arc<Configuration>>>,
    registry: RefCell<Registry>,
    roster: RefCell<Roster>,
    health: RefCell<Map<Arc<str>, Health>>,
    retries: RefCell<Map<Arc<str>, retry::Budget>>,
    versions: RefCell<Map<AdapterName, u64>>,
    deadlines: RefCell<Map<Arc<str>, Longest>>,
    stopping: Cell<Option<Instant>>,
    in_flight: Cell<usize>,
    body_bytes: Cell<usize>,
}

impl Gateway {
    /// Returns an instance that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
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
            log: log::to_stdout(&settings),
            store: Store::new(settings.store_address),
            pool: Pool::new(),
            connections: Connections::default(),
            links: Links::default(),
            leadership: Leadership::default(),
            settings: RefCell::new(settings),
            started: Clock::now(),
            incarnation,
            configuration: RefCell::default(),
            registry: RefCell::default(),
            roster: RefCell::new(Roster::new(own)),
            health: RefCell::default(),
            retries: RefCell::default(),
            versions: RefCell::default(),
            deadlines: RefCell::default(),
            stopping: Cell::new(None),
            in_flight: Cell::new(0),
            body_bytes: Cell::new(0),
        }
    }

    /// Returns the time on this process's steady clock.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// Returns what distinguishes this start of the instance.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the configuration in force, if one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Takes a configuration into force unless it is older than the one in force.
    pub fn configure(&self, configuration: Configuration) {
        let before = self.configuration.borrow().as_ref().map(|before| before.version);
        if before.is_some_and(|before| before >= configuration.version) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => configuration.version,
            "before" => before, "routes" => configuration.route_count());
        let configuration = Arc::new(configuration);
        *self.configuration.borrow_mut() = Some(configuration.clone());
        self.leadership.configure(&configuration);
        self.update_serving();
    }

    /// Returns the upstreams.
    pub fn registry(&self) -> RefMut<'_, Registry> {
        self.registry.borrow_mut()
    }

    /// Returns the instances.
    pub fn roster(&self) -> RefMut<'_, Roster> {
        self.roster.borrow_mut()
    }

    /// Returns how the upstreams have answered.
    pub fn health(&self) -> RefMut<'_, Map<Arc<str>, Health>> {
        self.health.borrow_mut()
    }

    /// Returns the newest version of an adapter that has been announced.
    pub fn version(&self, model: &Arc<str>, adapter: &Arc<str>) -> Option<u64> {
        self.versions.borrow().get(&(model.clone(), adapter.clone())).copied()
    }

    /// Takes note of a newer version of an adapter.
    pub fn announce(&self, announcement: &Announcement) {
        let key = (announcement.model.clone(), announcement.revision.name.clone());
        let mut versions = self.versions.borrow_mut();
        let newest = versions.entry(key).or_default();
        if *newest < announcement.revision.version {
            *newest = announcement.revision.version;
            info!(self.log, "adapter version announced"; "model" => &*announcement.model,
                "adapter" => &*announcement.revision.name, "version" => *newest);
        }
        drop(versions);
        self.leadership.announce(announcement);
    }

    /// Returns all announcements so far.
    pub fn announcements(&self) -> Vec<Announcement> {
        let versions = self.versions.borrow();
        let announcement = |((model, adapter), version): (&AdapterName, &u64)| {
            let revision = orioleroute::ingress::upstream::Revision {
                name: adapter.clone(),
                version: *version,
            };
            Announcement { model: model.clone(), revision }
        };
        versions.iter().map(announcement).collect()
    }

    /// Counts a request of a service towards its budget of repetitions.
    pub fn earn_retry(&self, service: &Arc<str>) {
        self.budget(service).earn();
    }

    /// Takes a repetition from a service's budget, and returns whether there was one.
    pub fn spend_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        self.budget(service).spend(now)
    }

    /// Returns how long a client of a route has been waiting that waits for `time_left` more.
    pub fn elapsed(&self, route: &Arc<str>, time_left: Duration) -> Duration {
        let now = self.now();
        self.deadlines.borrow_mut().entry(route.clone()).or_default().elapsed(time_left, now)
    }

    /// Returns the region of an availability zone.
    pub fn region_of(&self, zone: &str) -> Option<String> {
        let settings = self.settings();
        settings.zones.iter().find(|(name, _)| name == zone).map(|(_, region)| region.clone())
    }

    /// Returns whether this instance was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns whether new requests are taken.
    pub fn is_taking(&self) -> bool {
        let Some(since) = self.stopping.get() else { return true };
        self.now().since(since) < self.settings().grace.mul_f64(TAKING_SHARE)
    }

    /// Returns whether clients should use this instance.
    pub fn is_serving(&self) -> bool {
        !self.is_stopping() && self.configuration.borrow().is_some()
    }

    /// Counts a request that is being answered until the guard is dropped.
    pub fn enter(self: &Rc<Self>) -> Guard {
        self.in_flight.set(self.in_flight.get() + 1);
        Guard(self.clone())
    }

    /// Reserves memory for a request body, and returns whether there was enough.
    pub fn reserve_body(&self, bytes: usize) -> bool {
        let total = self.body_bytes.get() + bytes;
        if total > self.settings().body_memory {
            return false;
        }
        self.body_bytes.set(total);
        true
    }

    /// Gives memory for a request body back.
    pub fn release_body(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get().saturating_sub(bytes));
    }

    /// Returns the addresses for a client of a region.
    pub fn addresses(&self, region: &str) -> Vec<SocketAddr> {
        self.roster.borrow().addresses(region, self.now())
    }

    fn budget(&self, service: &Arc<str>) -> RefMut<'_, retry::Budget> {
        let retries = self.retries.borrow_mut();
        RefMut::map(retries, |retries| {
            retries.entry(service.clone()).or_insert_with(|| retry::Budget::new(RETRIES))
        })
    }

    fn update_serving(&self) {
        let is_serving = self.is_serving();
        self.roster().set_serving(is_serving);
    }

    fn begin_stop(&self) {
        if self.is_stopping() {
            return;
        }
        info!(self.log, "stopping"; "in_flight" => self.in_flight.get());
        self.stopping.set(Some(self.now()));
        self.update_serving();
    }

    fn reload(&self) {
        match Settings::from_environment() {
            Outcome::Run(settings) if *settings == *self.settings() => {
                info!(self.log, "settings unchanged");
            }
            Outcome::Run(settings) => {
                info!(self.log, "settings reloaded");
                *self.settings.borrow_mut() = *settings;
            }
            Outcome::Print(_) => {}
            Outcome::Fail(message) => {
                warn!(self.log, "settings rejected, the former stay"; "error" => message);
            }
        }
    }
}

/// Repetitions of one instance. All instances together may make a fifth of the requests and some;
/// an instance does not know how many others there are, so it keeps to a share of that.
const RETRIES: retry::Limits =
    retry::Limits { requests_per_retry: 8, burst: 4, time_per_retry: Duration::from_secs(4) };

/// A request that is being answered.
pub struct Guard(Rc<Gateway>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// The signals that this process handles, from the moment at which it is made.
pub struct Signals {
    termination: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self { termination: pipe_of(&[SIGTERM, SIGINT])?, reload: pipe_of(&[SIGHUP])? })
    }
}

/// Returns a stream from which a byte can be read for each of the signals that comes.
fn pipe_of(signals: &[i32]) -> std::io::Result<UnixStream> {
    let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    receiver.set_nonblocking(true)?;
    UnixStream::from_std(receiver)
}

/// Runs until a termination signal has come and all requests are answered or the grace is over.
pub async fn run_until_stopped(gateway: Rc<Gateway>, signals: Signals) -> std::io::Result<()> {
    let Signals { mut termination, reload } = signals;
    monoio::spawn(reload_on_signal(gateway.clone(), reload));
    let (read, _) = termination.read(vec![0_u8; 1]).await;
    read?;
    let since = gateway.now();
    gateway.begin_stop();
    // The store may be away, which must not hold the process up.
    monoio::spawn(super::election::step_down(gateway.clone()));
    let grace = gateway.settings().grace;
    loop {
        monoio::time::sleep(STOP_POLL).await;
        let elapsed = gateway.now().since(since);
        let is_idle = gateway.in_flight.get() == 0;
        if (is_idle && elapsed > grace.mul_f64(IDLE_SHARE))
            || elapsed > grace.mul_f64(RUNNING_SHARE)
        {
            break;
        }
    }
    info!(gateway.log, "stopped"; "in_flight" => gateway.in_flight.get());
    Ok(())
}

/// The part of the grace for which an idle instance stays reachable for clients that still hold its
/// address.
const IDLE_SHARE: f64 = 0.6;

async fn reload_on_signal(gateway: Rc<Gateway>, mut signals: UnixStream) {
    loop {
        let (read, _) = signals.read(vec![0_u8; 16]).await;
        match read {
            Ok(bytes) if bytes > 0 => gateway.reload(),
            _ => return,
        }
    }
}
