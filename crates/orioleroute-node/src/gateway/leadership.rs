//! Runs the schedulers of the availability zones that this instance leads.
//!
//! A row in the store names the scheduler of each zone; the version of the row is the fencing token.
//! The row is written only when the scheduler changes. Heartbeats show whether the scheduler is alive,
//! so there are no renewals, and an outage of the store does not interrupt scheduling. See
//! `docs/PLATFORM.md`, section "Scheduler".

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use nix::time::{ClockId, clock_gettime};
use orioleroute::ingress::leaders::Leaders;
use orioleroute::ingress::upstream::{Announcement, Description};
use orioleroute::ingress::{Configuration, Version};
use orioleroute::prelude::*;
use orioleroute::scheduler::copies::EngineCopies;
use orioleroute::scheduler::lease::Lease;
use orioleroute::scheduler::message::{Placement, Reason, ToInstance, ToScheduler};
use orioleroute::scheduler::order::{Order, Outcome, Report};
use orioleroute::scheduler::overflow::Load;
use orioleroute::scheduler::{Client, EngineCheck, Finding, Output, RequestKey, Scheduler};
use slog::{info, warn};

use super::state::Gateway;
use super::{builds, copies, election, link, orders, origins, quarantine, reporting, sync};
use crate::{detour, quota};

/// How often elections are run.
pub const ELECTION_INTERVAL: Duration = Duration::from_millis(250);

/// The longest sleep between two ticks of the schedulers.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest sleep between two ticks, so that an overdue load does not make the loop spin.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The time between two reads of the leaders that confirm this instance as a scheduler after a loss of contact.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(1_000);

/// The client id of this instance at its own schedulers.
pub const LOCAL_CLIENT: Client = Client(0);

/// The leaders as last read from the store, and the schedulers that run in this process.
#[derive(Default)]
pub struct Leadership {
    /// What is known of the rows that name the leaders.
    pub leaders: Leaders,
    schedulers: RefCell<Map<Arc<str>, Scheduler>>,
    /// The timers of the elections.
    pub timers: election::Timers,
    /// The evidence that this instance still leads the zones that it schedules.
    lease: RefCell<Lease>,
    /// When this instance last began to schedule a zone.
    scheduling_since: Cell<Instant>,
}

impl Leadership {
    /// Passes a new configuration to the schedulers.
    pub fn configure(&self, configuration: &Arc<Configuration>) {
        for scheduler in self.schedulers.borrow_mut().values_mut() {
            scheduler.configure(configuration.clone());
        }
    }

    /// Passes the announcement of an adapter version to the schedulers.
    pub fn record_announcement(&self, announcement: &Announcement) {
        for scheduler in self.schedulers.borrow_mut().values_mut() {
            scheduler.announce(announcement);
        }
    }

    /// Returns the zones that this instance schedules.
    pub fn scheduled_zones(&self) -> Vec<Arc<str>> {
        self.schedulers.borrow().keys().cloned().collect()
    }

    /// Returns when this instance last began to schedule a zone.
    pub fn scheduling_since(&self) -> Instant {
        self.scheduling_since.get()
    }

    /// Returns the copies of adapters at the engines of each zone that this instance schedules.
    pub fn copies(&self) -> Vec<(Arc<str>, Vec<EngineCopies>)> {
        let schedulers = self.schedulers.borrow();
        schedulers.iter().map(|(zone, scheduler)| (zone.clone(), scheduler.copies())).collect()
    }

    /// Passes the copies that a predecessor recorded to the scheduler of a zone, if it runs here.
    pub fn restore_copies(&self, zone: &str, copies: Vec<EngineCopies>) {
        if let Some(scheduler) = self.schedulers.borrow_mut().get_mut(zone) {
            scheduler.restore_copies(copies);
        }
    }

    /// Returns the loads of the zones that this instance schedules.
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let schedulers = self.schedulers.borrow();
        schedulers.iter().map(|(zone, scheduler)| scheduler.load(zone, now)).collect()
    }

    /// Returns the fencing token with which this instance schedules a zone, if it does.
    pub fn fencing_token(&self, zone: &str) -> Option<u64> {
        self.schedulers.borrow().get(zone).map(Scheduler::fencing_token)
    }

    /// Records that the leaders were read from the store by a call that was sent at `sent`.
    pub fn confirm(&self, sent: Instant, now: Instant) {
        self.lease.borrow_mut().confirm(sent, now);
    }

    /// Returns whether the process was suspended since the last call.
    fn was_suspended(&self, now: Instant) -> bool {
        let clocks =
            (clock_gettime(ClockId::CLOCK_BOOTTIME), clock_gettime(ClockId::CLOCK_MONOTONIC));
        let suspension = match clocks {
            (Ok(total), Ok(running)) => {
                Some(Duration::from(total).saturating_sub(Duration::from(running)))
            }
            _ => None,
        };
        self.lease.borrow_mut().observe(suspension, now)
    }

    /// Records with which other instances there is contact.
    fn observe_contact(&self, gateway: &Gateway, now: Instant) {
        let contact = gateway.roster().contact(now);
        self.lease.borrow_mut().observe_contact(contact, now);
    }

    /// Returns whether there is evidence that nobody has taken over the zones that this instance schedules.
    fn is_confirmed(&self, gateway: &Gateway, now: Instant) -> bool {
        let contact = gateway.roster().contact(now);
        self.lease.borrow().permits_orders(false, contact, now)
    }

    /// Returns whether an order with this fencing token may be sent to an engine of a zone.
    pub fn permits_order(&self, gateway: &Gateway, zone: &str, fencing_token: u64) -> bool {
        let now = gateway.now();
        let is_fenced = gateway.settings().engines_check_fencing;
        let contact = gateway.roster().contact(now);
        !self.was_suspended(now)
            && self.fencing_token(zone) == Some(fencing_token)
            && self.lease.borrow().permits_orders(is_fenced, contact, now)
    }
}

/// Ticks the schedulers and runs elections, forever.
pub async fn run(gateway: Rc<Gateway>) {
    let mut next_election = Instant::ZERO;
    let mut next_confirmation = Instant::ZERO;
    loop {
        let now = gateway.now();
        observe_suspension(&gateway, now);
        gateway.leadership.observe_contact(&gateway, now);
        tick(&gateway);
        sync::expire_upstreams(&gateway);
        detour::probe_if_due(&gateway);
        if now >= next_election {
            next_election = now + ELECTION_INTERVAL;
            election::elect(&gateway);
            if now >= next_confirmation && lacks_confirmation(&gateway, now) {
                next_confirmation = now + CONFIRMATION_INTERVAL;
                let read = election::read_leaders(gateway.clone());
                monoio::spawn(monoio::time::timeout(CONFIRMATION_INTERVAL, read));
            }
            quarantine::follow_schedulers(&gateway);
            origins::follow_candidates(&gateway);
            quota::refresh(&gateway);
            builds::write_if_due(&gateway);
            let registry = gateway.registry();
            let is_listed = |id: &str| registry.get(id).is_some();
            gateway.connections.prune(&gateway, is_listed);
            gateway.limits.prune(is_listed);
            gateway.health().retain(|id, health| is_listed(id) || health.outstanding() > 0);
        }
        let next =
            gateway.leadership.schedulers.borrow().values().filter_map(Scheduler::next_check).min();
        let wait = next.map_or(MAX_TICK_INTERVAL, |next| next.since(gateway.now()));
        monoio::time::sleep(wait.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)).await;
    }
}

/// Holds the orders if the process was suspended, until the leaders have been read.
fn observe_suspension(gateway: &Rc<Gateway>, now: Instant) {
    if gateway.leadership.was_suspended(now) {
        warn!(gateway.log, "process was suspended, orders held until the leaders are read");
        // The monotonic clock did not count the suspension.
        gateway.feed.clear_served();
        gateway.quotas.clear_account();
        monoio::spawn(election::read_leaders(gateway.clone()));
    }
}

/// Returns the zones that this instance schedules, if there is evidence that nobody has taken them over.
pub fn confirmed_zones(gateway: &Rc<Gateway>) -> Vec<Arc<str>> {
    let now = gateway.now();
    observe_suspension(gateway, now);
    match gateway.leadership.is_confirmed(gateway, now) {
        true => gateway.leadership.scheduled_zones(),
        false => Vec::new(),
    }
}

/// Returns the fencing token of a zone for which this instance may lend quotas.
pub fn lending_token(gateway: &Rc<Gateway>, zone: &str) -> Option<u64> {
    let now = gateway.now();
    observe_suspension(gateway, now);
    let contact = gateway.roster().contact(now);
    let may_lend = gateway.leadership.lease.borrow().permits_loans(contact, now);
    gateway.leadership.fencing_token(zone).filter(|_| may_lend)
}

/// Returns whether a read of the leaders would be evidence for longer than it takes: there is contact with those that could
/// take over, but it was missing before.
fn lacks_confirmation(gateway: &Gateway, now: Instant) -> bool {
    let leadership = &gateway.leadership;
    !leadership.schedulers.borrow().is_empty()
        && gateway.roster().contact(now).covers_successors()
        && !leadership.is_confirmed(gateway, now)
}

/// Starts and stops schedulers to match the leaders, then runs elections.
pub fn reconcile(gateway: &Rc<Gateway>) {
    let own = gateway.roster().own().clone();
    let leaders = gateway.leadership.leaders.entries();
    let mut stopped = Vec::new();
    let mut has_started = false;
    for (zone, entry) in leaders {
        let is_own = entry.leader.as_ref().is_some_and(|leader| {
            leader.holder == own.name && leader.incarnation == own.incarnation
        });
        let mut schedulers = gateway.leadership.schedulers.borrow_mut();
        let fencing_token = schedulers.get(&zone).map(Scheduler::fencing_token);
        match (is_own, fencing_token) {
            (true, Some(fencing_token)) if fencing_token == entry.version => {}
            // The row was written again after the store had lost it; nobody else led the zone meanwhile.
            (true, Some(fencing_token))
                if Version::from(fencing_token).precedes_era_of(entry.version.into()) =>
            {
                info!(gateway.log, "scheduling goes on"; "zone" => &*zone, "fencing" => entry.version);
                if let Some(scheduler) = schedulers.get_mut(&zone) {
                    scheduler.renew(entry.version);
                }
            }
            // A row that a copy of the store brought back does not make this instance a scheduler again.
            (true, None) if entry.is_unconfirmed() => {}
            (true, _) => {
                let Some(configuration) = gateway.configuration() else { continue };
                let silence = gateway.leadership.timers.take_silence(&zone);
                let mut scheduler = Scheduler::succeeding(entry.version, configuration, silence);
                gateway.announcements().iter().for_each(|each| scheduler.announce(each));
                if let Some(report) = gateway.suspects.report(&zone, gateway.now()) {
                    scheduler.restore_suspects(&report, gateway.now());
                }
                scheduler.update_quarantine(gateway.suspects.verdicts(), &zone, gateway.now());
                info!(gateway.log, "scheduling begins"; "zone" => &*zone, "fencing" => entry.version);
                schedulers.insert(zone, scheduler);
                has_started = true;
            }
            (false, Some(fencing_token)) => {
                info!(gateway.log, "scheduling ends"; "zone" => &*zone, "fencing" => fencing_token,
                    "successor" => entry.leader.map(|leader| leader.holder.to_string()));
                gateway.leadership.leaders.record_left(&zone, gateway.now());
                stopped.extend(schedulers.remove(&zone));
            }
            (false, None) => {}
        }
    }
    for mut scheduler in stopped {
        scheduler.refuse_waiting();
        apply_outputs(gateway, None, scheduler.take_outputs());
    }
    if has_started {
        gateway.leadership.scheduling_since.set(gateway.now());
        update_engines(gateway);
        monoio::spawn(copies::restore(gateway.clone()));
    }
    election::elect(gateway);
}

/// Passes the listed engines of each zone to its scheduler.
pub fn update_engines(gateway: &Rc<Gateway>) {
    let Some(configuration) = gateway.configuration() else { return };
    let engines: Vec<Description> = {
        let registry = gateway.registry();
        let engines = registry.iter().filter(|upstream| has_engine(&configuration, upstream));
        engines.cloned().collect()
    };
    with_schedulers(gateway, |zone, scheduler, now| {
        scheduler.update_engines(engines.iter().filter(|upstream| upstream.zone == *zone), now);
    });
}

/// Handles a message from an instance.
pub fn handle_message(gateway: &Rc<Gateway>, client: Client, message: ToScheduler) {
    match message {
        ToScheduler::Place(placement) => handle_place(gateway, client, *placement),
        ToScheduler::Started { ticket, notice } => {
            let key = RequestKey { client, ticket };
            with_schedulers(gateway, |_, scheduler, now| {
                scheduler.handle_notice(key, notice, now);
                scheduler.handle_started(key, now);
            });
        }
        ToScheduler::Ended { ungranted: Some(ended), result, is_unconfirmed, .. } => {
            let zone = ended.zone.clone();
            with_scheduler(gateway, &zone, |scheduler, now| {
                scheduler.handle_ungranted(*ended, result, is_unconfirmed, now);
            });
        }
        ToScheduler::Began { origin, build } => {
            gateway.origins.record(origin, build, gateway.now());
        }
        ToScheduler::FindOrigin { ticket, origin, service } => {
            let testimony = origins::testify(gateway, origin, service.as_deref());
            link::send_to_instance(gateway, client, ToInstance::Origin { ticket, testimony });
        }
        ToScheduler::Charge { ticket, organisation, cost } => {
            quota::handle_charge(gateway, client, ticket, &organisation, cost);
        }
        ToScheduler::Refund { organisation, amount } => {
            gateway.quotas.refund(&organisation, amount, gateway.now());
        }
        ToScheduler::Borrow { ticket, zone, account, loans } => {
            let loans = quota::lend(gateway, &zone, &account, &loans);
            link::send_to_instance(gateway, client, ToInstance::Lent { ticket, loans });
        }
        ToScheduler::Ended { follows_suspects: true, .. } => {
            quarantine::add_follower(gateway, client);
        }
        ToScheduler::Ended { ticket, result, is_unconfirmed, notice, .. } => {
            let key = RequestKey { client, ticket };
            with_schedulers(gateway, |_, scheduler, now| {
                scheduler.handle_notice(key, notice, now);
                match is_unconfirmed {
                    true => scheduler.handle_unconfirmed_answer(key, now),
                    false => scheduler.handle_ended(key, result, now),
                }
            });
        }
    }
}

/// Handles the end of an instance's connection.
pub fn handle_disconnect(gateway: &Rc<Gateway>, client: Client) {
    with_schedulers(gateway, |_, scheduler, now| scheduler.handle_disconnect(client, now));
}

fn handle_place(gateway: &Rc<Gateway>, client: Client, placement: Placement) {
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
        Some(outputs) => apply_outputs(gateway, Some(&zone), outputs),
        None => {
            let reason = Reason::NotScheduler;
            link::send_to_instance(
                gateway,
                client,
                ToInstance::Refuse { ticket, retry_after_ms: 0, reason },
            );
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
        apply_outputs(gateway, Some(&zone), outputs);
    }
}

fn apply_outputs(gateway: &Rc<Gateway>, zone: Option<&Arc<str>>, outputs: Vec<Output>) {
    for output in outputs {
        match (output, zone) {
            (Output::Send(client, message), _) => link::send_to_instance(gateway, client, message),
            (Output::LogDecision(decision), _) => {
                reporting::report_decision(gateway, zone, &decision);
            }
            (Output::IssueOrder(address, order), Some(zone)) => {
                monoio::spawn(orders::issue(gateway.clone(), zone.clone(), address, order));
            }
            (Output::RequestReport(address, upstream), Some(zone)) => {
                monoio::spawn(orders::request_report(
                    gateway.clone(),
                    zone.clone(),
                    address,
                    upstream,
                ));
            }
            (Output::CheckEngine(address, check), Some(zone)) => {
                monoio::spawn(quarantine::check_engine(
                    gateway.clone(),
                    zone.clone(),
                    address,
                    check,
                ));
            }
            (Output::ReportSuspects(report), Some(zone)) => {
                quarantine::publish(gateway, zone, report);
            }
            (Output::Fenced, Some(zone)) => {
                warn!(gateway.log, "fenced off"; "zone" => &**zone);
                let scheduler = gateway.leadership.schedulers.borrow_mut().remove(zone);
                gateway.leadership.leaders.record_left(zone, gateway.now());
                gateway.leadership.leaders.forget(zone);
                if let Some(mut scheduler) = scheduler {
                    scheduler.refuse_waiting();
                    apply_outputs(gateway, None, scheduler.take_outputs());
                }
                monoio::spawn(election::read_leaders(gateway.clone()));
            }
            (_, None) => {}
        }
    }
}

/// Passes the outcome of an order to the scheduler that issued it.
pub fn handle_order_outcome(
    gateway: &Rc<Gateway>,
    zone: &Arc<str>,
    order: &Order,
    outcome: Outcome,
) {
    let outputs = {
        let now = gateway.now();
        let mut schedulers = gateway.leadership.schedulers.borrow_mut();
        let scheduler = schedulers.get_mut(zone).filter(|scheduler| scheduler.has_issued(order));
        scheduler.map(|scheduler| {
            scheduler.handle_order_outcome(order, outcome, now);
            scheduler.take_outputs()
        })
    };
    apply_outputs(gateway, Some(zone), outputs.unwrap_or_default());
}

/// Passes an engine's report to the scheduler of its zone, or `None` if it did not send one.
pub fn handle_report(
    gateway: &Rc<Gateway>,
    zone: &Arc<str>,
    upstream: &str,
    report: Option<&Report>,
) {
    with_scheduler(gateway, zone, |scheduler, now| scheduler.handle_report(upstream, report, now));
}

/// Passes the result of the check of an upstream to the scheduler of its zone.
pub fn handle_check(gateway: &Rc<Gateway>, zone: &Arc<str>, check: &EngineCheck, finding: Finding) {
    with_scheduler(gateway, zone, |scheduler, now| scheduler.handle_check(check, finding, now));
}

/// Lets the scheduler of a zone act, if it runs here.
fn with_scheduler(
    gateway: &Rc<Gateway>,
    zone: &Arc<str>,
    act: impl FnOnce(&mut Scheduler, Instant),
) {
    let outputs = {
        let now = gateway.now();
        let mut schedulers = gateway.leadership.schedulers.borrow_mut();
        schedulers.get_mut(zone).map(|scheduler| {
            act(scheduler, now);
            scheduler.take_outputs()
        })
    };
    apply_outputs(gateway, Some(zone), outputs.unwrap_or_default());
}

/// Passes the verdicts on requests and prompt parts to the schedulers that run here.
pub fn update_quarantine(gateway: &Rc<Gateway>) {
    with_schedulers(gateway, |zone, scheduler, now| {
        scheduler.update_quarantine(gateway.suspects.verdicts(), zone, now);
    });
}

/// Returns whether an upstream is a model engine.
pub fn has_engine(configuration: &Configuration, upstream: &Description) -> bool {
    let service = configuration.services.get(&upstream.service);
    service.is_some_and(|service| service.engine.is_some())
}
