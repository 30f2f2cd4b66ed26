//! The part of an instance that schedules availability zones.
//!
//! A row in the store names the scheduler of each zone; its version is the fencing token. The row
//! is written only when the scheduler changes: that it lives shows in its heartbeats, so neither
//! renewals nor an outage of the store get in the way. See `docs/PLATFORM.md`, section "Scheduler".

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use nix::time::{ClockId, clock_gettime};
use orioleroute::ingress::Configuration;
use orioleroute::ingress::upstream::{Announcement, Description};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Placement, Reason, ToInstance, ToScheduler};
use orioleroute::scheduler::order::{Order, Outcome};
use orioleroute::scheduler::{Client, Decision, Output, RequestKey, Scheduler};
use orioleroute_platform::engine;
use orioleroute_wire::Step;
use slog::{debug, info, warn};

use super::state::Gateway;
use super::{election, link};

/// How often elections are considered.
pub const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// The longest sleep of the loop that lets the schedulers' time pass.
const TICK: Duration = Duration::from_millis(100);

/// The shortest one, so that a load that is overdue does not keep the processor busy.
const SHORTEST_TICK: Duration = Duration::from_millis(5);

/// The longest wait for the answer to an order or a report: ten round trips between regions.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(250);

/// How much the clock that counts suspension may run ahead before the process counts as frozen.
const FREEZE_MARGIN: Duration = Duration::from_millis(200);

/// The connection of this instance to its own schedulers.
pub const LOCAL: Client = Client(0);

/// Who schedules an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Leader {
    /// The instance.
    pub holder: Arc<str>,
    /// Its start.
    pub incarnation: u64,
}

/// The leaders as the store has them, and the schedulers that run here.
#[derive(Default)]
pub struct Leadership {
    leaders: RefCell<Map<Arc<str>, Entry>>,
    schedulers: RefCell<Map<Arc<str>, Scheduler>>,
    /// What the elections remember.
    pub timers: election::Timers,
    /// Set while this process has been frozen and has not read the store since.
    is_suspended: Cell<bool>,
    suspension: Cell<Option<Duration>>,
}

#[derive(Clone, Debug)]
struct Entry {
    leader: Option<Leader>,
    version: u64,
}

impl Leadership {
    /// Takes a configuration into force.
    pub fn configure(&self, configuration: &Arc<Configuration>) {
        for scheduler in self.schedulers.borrow_mut().values_mut() {
            scheduler.configure(configuration.clone());
        }
    }

    /// Takes note of a newer version of an adapter.
    pub fn announce(&self, announcement: &Announcement) {
        for scheduler in self.schedulers.borrow_mut().values_mut() {
            scheduler.announce(announcement);
        }
    }

    /// Forgets who schedules what, before the table is read anew.
    pub fn forget_leaders(&self) {
        self.leaders.borrow_mut().clear();
        self.is_suspended.set(false);
    }

    /// Takes note of who schedules a zone.
    pub fn occupy(&self, zone: &str, leader: Leader, version: u64) {
        self.write(zone, Entry { leader: Some(leader), version });
    }

    /// Takes note that nobody schedules a zone.
    pub fn vacate(&self, zone: &str, version: u64) {
        self.write(zone, Entry { leader: None, version });
    }

    /// Returns who schedules a zone.
    pub fn leader(&self, zone: &str) -> Option<Leader> {
        self.leaders.borrow().get(zone)?.leader.clone()
    }

    /// Returns the zones that have a scheduler.
    pub fn zones(&self) -> Vec<Arc<str>> {
        let leaders = self.leaders.borrow();
        let occupied = leaders.iter().filter(|(_, entry)| entry.leader.is_some());
        occupied.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the version that the row of a zone's scheduler must have to be written anew, 0 for none.
    pub fn row_version(&self, zone: &str) -> u64 {
        let leaders = self.leaders.borrow();
        let entry = leaders.get(zone).filter(|entry| entry.leader.is_some());
        entry.map_or(0, |entry| entry.version)
    }

    /// Returns the zones that this instance schedules.
    pub fn held(&self) -> Vec<Arc<str>> {
        self.schedulers.borrow().keys().cloned().collect()
    }

    /// Returns the fencing token under which this instance schedules a zone, if it does.
    pub fn fencing(&self, zone: &str) -> Option<u64> {
        self.schedulers.borrow().get(zone).map(Scheduler::fencing)
    }

    /// Lets orders go out again after the leaders have been read.
    pub fn resume(&self) {
        self.is_suspended.set(false);
    }

    fn write(&self, zone: &str, entry: Entry) {
        let mut leaders = self.leaders.borrow_mut();
        match leaders.get_mut(zone) {
            Some(known) if known.version >= entry.version => {}
            Some(known) => *known = entry,
            None => {
                leaders.insert(zone.into(), entry);
            }
        }
    }

    /// Notices that the process was suspended since the last call.
    fn was_frozen(&self) -> bool {
        let clocks =
            (clock_gettime(ClockId::CLOCK_BOOTTIME), clock_gettime(ClockId::CLOCK_MONOTONIC));
        let (Ok(total), Ok(running)) = clocks else { return false };
        let suspended = Duration::from(total).saturating_sub(Duration::from(running));
        let before = self.suspension.replace(Some(suspended));
        before.is_some_and(|before| suspended > before + FREEZE_MARGIN)
    }
}

/// Lets the schedulers' time pass and considers elections, forever.
pub async fn run(gateway: Rc<Gateway>) {
    let mut review_at = Instant::ZERO;
    loop {
        if gateway.leadership.was_frozen() {
            warn!(gateway.log, "process was frozen, orders wait for the store");
            gateway.leadership.is_suspended.set(true);
            monoio::spawn(election::read_leaders(gateway.clone()));
        }
        let now = gateway.now();
        tick(&gateway);
        if now >= review_at {
            review_at = now + REVIEW_INTERVAL;
            if gateway.registry().expire(now) {
                list(&gateway);
            }
            election::elect(&gateway);
            let registry = gateway.registry();
            let is_there = |id: &str| registry.get(id).is_some();
            gateway.connections.prune(is_there, now);
            gateway.health().retain(|id, health| is_there(id) || health.outstanding() > 0);
        }
        let next =
            gateway.leadership.schedulers.borrow().values().filter_map(Scheduler::next_check).min();
        let wait = next.map_or(TICK, |next| next.since(gateway.now()));
        monoio::time::sleep(wait.clamp(SHORTEST_TICK, TICK)).await;
    }
}

/// Starts and ends schedulers as the leaders say.
pub fn review(gateway: &Rc<Gateway>) {
    let own = gateway.roster().own().clone();
    let leaders = gateway.leadership.leaders.borrow().clone();
    let mut ended = Vec::new();
    let mut begun = false;
    for (zone, entry) in leaders {
        let is_own = entry.leader.as_ref().is_some_and(|leader| {
            leader.holder == own.name && leader.incarnation == own.incarnation
        });
        let mut schedulers = gateway.leadership.schedulers.borrow_mut();
        let fencing = schedulers.get(&zone).map(Scheduler::fencing);
        match (is_own, fencing) {
            (true, Some(fencing)) if fencing == entry.version => {}
            (true, _) => {
                let Some(configuration) = gateway.configuration() else { continue };
                let mut scheduler = Scheduler::new(entry.version, configuration);
                gateway.announcements().iter().for_each(|each| scheduler.announce(each));
                info!(gateway.log, "scheduling begins"; "zone" => &*zone, "fencing" => entry.version);
                schedulers.insert(zone, scheduler);
                begun = true;
            }
            (false, Some(fencing)) => {
                info!(gateway.log, "scheduling ends"; "zone" => &*zone, "fencing" => fencing,
                    "successor" => entry.leader.map(|leader| leader.holder.to_string()));
                ended.extend(schedulers.remove(&zone));
            }
            (false, None) => {}
        }
    }
    for mut scheduler in ended {
        scheduler.abandon();
        carry_out(gateway, None, scheduler.take_outputs());
    }
    if begun {
        list(gateway);
    }
    election::elect(gateway);
}

/// Tells the schedulers which engines there are.
pub fn list(gateway: &Rc<Gateway>) {
    let Some(configuration) = gateway.configuration() else { return };
    let engines: Vec<Description> = {
        let registry = gateway.registry();
        let engines = registry.iter().filter(|upstream| has_engine(&configuration, upstream));
        engines.cloned().collect()
    };
    with_schedulers(gateway, |zone, scheduler, now| {
        scheduler.list(engines.iter().filter(|upstream| upstream.zone == *zone), now);
    });
}

/// Takes a message of an instance.
pub fn receive(gateway: &Rc<Gateway>, client: Client, message: ToScheduler) {
    match message {
        ToScheduler::Place(placement) => place(gateway, client, *placement),
        ToScheduler::Started { ticket } => {
            let key = RequestKey { client, ticket };
            with_schedulers(gateway, |_, scheduler, now| scheduler.started(key, now));
        }
        ToScheduler::Ended { ticket, result } => {
            let key = RequestKey { client, ticket };
            with_schedulers(gateway, |_, scheduler, now| {
                scheduler.ended(key, result, now);
            });
        }
    }
}

/// Takes note that an instance's connection is gone.
pub fn disconnected(gateway: &Rc<Gateway>, client: Client) {
    with_schedulers(gateway, |_, scheduler, now| scheduler.disconnected(client, now));
}

fn place(gateway: &Rc<Gateway>, client: Client, placement: Placement) {
    let now = gateway.now();
    let ticket = placement.ticket;
    let zone = placement.zone.clone();
    let outputs = {
        let mut schedulers = gateway.leadership.schedulers.borrow_mut();
        schedulers.get_mut(&zone).map(|scheduler| {
            scheduler.place(client, placement, now);
            scheduler.take_outputs()
        })
    };
    match outputs {
        Some(outputs) => carry_out(gateway, Some(&zone), outputs),
        None => {
            let reason = Reason::NotScheduler;
            link::tell(gateway, client, ToInstance::Refuse { ticket, retry_after_ms: 0, reason });
        }
    }
}

fn tick(gateway: &Rc<Gateway>) {
    with_schedulers(gateway, |_, scheduler, now| scheduler.tick(now));
}

fn with_schedulers(gateway: &Rc<Gateway>, mut act: impl FnMut(&Arc<str>, &mut Scheduler, Instant)) {
    let now = gateway.now();
    let mut all = Vec::new();
    for (zone, scheduler) in gateway.leadership.schedulers.borrow_mut().iter_mut() {
        act(zone, scheduler, now);
        all.push((zone.clone(), scheduler.take_outputs()));
    }
    for (zone, outputs) in all {
        carry_out(gateway, Some(&zone), outputs);
    }
}

fn carry_out(gateway: &Rc<Gateway>, zone: Option<&Arc<str>>, outputs: Vec<Output>) {
    for output in outputs {
        match (output, zone) {
            (Output::Tell(client, message), _) => link::tell(gateway, client, message),
            (Output::Decided(decision), _) => log_decision(gateway, zone, &decision),
            (Output::Order(address, order), Some(zone)) => {
                monoio::spawn(give(gateway.clone(), zone.clone(), address, order));
            }
            (Output::Report(address, upstream), Some(zone)) => {
                monoio::spawn(ask(gateway.clone(), zone.clone(), address, upstream));
            }
            (Output::Fenced, Some(zone)) => {
                warn!(gateway.log, "fenced off"; "zone" => &**zone);
                let scheduler = gateway.leadership.schedulers.borrow_mut().remove(zone);
                gateway.leadership.leaders.borrow_mut().remove(zone);
                if let Some(mut scheduler) = scheduler {
                    scheduler.abandon();
                    carry_out(gateway, None, scheduler.take_outputs());
                }
                monoio::spawn(election::read_leaders(gateway.clone()));
            }
            (_, None) => {}
        }
    }
}

fn log_decision(gateway: &Rc<Gateway>, zone: Option<&Arc<str>>, decision: &Decision) {
    let upstream = decision.upstream.as_deref();
    let outcome = if upstream.is_some() { "granted" } else { "not granted" };
    metrics::counter!("orioleroute_placements_total", "reason" => decision.reason).increment(1);
    info!(gateway.log, "placement"; "request" => decision.attempt.as_deref(), "outcome" => outcome,
        "reason" => decision.reason, "step" => decision.step, "upstream" => upstream, "zone" => zone.map(|zone| &**zone),
        "waited_ms" => decision.waited.as_millis() as u64,
        "expected_ms" => decision.expected.as_millis() as u64,
        "queue_ms" => decision.queue.as_millis() as u64);
}

/// Gives an order and hands its outcome to the scheduler.
async fn give(gateway: Rc<Gateway>, zone: Arc<str>, address: SocketAddr, order: Order) {
    let outcome = match gateway.leadership.is_suspended.get() || gateway.leadership.was_frozen() {
        true => Outcome::Unsent,
        false => {
            let call = engine::order(&order, &gateway.settings().name);
            match gateway.pool.call_within(address, call, ENGINE_TIMEOUT).await {
                Ok(answer) => engine::outcome(answer.status),
                Err(error) if error.step == Step::Connect => Outcome::Unsent,
                Err(_) => Outcome::Unanswered,
            }
        }
    };
    debug!(gateway.log, "order"; "upstream" => &*order.upstream, "action" => format!("{:?}", order.action),
        "expected" => order.expected_orders, "outcome" => outcome.to_string());
    metrics::counter!("orioleroute_orders_total", "outcome" => outcome.to_string()).increment(1);
    let outputs = {
        let now = gateway.now();
        let mut schedulers = gateway.leadership.schedulers.borrow_mut();
        let scheduler =
            schedulers.get_mut(&zone).filter(|scheduler| scheduler.fencing() == order.fencing);
        scheduler.map(|scheduler| {
            scheduler.ordered(&order, outcome, now);
            scheduler.take_outputs()
        })
    };
    carry_out(&gateway, Some(&zone), outputs.unwrap_or_default());
}

/// Asks an engine for its report and hands it to the scheduler.
async fn ask(gateway: Rc<Gateway>, zone: Arc<str>, address: SocketAddr, upstream: Arc<str>) {
    let call = engine::report_request(&upstream);
    let answer = gateway.pool.call_within(address, call, ENGINE_TIMEOUT).await;
    let report = match &answer {
        Ok(answer) => engine::report(answer),
        Err(error) => {
            debug!(gateway.log, "no report"; "upstream" => &*upstream, "error" => error.to_string());
            None
        }
    };
    let outputs = {
        let now = gateway.now();
        let mut schedulers = gateway.leadership.schedulers.borrow_mut();
        schedulers.get_mut(&zone).map(|scheduler| {
            scheduler.reported(&upstream, report.as_ref(), now);
            scheduler.take_outputs()
        })
    };
    carry_out(&gateway, Some(&zone), outputs.unwrap_or_default());
}

/// Returns whether an upstream is a model engine.
pub fn has_engine(configuration: &Configuration, upstream: &Description) -> bool {
    let service = configuration.services.get(&upstream.service);
    service.is_some_and(|service| service.engine.is_some())
}
