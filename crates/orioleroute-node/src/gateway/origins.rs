//! Shares the software versions at which streams began with some instances, and asks them when a client takes a stream up.
//! The decisions are in `orioleroute::ingress::origins`.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;

use local_sync::mpsc;
use orioleroute::ingress::builds::Builds;
use orioleroute::ingress::origins::{
    Evidence, Finding, HOLDERS, Inquiry, ORIGIN_TTL, Origin, Origins, Testimony, candidates,
};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{ToInstance, ToScheduler};
use orioleroute_platform::records;
use orioleroute_platform::store::Error;
use slog::debug;

use super::link::{self, SchedulerHandle};
use super::state::Gateway;
use super::sync::CLUSTER_TABLE;
use super::{builds, leadership};

/// The longest wait for those who may know where a stream began: a round trip between regions takes 24 ms, and a busy
/// processor adds some tens of milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest search while some schedulers are out of reach: the time in which a lost connection is replaced, twice.
const SEARCH_TIME: Duration = Duration::from_millis(700);

/// The share of a client's remaining time that the search may take.
const SEARCH_SHARE: f64 = 0.2;

/// The pause before schedulers that are out of reach are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often those that may hold a record are asked, because connections to them may just be opened.
const RECORD_ROUNDS: u32 = 3;

/// The least time between two reads of the list in the store, which bounds the calls while many streams are taken up. It is
/// shorter than a search.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// What the store says of builds.
#[derive(Default)]
struct Listed {
    /// The builds of each service's upstreams.
    builds: Map<Arc<str>, Set<Arc<str>>>,
    /// The row that names those that have just left as well.
    recorded: Builds,
}

impl Listed {
    fn of(&self, service: &str) -> impl Iterator<Item = Arc<str>> {
        self.builds.get(service).into_iter().flatten().chain(self.recorded.of(service)).cloned()
    }
}

/// The builds at which streams began, as far as they are known here, and what the store lists.
#[derive(Default)]
pub struct Shared {
    origins: RefCell<Origins>,
    /// The instances that record streams for others, while upstreams of several builds serve.
    candidates: RefCell<Vec<Arc<str>>>,
    /// The last read of the list, and when it was sent.
    listed: RefCell<Option<(Instant, Rc<Listed>)>>,
    /// The searches that wait for a read, and when they began.
    waiting: RefCell<Vec<(Instant, mpsc::unbounded::Tx<Rc<Listed>>)>>,
    is_reading: Cell<bool>,
}

impl Shared {
    /// Records where a stream began, for another instance.
    pub fn record(&self, origin: Origin, build: Arc<str>, now: Instant) {
        self.origins.borrow_mut().record(origin, build, now);
    }

    /// Returns the build at which a stream began, if that is known here.
    pub fn build(&self, origin: Origin) -> Option<Arc<str>> {
        self.origins.borrow().build(origin)
    }
}

/// Connects to the instances that record streams for others, while upstreams of several builds serve.
pub fn follow_candidates(gateway: &Rc<Gateway>) {
    if !gateway.registry().has_several_builds(gateway.now()) {
        return;
    }
    let candidates = listed_candidates(gateway);
    for name in &candidates {
        link::instance(gateway, name);
    }
    *gateway.origins.candidates.borrow_mut() = candidates;
}

fn listed_candidates(gateway: &Rc<Gateway>) -> Vec<Arc<str>> {
    let roster = gateway.roster();
    let peers = roster.peers().map(|member| member.name.clone());
    candidates(peers.chain([roster.own().name.clone()]))
}

/// Records at which build a stream of a service begins: here, and at the instances that are to hold it if upstreams of other
/// builds serve beside it. Otherwise their messages would cost more than the few streams that begin just before a release.
pub fn record(gateway: &Rc<Gateway>, service: &str, attempt: &str, build: &Arc<str>) {
    let origin = Origin::of(attempt);
    let now = gateway.now();
    gateway.origins.record(origin, build.clone(), now);
    if gateway.registry().recent_builds(service, now).iter().all(|other| other == build) {
        return;
    }
    let own = gateway.roster().own().name.clone();
    let candidates = gateway.origins.candidates.borrow();
    let others = origin.holders(&candidates).into_iter().filter(|name| **name != own);
    // Those that stop take their records with them.
    let is_staying = |name: &&Arc<str>| !gateway.roster().is_out_of_service(name);
    let (staying, leaving): (Vec<_>, Vec<_>) = others.partition(is_staying);
    let in_reach = staying
        .into_iter()
        .chain(leaving)
        .filter_map(|name| link::instance(gateway, name))
        .filter(SchedulerHandle::is_current);
    for holder in in_reach.take(HOLDERS) {
        holder.send(gateway, ToScheduler::Began { origin, build: build.clone() });
    }
}

/// Finds the build at which a stream of a service began whose client takes it up.
pub async fn find(
    gateway: &Rc<Gateway>,
    service: &Arc<str>,
    attempt: Option<&str>,
    time_left: Duration,
) -> Finding {
    let origin = Origin::of(attempt.unwrap_or_default());
    if let Some(build) = gateway.origins.build(origin) {
        return Finding::Known(build, Evidence::OwnRecord);
    }
    let limit = time_left.mul_f64(SEARCH_SHARE).min(SEARCH_TIME);
    let found = monoio::time::timeout(limit, search(gateway, service, origin)).await;
    found.unwrap_or(Finding::Unknown)
}

/// Asks the schedulers, and those that may hold a record if one is needed, until the build is known, and the store if some
/// schedulers are out of reach.
async fn search(gateway: &Rc<Gateway>, service: &Arc<str>, origin: Origin) -> Finding {
    let begun = gateway.now();
    let builds = gateway.registry().recent_builds(service, begun);
    let mut inquiry = Inquiry::new(builds, gateway.leadership.leaders.led_zones());
    let mut list = pin!(read_list(gateway, begun));
    let mut record_rounds = 0;
    loop {
        record_rounds += u32::from(inquiry.needs_record());
        let has_asked_all = ask(gateway, service, origin, &mut inquiry).await;
        match inquiry.finding() {
            // The schedulers have named several builds just now.
            Some(Finding::Unknown) if record_rounds == 0 && inquiry.needs_record() => continue,
            Some(Finding::Unknown) if !has_asked_all && record_rounds < RECORD_ROUNDS => {}
            Some(finding) => return finding,
            None => {}
        }
        monoio::select! {
            listed = &mut list, if !inquiry.has_list() => {
                // Without a row nothing tells what was listed before this instance started.
                let now = gateway.now();
                match now >= Instant::ZERO + ORIGIN_TTL || listed.recorded.of(service).next().is_some() {
                    true => inquiry.record_list(listed.of(service)),
                    false => list.set(read_list(gateway, now)),
                }
            }
            () = monoio::time::sleep(RETRY_DELAY) => {}
        }
        if let Some(finding @ Finding::Known(..)) = inquiry.finding() {
            return finding;
        }
    }
}

/// Returns what this instance says of a stream.
pub fn testify(gateway: &Rc<Gateway>, origin: Origin, service: Option<&str>) -> Testimony {
    let build = gateway.origins.build(origin);
    let now = gateway.now();
    let has_all = |service: &&str| gateway.registry().has_all_builds(service, now);
    let Some(service) = service.filter(has_all) else {
        return Testimony { build, ..Testimony::default() };
    };
    let builds = gateway.registry().recent_builds(service, now);
    let zones = leadership::confirmed_zones(gateway);
    Testimony { build, zones, builds: builds.into_iter().collect() }
}

/// Asks the schedulers of all zones, one of which has granted the stream, and if a record is needed those that may hold one.
/// Returns whether all that may hold one were asked.
async fn ask(
    gateway: &Rc<Gateway>,
    service: &Arc<str>,
    origin: Origin,
    inquiry: &mut Inquiry,
) -> bool {
    inquiry.record_testimony(testify(gateway, origin, Some(service)));
    let leaders = &gateway.leadership.leaders;
    let zones = leaders.led_zones();
    let schedulers = zones.iter().filter(|zone| link::scheduler_of(gateway, zone).is_some());
    let mut names: Set<Arc<str>> =
        schedulers.filter_map(|zone| Some(leaders.leader(zone)?.holder)).collect();
    if inquiry.needs_record() {
        names.extend(listed_candidates(gateway));
    }
    names.remove(&gateway.roster().own().name);
    let (sender, mut answers) = mpsc::unbounded::channel();
    let mut asked: Vec<(SchedulerHandle, u64)> = Vec::new();
    for name in &names {
        let Some(instance) = link::instance(gateway, name) else { continue };
        let ticket = gateway.links.next_ticket();
        let service = Some(service.clone());
        let question = ToScheduler::FindOrigin { ticket, origin, service };
        if instance.ask(gateway, ticket, sender.clone(), question) {
            asked.push((instance, ticket));
        }
    }
    drop(sender);
    let receive = async {
        while let Some(answer) = answers.recv().await {
            if let ToInstance::Origin { testimony, .. } = answer {
                inquiry.record_testimony(testimony);
                if let Some(Finding::Known(..)) = inquiry.finding() {
                    return;
                }
            }
        }
    };
    // Those that have not answered in time are out of reach.
    let _ = monoio::time::timeout(ANSWER_TIMEOUT, receive).await;
    let has_asked_all = asked.len() == names.len();
    for (instance, ticket) in asked {
        instance.discard(gateway, ticket);
    }
    has_asked_all
}

/// Returns the builds that the store lists, by a read that is sent at `begun` or later.
async fn read_list(gateway: &Rc<Gateway>, begun: Instant) -> Rc<Listed> {
    loop {
        let listed = gateway.origins.listed.borrow().clone();
        if let Some((_, listed)) = listed.filter(|(sent, _)| *sent >= begun) {
            return listed;
        }
        let (sender, mut receiver) = mpsc::unbounded::channel();
        gateway.origins.waiting.borrow_mut().push((begun, sender));
        if !gateway.origins.is_reading.replace(true) {
            monoio::spawn(read_lists(gateway.clone()));
        }
        // Closed without an answer if the read has failed.
        if let Some(listed) = receiver.recv().await {
            return listed;
        }
    }
}

/// Reads the list from the store while searches wait for it, one read at a time.
async fn read_lists(gateway: Rc<Gateway>) {
    let shared = &gateway.origins;
    while !shared.waiting.borrow().is_empty() {
        let sent = gateway.now();
        metrics::counter!("orioleroute_origin_list_reads_total").increment(1);
        match read_builds(&gateway).await {
            Ok(listed) => {
                let listed = Rc::new(listed);
                *shared.listed.borrow_mut() = Some((sent, listed.clone()));
                shared.waiting.borrow_mut().retain(|(begun, sender)| {
                    let is_later = *begun > sent;
                    if !is_later {
                        // Fails if the search has ended.
                        let _ = sender.send(listed.clone());
                    }
                    is_later
                });
            }
            Err(error) => {
                debug!(gateway.log, "reading the listed builds failed"; "error" => error.to_string());
                shared.waiting.borrow_mut().clear();
            }
        }
        monoio::time::sleep(LIST_INTERVAL.saturating_sub(gateway.now().since(sent))).await;
    }
    shared.is_reading.set(false);
}

async fn read_builds(gateway: &Gateway) -> Result<Listed, Error> {
    let mut listed = Listed::default();
    let rows = gateway.store.read(records::UPSTREAMS_TABLE).await?.rows;
    // The watches of the tables log malformed rows.
    for row in &rows {
        let Some(value) = &row.value else { continue };
        let Ok(upstream) = records::upstream(&row.key, value) else { continue };
        listed.builds.entry(upstream.service).or_default().insert(upstream.build);
    }
    let row = gateway.store.read_row(CLUSTER_TABLE, builds::KEY).await?;
    let recorded = row.and_then(|row| serde_json::from_slice(row.value.as_deref()?).ok());
    listed.recorded = recorded.unwrap_or_default();
    Ok(listed)
}
