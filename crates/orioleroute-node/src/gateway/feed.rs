//! The feeds between instances: serves the tables that this instance reads, and follows the readers of its
//! region while it does not read the store itself. The decisions are in `orioleroute::ingress::feed`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use local_sync::mpsc;
use orioleroute::ingress::Version;
use orioleroute::ingress::access::{Access, Span};
use orioleroute::ingress::feed::{
    self, Message, Projection, Replica, Row, SOURCES, Sources, Subscription, Table, ToReader,
    Update,
};
use orioleroute::ingress::outbox::{Outbox, Outgoing};
use orioleroute::ingress::roster::Member;
use orioleroute::prelude::*;
use orioleroute_wire::http1::socket::Socket;
use orioleroute_wire::lines::Lines;
use slog::info;
use strum::IntoEnumIterator;

use super::state::Gateway;
use super::sync;
use crate::follower::{Addressed, Follower, MAX_MESSAGE_BYTES, decode, write_in_parts};
use crate::line::Line;
use crate::traffic;

/// How often an instance checks whether it is a reader and whom it follows.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);

/// The longest wait for a connection to a reader; a round trip within a region takes a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection to a reader may be silent before it is replaced.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The pause after a lost connection.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// What is in force here and not in the operator's table, as a kind of message in metrics.
const IN_FORCE: &str = "in_force";

/// That data is not current, as a kind of message in metrics.
const LOST: &str = "lost";

/// The tables as this instance knows them, and its part in passing them on.
#[derive(Default)]
pub struct Feed {
    replicas: RefCell<Map<Table, Replica>>,
    sources: RefCell<Sources>,
    /// The connections to readers, by the reader's name.
    followed: RefCell<Map<Arc<str>, Rc<Cell<bool>>>>,
    followers: RefCell<Map<u64, Follower>>,
    next_follower: Cell<u64>,
    projections: RefCell<Map<Arc<str>, Projection>>,
    is_reader: Cell<bool>,
    /// Whether this instance is to be a reader as soon as the store serves it.
    is_candidate: Cell<bool>,
    /// The tables that this instance reads from the store, and how the last call ended.
    reads: RefCell<Map<Table, Read>>,
    /// When a call about a table failed last, until one is answered.
    failed: RefCell<Map<Table, Instant>>,
    /// The number of failed calls to the store.
    failures: Cell<u64>,
    /// The outcomes of the calls about the upstreams.
    access: Cell<Access>,
    /// When the store answered this instance or a reader that it follows.
    served: Cell<Option<Span>>,
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Read {
    Answered,
    Failed,
}

/// What an update changed.
pub struct Changes {
    /// The changed rows.
    pub rows: Vec<Row>,
    /// How the table was known before.
    pub extent: Extent,
}

/// What the changed rows of a table are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// All rows of a table that was not known before.
    Whole,
    /// Those that were written or removed.
    Written,
    /// Those by which the copy from which the store has come back differs from what was known. A row that the copy
    /// lacks was not removed: the write of it is lost.
    Restored,
}

impl Feed {
    /// Returns the version up to which a table is known, or `None` before it has been read.
    pub fn version(&self, table: Table) -> Option<u64> {
        self.replicas.borrow().get(&table).and_then(Replica::version)
    }

    /// Returns whether this instance is a reader of its region.
    pub fn is_reader(&self) -> bool {
        self.is_reader.get()
    }

    /// Returns whether this instance has been replaced as a reader because its calls about a table fail, and
    /// has to find out when they are answered again.
    pub fn probes_store(&self, table: Table) -> bool {
        self.is_candidate.get() && self.is_failing(table)
    }

    /// Returns whether this instance has to watch a table itself.
    pub fn reads_store(&self, gateway: &Gateway, table: Table) -> bool {
        let jitter = feed::jitter(&gateway.roster().own().name);
        let sources = self.sources.borrow();
        self.is_reader.get() || sources.require_watch(table, jitter, gateway.now())
    }

    /// Returns the number of instances that follow this one.
    pub fn follower_count(&self) -> usize {
        self.followers.borrow().len()
    }

    /// Returns whether no reader that is followed has current data of the upstreams.
    pub fn has_no_source(&self) -> bool {
        self.sources.borrow().lacks(Table::Upstreams)
    }

    /// Returns this instance's access to the store.
    pub fn access(&self) -> Access {
        self.access.get()
    }

    /// Records that this instance does not read the table from the store.
    pub fn end_reads(&self, table: Table) {
        self.reads.borrow_mut().remove(&table);
        if table == Table::Upstreams {
            self.access.set(Access::Unused);
        }
    }

    /// Returns since when the store has served this instance or a reader that it follows, if it does.
    pub fn served_since(&self, now: Instant) -> Option<Instant> {
        self.served.get().and_then(|span| span.available_since(now))
    }

    /// Begins a new span of answers, because this process was suspended and the store may have been away.
    pub fn clear_served(&self) {
        self.access.set(Access::Unused);
        self.served.set(None);
    }

    /// Records that the store has answered this instance or a reader that it follows.
    fn record_served(&self, now: Instant) -> Span {
        let span = Span::continued(self.served.get(), now);
        self.served.set(Some(span));
        span
    }

    /// Returns whether the last call to the store about a table failed.
    pub fn is_failing(&self, table: Table) -> bool {
        self.reads.borrow().get(&table) == Some(&Read::Failed)
    }

    /// Returns whether the last call to the store about a table was answered, and this instance goes on reading it.
    fn is_current(&self, table: Table) -> bool {
        self.reads.borrow().get(&table) == Some(&Read::Answered)
    }

    /// Returns whether a call to the store about any table failed last.
    fn is_any_failing(&self) -> bool {
        self.reads.borrow().values().any(|read| *read == Read::Failed)
    }

    /// Returns the tables about which calls have lately failed.
    fn unread(&self, now: Instant) -> Vec<Table> {
        let failed = self.failed.borrow();
        let has_failed = |table: &Table| {
            let is_recent = |at: &Instant| now.since(*at) < feed::UNREAD_TIME;
            self.is_failing(*table) || failed.get(table).is_some_and(is_recent)
        };
        Table::iter().filter(has_failed).collect()
    }

    /// Returns the number of failed calls to the store. A change shows the tasks that watch other tables
    /// that their connections may have gone silent too.
    pub fn failures(&self) -> u64 {
        self.failures.get()
    }

    /// Records a failed call to the store, and notifies the followers.
    pub fn record_failure(&self, table: Table, now: Instant) {
        if table == Table::Upstreams {
            self.access.set(Access::Failed);
        }
        self.failures.set(self.failures.get() + 1);
        self.failed.borrow_mut().insert(table, now);
        if self.reads.borrow_mut().insert(table, Read::Failed) != Some(Read::Failed) {
            self.notify(&Message::TableLost(table));
        }
    }

    /// Notifies the followers that the data of this instance is no longer current.
    fn notify(&self, loss: &Message) {
        let message = Addressed::new(LOST, loss);
        self.followers.borrow().values().for_each(|follower| follower.send(message.clone()));
    }

    /// Applies an update that was read from the store, passes it on, and returns what it changed.
    pub fn apply_read(&self, update: &Update, now: Instant) -> Changes {
        self.reads.borrow_mut().insert(update.table, Read::Answered);
        self.failed.borrow_mut().remove(&update.table);
        if update.table == Table::Upstreams {
            self.access.set(Access::Answered(self.record_served(now)));
        }
        let changes = self.apply(update);
        if self.is_reader.get() {
            self.publish(update);
        }
        // A read follows on what is known, so there is no gap.
        changes.unwrap_or(Changes { rows: Vec::new(), extent: Extent::Written })
    }

    fn apply(&self, update: &Update) -> Result<Changes, feed::Gap> {
        let mut replicas = self.replicas.borrow_mut();
        let replica = replicas.entry(update.table).or_default();
        let before = replica.version().map(Version::from);
        let rows = replica.apply(update)?;
        let extent = match before {
            None => Extent::Whole,
            Some(before) if before.precedes_era_of(update.version.into()) => Extent::Restored,
            Some(_) => Extent::Written,
        };
        Ok(Changes { rows, extent })
    }

    /// Returns whether an update is from before the store came back from a copy.
    fn is_outdated(&self, update: &Update) -> bool {
        let known = self.version(update.table).map(Version::from);
        known.is_some_and(|known| Version::from(update.version).precedes_era_of(known))
    }

    /// Returns the row of a table with this key, if it has a value.
    pub fn row(&self, table: Table, key: &str) -> Option<Row> {
        let replicas = self.replicas.borrow();
        replicas.get(&table)?.row(key).cloned()
    }

    fn publish(&self, update: &Update) {
        let followers = self.followers.borrow();
        let mut messages: Map<Arc<str>, Addressed> = Map::default();
        for follower in followers.values() {
            let message = messages.entry(follower.zone.clone()).or_insert_with(|| {
                let mut projections = self.projections.borrow_mut();
                let projection = projections
                    .entry(follower.zone.clone())
                    .or_insert_with(|| Projection::new(follower.zone.clone()));
                let message = Message::Update(projection.apply(update));
                Addressed::new(update.table.into(), &message)
            });
            follower.send_update(update.table, update.after, message.clone());
        }
    }

    /// Sends the followers what is in force here and is not in the operator's table.
    pub fn publish_in_force(&self, gateway: &Gateway) {
        if let Some(message) = self.in_force(gateway) {
            self.followers.borrow().values().for_each(|it| it.send(message.clone()));
        }
    }

    /// Returns the message about what is in force here and is not in the operator's table, if there is such.
    fn in_force(&self, gateway: &Gateway) -> Option<Addressed> {
        let replicas = self.replicas.borrow();
        let table = replicas.get(&Table::Operator);
        let records = gateway.in_force(|record| {
            let row = table.and_then(|table| table.row(&record.key));
            row.is_none_or(|row| row.value.as_ref() != Some(&record.value))
        });
        (!records.is_empty()).then(|| Addressed::new(IN_FORCE, &Message::InForce(records)))
    }

    /// Sends a new follower what it lacks, and which tables are not current here.
    fn send_initial(&self, follower: &Follower, subscription: &Subscription) {
        if !self.is_reader.get() {
            return follower.send(Addressed::new(LOST, &Message::Lost));
        }
        for table in Table::iter() {
            let known = subscription.versions.iter().find(|(known, _)| *known == table);
            let after = known.map(|(_, version)| *version);
            if let Some(message) = self.changes(table, after, &follower.zone) {
                follower.send_update(table, after, message);
            }
        }
        for table in Table::iter().filter(|table| !self.is_current(*table)) {
            follower.send(Addressed::new(LOST, &Message::TableLost(table)));
        }
    }

    /// Returns all changes to a table after a version for the followers of a zone, or the whole table.
    fn changes(&self, table: Table, after: Option<u64>, zone: &Arc<str>) -> Option<Addressed> {
        let replicas = self.replicas.borrow();
        let update = replicas.get(&table)?.since(table, after)?;
        let update = Projection::new(zone.clone()).project(&update);
        Some(Addressed::new(table.into(), &Message::Update(update)))
    }
}

/// Decides repeatedly whether this instance is a reader and whom it follows, forever.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        let now = gateway.now();
        let feed = &gateway.feed;
        gateway.roster().set_store(feed.access());
        gateway.roster().set_unread(feed.unread(now));
        let own = gateway.roster().own().name.clone();
        let readers = gateway.roster().readers(now);
        feed.is_candidate.set(gateway.roster().is_reader_candidate(now));
        let is_reader = readers.contains(&own) && now >= Instant::ZERO + feed::ELECTION_TIME;
        if feed.is_reader.replace(is_reader) != is_reader {
            info!(gateway.log, "feed role changed"; "reader" => is_reader);
            if !is_reader {
                feed.notify(&Message::Lost);
            }
            metrics::gauge!("orioleroute_feed_reader").set(f64::from(u8::from(is_reader)));
        }
        let has_caught_up = now >= Instant::ZERO + feed::CATCH_UP_TIME;
        let follows = !is_reader || !has_caught_up || feed.is_any_failing();
        let wanted = match follows {
            true => gateway.roster().sources(SOURCES, now),
            false => Vec::new(),
        };
        update_followed(&gateway, &wanted);
        if let Some(age) = feed.sources.borrow().age(now) {
            metrics::gauge!("orioleroute_feed_age_seconds").set(age.as_secs_f64());
        }
        monoio::time::sleep(ROLE_INTERVAL).await;
    }
}

/// Connects to the wanted readers and drops the connections to others.
fn update_followed(gateway: &Rc<Gateway>, wanted: &[Arc<str>]) {
    let feed = &gateway.feed;
    feed.followed.borrow_mut().retain(|reader, is_wanted| {
        let keeps = wanted.contains(reader);
        is_wanted.set(keeps);
        if !keeps {
            feed.sources.borrow_mut().record_loss(reader, gateway.now());
        }
        keeps
    });
    for reader in wanted {
        let member = gateway.roster().member(reader).cloned();
        let Some(member) = member else { continue };
        let mut followed = feed.followed.borrow_mut();
        if !followed.contains_key(reader) {
            let is_wanted = Rc::new(Cell::new(true));
            followed.insert(reader.clone(), is_wanted.clone());
            monoio::spawn(follow(gateway.clone(), member, is_wanted));
        }
    }
}

/// Follows one reader for as long as it is wanted.
async fn follow(gateway: Rc<Gateway>, reader: Member, is_wanted: Rc<Cell<bool>>) {
    while is_wanted.get() {
        let error = match Socket::connect(reader.peer_address, CONNECT_TIMEOUT).await {
            Ok(socket) => receive(&gateway, &reader, socket, &is_wanted).await,
            Err(error) => error.to_string(),
        };
        if is_wanted.get() {
            info!(gateway.log, "feed lost"; "reader" => &*reader.name, "error" => error);
            gateway.feed.sources.borrow_mut().record_loss(&reader.name, gateway.now());
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Subscribes and applies updates until the connection ends, and returns the reason.
async fn receive(
    gateway: &Rc<Gateway>,
    reader: &Member,
    mut socket: Socket,
    is_wanted: &Cell<bool>,
) -> String {
    let known = |table| gateway.feed.version(table).map(|version| (table, version));
    let subscription = Subscription {
        zone: gateway.roster().own().zone.clone(),
        versions: Table::iter().filter_map(known).collect(),
        unpacks: true,
    };
    let message = Line::of(&ToReader::Subscribe(subscription)).text(false);
    if let Err(error) = socket.write(message.as_bytes()).await {
        return error.to_string();
    }
    let mut lines = Lines::new(MAX_MESSAGE_BYTES);
    // The first update of a table is what the reader knew before.
    let mut has_state = false;
    while is_wanted.get() {
        loop {
            let message = match lines.take(&mut socket.input) {
                Ok(Some(line)) => decode(&line),
                Ok(None) => break,
                Err(error) => return error.to_string(),
            };
            match message {
                Ok(Message::Update(update)) => {
                    let is_outdated = gateway.feed.is_outdated(&update);
                    if update.table == Table::Upstreams
                        && std::mem::replace(&mut has_state, true)
                        && !is_outdated
                    {
                        gateway.feed.record_served(gateway.now());
                    }
                    metrics::counter!("orioleroute_feed_updates_received_total").increment(1);
                    // A reader that has not noticed the return of the store is not current.
                    if is_outdated {
                        continue;
                    }
                    let changes = match gateway.feed.apply(&update) {
                        Ok(changes) => changes,
                        Err(gap) => return gap.to_string(),
                    };
                    let mut sources = gateway.feed.sources.borrow_mut();
                    sources.record_update(&reader.name, update.table, gateway.now());
                    drop(sources);
                    sync::apply(gateway, update.table, changes);
                }
                Ok(Message::InForce(records)) => {
                    records.iter().for_each(|record| sync::apply_operator_record(gateway, record));
                }
                Ok(Message::Lost) => {
                    gateway.feed.sources.borrow_mut().record_loss(&reader.name, gateway.now());
                    sync::observe_loss(gateway);
                }
                Ok(Message::TableLost(table)) => {
                    let mut sources = gateway.feed.sources.borrow_mut();
                    sources.record_table_loss(&reader.name, table, gateway.now());
                    drop(sources);
                    if table == Table::Upstreams {
                        sync::observe_loss(gateway);
                    }
                }
                Ok(Message::Packed(_)) => return "a packed message within another".into(),
                Err(error) => return error,
            }
        }
        match monoio::time::timeout(IDLE_TIMEOUT, socket.fill()).await {
            Ok(Ok(read)) if read > 0 => {}
            Ok(Ok(_)) => return "closed".into(),
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "silent".into(),
        }
    }
    "no longer followed".into()
}

/// Serves a follower until its connection ends.
pub async fn serve(gateway: Rc<Gateway>, mut socket: Socket, subscription: Subscription) {
    let feed = &gateway.feed;
    let reach = traffic::reach(&gateway, &subscription.zone);
    let (wake, mut woken) = mpsc::unbounded::channel();
    let (zone, unpacks) = (subscription.zone.clone(), subscription.unpacks);
    let outbox: Rc<RefCell<Outbox<Addressed>>> = Rc::default();
    let follower = Follower { zone: zone.clone(), outbox: outbox.clone(), wake };
    if let Some(message) = feed.in_force(&gateway) {
        follower.send(message);
    }
    feed.send_initial(&follower, &subscription);
    let id = feed.next_follower.get();
    feed.next_follower.set(id + 1);
    feed.followers.borrow_mut().insert(id, follower);
    loop {
        let is_awake = monoio::select! {
            woken = woken.recv() => woken.is_some(),
            // A follower sends nothing after its subscription, so this is the end of the connection.
            _ = socket.fill() => false,
        };
        if !is_awake {
            break;
        }
        // Merged updates leave more wakes than messages.
        let Some(outgoing) = outbox.borrow_mut().pop() else { continue };
        let message = match outgoing {
            Outgoing::Other(message) | Outgoing::Update { message, .. } => Some(message),
            Outgoing::Changes { table, after } => feed.changes(table, after, &zone),
        };
        let Some(Addressed { kind, line }) = message else { continue };
        let text = line.text(unpacks);
        metrics::counter!("orioleroute_feed_updates_sent_total").increment(1);
        traffic::count_bytes(kind, reach, text.len());
        if !write_in_parts(&mut socket, text.as_bytes()).await {
            break;
        }
    }
    feed.followers.borrow_mut().remove(&id);
}
