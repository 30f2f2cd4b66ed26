//! Replicas of tables that a few readers pass on to many followers.
//!
//! Guards against a follower that goes back to an older row, keeps a removed one, or stops learning of
//! changes without noticing, whatever its readers do: fall behind, repeat themselves, restart, or read
//! the whole table again.

use std::net::SocketAddr;

use orioleroute::ingress::access::{Access, Report};
use orioleroute::ingress::feed::{
    MAX_JITTER, Projection, READERS_PER_REGION, Replica, Row, SOURCE_TIMEOUT, SOURCES, Sources,
    Table, Update, jitter, retry_delay,
};
use orioleroute::ingress::outbox::{Outbox, Outgoing};
use orioleroute::ingress::roster::{Heartbeat, Member, Roster};
use orioleroute::ingress::upstream::{Description, Model, Revision, State};
use orioleroute::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

fn row(key: &str, version: u64, value: Option<&str>) -> Row {
    Row { key: key.into(), version, value: value.map(Arc::from), is_summary: false }
}

fn update(after: Option<u64>, version: u64, rows: &[Row]) -> Update {
    Update { table: Table::Operator, after, version, rows: rows.to_vec() }
}

fn contents(replica: &Replica) -> Vec<(String, u64)> {
    let mut rows: Vec<_> = replica.rows().map(|row| (row.key.to_string(), row.version)).collect();
    rows.sort();
    rows
}

/// A replica with the rows `a` and `b`, written at the versions 1 and 2.
fn replica() -> Replica {
    let mut replica = Replica::default();
    let rows = [row("a", 1, Some("1")), row("b", 2, Some("2"))];
    replica.apply(&update(None, 2, &rows)).unwrap();
    replica
}

#[test]
fn an_update_that_arrives_again_or_late_changes_nothing() {
    let mut replica = replica();
    let old = update(Some(2), 3, &[row("a", 3, Some("3"))]);
    let new = update(Some(2), 4, &[row("a", 4, Some("4"))]);
    replica.apply(&new).unwrap();

    let changed = replica.apply(&old).unwrap();

    assert_eq!(changed, []);
    assert_eq!(contents(&replica), [("a".to_owned(), 4), ("b".to_owned(), 2)]);
    assert_eq!(replica.version(), Some(4));
}

#[test]
fn an_update_after_a_missing_one_is_not_applied() {
    let mut replica = replica();

    let applied = replica.apply(&update(Some(5), 6, &[row("a", 6, Some("6"))]));

    assert!(applied.is_err());
    assert_eq!(replica.version(), Some(2));
}

/// A reader that has fallen behind sends a row that was removed before the follower knew of it.
#[test]
fn an_older_update_does_not_bring_back_a_row_that_was_removed() {
    let mut replica = Replica::default();
    replica.apply(&update(None, 2, &[])).unwrap();

    let changed = replica.apply(&update(None, 1, &[row("a", 1, Some("1"))])).unwrap();

    assert_eq!(changed, []);
    assert_eq!(contents(&replica), []);
}

#[test]
fn a_whole_table_removes_the_rows_that_it_lacks() {
    let mut replica = replica();
    replica.apply(&update(Some(2), 7, &[row("c", 7, Some("7"))])).unwrap();

    let rows = [row("b", 2, Some("2")), row("c", 9, Some("9"))];
    let changed = replica.apply(&update(None, 8, &rows)).unwrap();

    assert_eq!(changed, [row("a", 8, None), row("c", 9, Some("9"))]);
    assert_eq!(contents(&replica), [("b".to_owned(), 2), ("c".to_owned(), 9)]);
}

/// A reader that has read the whole table again does not know what was removed before.
#[test]
fn a_follower_from_before_a_whole_read_gets_the_whole_table() {
    let mut reader = replica();
    reader.apply(&update(None, 9, &[row("b", 2, Some("2"))])).unwrap();

    let catch_up = reader.since(Table::Operator, Some(5)).unwrap();

    assert_eq!(catch_up.after, None);
    assert_eq!(reader.since(Table::Operator, Some(9)).unwrap().after, Some(9));
}

/// What a step of [`a_follower_converges`] does.
#[derive(Clone, Debug)]
enum Step {
    Write {
        key: u8,
    },
    Remove {
        key: u8,
    },
    /// A reader reads the changes, or the whole table.
    Read {
        reader: usize,
        is_whole: bool,
    },
    /// A reader loses its memory.
    Restart {
        reader: usize,
    },
    /// The follower gets the next messages of a reader, perhaps twice.
    Deliver {
        reader: usize,
        is_repeated: bool,
    },
    /// The follower connects to a reader again; the messages on the way are lost.
    Reconnect {
        reader: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..6_u8).prop_map(|key| Step::Write { key }),
        2 => (0..6_u8).prop_map(|key| Step::Remove { key }),
        5 => (0..2_usize, prop::bool::weighted(0.2))
            .prop_map(|(reader, is_whole)| Step::Read { reader, is_whole }),
        1 => (0..2_usize).prop_map(|reader| Step::Restart { reader }),
        5 => (0..2_usize, any::<bool>())
            .prop_map(|(reader, is_repeated)| Step::Deliver { reader, is_repeated }),
        2 => (0..2_usize).prop_map(|reader| Step::Reconnect { reader }),
    ];
    prop::collection::vec(step, 1..80)
}

/// The store: all rows with their versions, removed ones without a value.
#[derive(Default)]
struct Store {
    version: u64,
    rows: Map<u8, (u64, bool)>,
}

impl Store {
    fn write(&mut self, key: u8, is_present: bool) {
        self.version += 1;
        self.rows.insert(key, (self.version, is_present));
    }

    fn read(&self, after: Option<u64>) -> Update {
        let listed = self.rows.iter().filter(|(_, (version, is_present))| match after {
            Some(after) => *version > after,
            None => *is_present,
        });
        let rows = listed.map(|(key, (version, is_present))| {
            let text = version.to_string();
            row(&format!("k{key}"), *version, is_present.then_some(&text))
        });
        update(after, self.version, &rows.collect::<Vec<_>>())
    }

    fn contents(&self) -> Vec<(String, u64)> {
        let present = self.rows.iter().filter(|(_, (_, is_present))| *is_present);
        let mut rows: Vec<_> =
            present.map(|(key, (version, _))| (format!("k{key}"), *version)).collect();
        rows.sort();
        rows
    }
}

#[derive(Default)]
struct Reader {
    replica: Replica,
    /// The messages on the way to the follower, or `None` while it is not connected.
    sent: Option<Vec<Update>>,
}

impl Reader {
    fn read(&mut self, store: &Store, is_whole: bool) {
        let after = self.replica.version().filter(|_| !is_whole);
        let read = store.read(after);
        self.replica.apply(&read).unwrap();
        if let Some(sent) = &mut self.sent {
            sent.push(read);
        }
    }

    fn connect(&mut self, follower: &Replica) {
        let catch_up = self.replica.since(Table::Operator, follower.version());
        self.sent = Some(catch_up.into_iter().collect());
    }
}

proptest! {
    /// Whatever happens on the way, no row of the follower goes back, and once one reader is current and
    /// connected the follower has exactly the rows of the store.
    #[test]
    fn a_follower_converges(steps in steps(), last in 0..2_usize) {
        let mut store = Store::default();
        let mut readers = [Reader::default(), Reader::default()];
        let mut follower = Replica::default();
        let mut highest: Map<Arc<str>, u64> = Map::default();
        let mut deliver = |reader: &mut Reader, follower: &mut Replica| {
            let Some(sent) = reader.sent.take() else { return };
            for update in sent {
                match follower.apply(&update) {
                    Ok(changed) => for row in changed {
                        let newest = highest.entry(row.key.clone()).or_default();
                        assert!(row.version >= *newest, "{row:?} after {newest}");
                        *newest = row.version;
                    },
                    Err(_) => return,
                }
            }
            reader.sent = Some(Vec::new());
        };
        for step in steps {
            match step {
                Step::Write { key } => store.write(key, true),
                Step::Remove { key } if store.rows.contains_key(&key) => store.write(key, false),
                Step::Remove { .. } => {}
                Step::Read { reader, is_whole } => readers[reader].read(&store, is_whole),
                Step::Restart { reader } => readers[reader] = Reader::default(),
                Step::Deliver { reader, is_repeated } => {
                    let sent = readers[reader].sent.clone();
                    deliver(&mut readers[reader], &mut follower);
                    if is_repeated && readers[reader].sent.is_some() {
                        readers[reader].sent = sent;
                        deliver(&mut readers[reader], &mut follower);
                    }
                }
                Step::Reconnect { reader } => readers[reader].connect(&follower),
            }
        }

        readers[last].read(&store, false);
        readers[last].connect(&follower);
        deliver(&mut readers[last], &mut follower);

        prop_assert_eq!(contents(&follower), store.contents());
    }
}

fn engine(id: &str, zone: &str, adapter: &str) -> Description {
    let adapters = vec![Revision { name: adapter.into(), version: 1 }];
    Description {
        id: id.into(),
        service: "notices".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: zone.into(),
        slots: 64,
        state: State::Ready,
        started_ms: 1,
        accepted_orders: 3,
        models: vec![Model { name: "m".into(), adapters }],
        build: "v1".into(),
        entry_version: 1,
    }
}

fn upstreams(after: Option<u64>, version: u64, engines: &[Description]) -> Update {
    let rows = engines
        .iter()
        .map(|engine| row(&engine.id, version, Some(&serde_json::to_string(engine).unwrap())));
    Update { table: Table::Upstreams, after, version, rows: rows.collect() }
}

/// Adapters change with almost every heartbeat of an engine; sent to every instance of every zone, they
/// were most of what the instances received.
#[test]
fn followers_in_other_zones_hear_of_an_engine_only_when_its_summary_changes() {
    let mut projection = Projection::new("b");
    let first = projection.apply(&upstreams(
        None,
        1,
        &[engine("i-1", "a", "a1"), engine("i-2", "b", "a1")],
    ));

    let second = projection.apply(&upstreams(
        Some(1),
        2,
        &[engine("i-1", "a", "a2"), engine("i-2", "b", "a2")],
    ));

    let keys =
        |update: &Update| update.rows.iter().map(|row| row.key.to_string()).collect::<Vec<_>>();
    assert_eq!(keys(&first), ["i-1", "i-2"]);
    assert_eq!(keys(&second), ["i-2"]);
    assert_eq!(second.version, 2);
    let mut draining = engine("i-1", "a", "a3");
    draining.state = State::Draining;
    assert_eq!(keys(&projection.apply(&upstreams(Some(2), 3, &[draining]))), ["i-1"]);
}

#[test]
fn a_whole_row_replaces_a_summary_of_the_same_version() {
    let whole = upstreams(None, 1, &[engine("i-1", "a", "a1")]);
    let mut replica = Replica::default();
    replica.apply(&Projection::new("b").project(&whole)).unwrap();

    let changed = replica.apply(&whole).unwrap();

    assert_eq!(changed, whole.rows);
    assert_eq!(replica.apply(&Projection::new("b").project(&whole)).unwrap(), []);
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn one_silent_source_of_two_costs_nothing() {
    let mut sources = Sources::default();
    sources.record_update(&"r1".into(), Table::Upstreams, at(10_000));
    sources.record_update(&"r2".into(), Table::Upstreams, at(12_000));

    assert!(!sources.require_watch(Table::Upstreams, Duration::ZERO, at(13_000)));
    assert!(sources.require_watch(Table::Upstreams, Duration::ZERO, at(12_000) + SOURCE_TIMEOUT));
}

#[test]
fn sources_that_have_lost_the_store_are_replaced_at_once_but_not_by_all_at_once() {
    let mut sources = Sources::default();
    sources.record_update(&"r1".into(), Table::Upstreams, at(10_000));
    sources.record_loss("r1", at(10_100));

    assert!(sources.require_watch(Table::Upstreams, Duration::ZERO, at(10_100)));
    assert!(!sources.require_watch(Table::Upstreams, MAX_JITTER, at(10_300)));
    let delays: Set<u64> =
        (0..30).map(|number| jitter(&format!("front-{number}")).as_millis() as u64 / 30).collect();
    assert!(delays.len() >= 6, "{delays:?}");
}

/// Instances that start together would all watch the upstreams, because none has received a heartbeat yet. A
/// configuration or a version of that time must reach them nevertheless.
#[rstest]
#[case::upstreams(Table::Upstreams, false)]
#[case::configuration(Table::Operator, true)]
#[case::leaders(Table::Cluster, true)]
fn an_instance_that_has_just_started_watches_what_changes_rarely(
    #[case] table: Table,
    #[case] is_watched: bool,
) {
    let sources = Sources::default();

    assert_eq!(sources.require_watch(table, Duration::ZERO, at(900)), is_watched);
    assert!(sources.require_watch(table, Duration::ZERO, at(1_000)));
}

/// In an outage hundreds of followers call a store that cannot answer, and each has to notice its return in
/// the time after which it counts as in touch.
#[test]
fn followers_call_a_store_that_is_away_less_and_less_often() {
    let delays: Vec<u128> = (1..=5).map(|failures| retry_delay(failures).as_millis()).collect();

    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[0] >= 500, "{delays:?}");
    assert!(retry_delay(u32::MAX) + MAX_JITTER < Duration::from_millis(4_000));
}

/// The shortest bound for a configuration, less a read of the store.
#[test]
fn lost_sources_are_noticed_within_the_bound_for_configurations() {
    assert!(SOURCE_TIMEOUT + MAX_JITTER < Duration::from_millis(2_500 - 100));
}

fn member(number: usize, region: &str) -> Member {
    Member {
        name: format!("front-{region}-{number}").into(),
        incarnation: 1,
        region: region.into(),
        zone: format!("{region}-{}", number % 2).into(),
        caller_address: SocketAddr::from(([10, 0, 0, 1], number as u16)),
        peer_address: SocketAddr::from(([10, 0, 0, 2], number as u16)),
        capacity: 12 + 38 * (number as u32 % 2),
    }
}

/// Returns the roster of one instance among `instances` in each of two regions, all of them serving.
fn roster(own: usize, instances: usize, silent: &[Arc<str>], now: Instant) -> Roster {
    roster_with(own, instances, silent, &[], now)
}

/// Returns a roster in which the instances named in `reports` have reported their access to the store.
fn roster_with(
    own: usize,
    instances: usize,
    silent: &[Arc<str>],
    reports: &[(Arc<str>, Report)],
    now: Instant,
) -> Roster {
    let mut roster = Roster::new(member(own, "r"));
    roster.set_serving(true);
    for (number, region) in (0..instances).flat_map(|number| [(number, "r"), (number, "s")]) {
        let member = member(number, region);
        roster.upsert(member.clone(), Instant::ZERO);
        let report = reports.iter().find(|(name, _)| *name == member.name);
        if !silent.contains(&member.name) {
            let heartbeat = Heartbeat {
                name: member.name,
                incarnation: 1,
                is_serving: true,
                store: report.map(|(_, report)| *report).unwrap_or_default(),
                unread: Vec::new(),
                is_cut_off: false,
                loads: Vec::new(),
            };
            roster.record_heartbeat(&heartbeat, now);
        }
    }
    roster
}

#[rstest]
#[case::small(3)]
#[case::large(65)]
fn all_instances_of_a_region_agree_on_its_readers(#[case] instances: usize) {
    let now = at(60_000);
    let expected = roster(0, instances, &[], now).readers(now);

    assert_eq!(expected.len(), READERS_PER_REGION.min(instances));
    assert!(expected.iter().all(|name| name.starts_with("front-r-")));
    for own in 1..instances {
        assert_eq!(roster(own, instances, &[], now).readers(now), expected);
    }
}

#[test]
fn only_a_reader_that_fails_is_replaced() {
    let now = at(60_000);
    let before = roster(0, 65, &[], now).readers(now);

    let after = roster(0, 65, &before[..1], now).readers(now);

    assert_eq!(after[..2], before[1..]);
    assert!(!after.contains(&before[0]));
}

const SERVED: Report = Report::Answered { since_ms: 5_000, last_ms: 100 };

/// The readers of a region are cut off from the store, and another instance is served: without it the others
/// would go on with what they knew.
#[test]
fn readers_that_the_store_does_not_serve_are_replaced_by_instances_that_it_serves() {
    let now = at(60_000);
    let before = roster(64, 65, &[], now).readers(now);
    let served = member(63, "r").name;
    let mut reports: Vec<(Arc<str>, Report)> =
        before.iter().map(|reader| (reader.clone(), Report::Failed)).collect();
    let in_outage = roster_with(64, 65, &[], &reports, now);
    reports.push((served.clone(), SERVED));

    let after = roster_with(64, 65, &[], &reports, now).readers(now);

    assert_eq!(after, [served, before[0].clone(), before[1].clone()]);
    assert_eq!(in_outage.readers(now), before, "the store serves nobody");
}

/// The readers are answered about the upstreams, and their calls about the operator's table fail: they cannot pass on a
/// configuration, and nobody is known to read that table.
#[test]
fn readers_that_cannot_read_one_table_are_replaced_by_instances_that_may() {
    let now = at(60_000);
    let mut roster = roster(64, 65, &[], now);
    let before = roster.readers(now);
    for reader in &before {
        let heartbeat = Heartbeat {
            name: reader.clone(),
            incarnation: 1,
            is_serving: true,
            store: SERVED,
            unread: vec![Table::Operator],
            is_cut_off: false,
            loads: Vec::new(),
        };
        roster.record_heartbeat(&heartbeat, now);
    }

    let after = roster.readers(now);

    assert_eq!(after.len(), READERS_PER_REGION);
    assert!(after.iter().all(|reader| !before.contains(reader)), "{after:?}");
}

/// A reader that reads only some tables is a source of these.
#[test]
fn a_source_that_does_not_read_a_table_is_replaced_for_that_table_alone() {
    let mut sources = Sources::default();
    sources.record_update(&"r1".into(), Table::Upstreams, at(10_000));
    sources.record_table_loss("r1", Table::Operator, at(10_100));

    assert!(sources.require_watch(Table::Operator, Duration::ZERO, at(10_100)));
    assert!(!sources.require_watch(Table::Upstreams, Duration::ZERO, at(10_100)));

    sources.record_update(&"r1".into(), Table::Operator, at(10_200));

    assert!(!sources.require_watch(Table::Operator, Duration::ZERO, at(10_300)));
}

/// The store serves no instance of the region.
#[test]
fn a_region_that_is_cut_off_gets_the_tables_from_another_one() {
    let now = at(60_000);
    let readers = roster(64, 65, &[], now).readers(now);
    let remote = member(7, "s").name;
    let mut reports: Vec<(Arc<str>, Report)> =
        readers.iter().map(|reader| (reader.clone(), Report::Failed)).collect();
    reports.push((remote.clone(), SERVED));

    let sources = roster_with(64, 65, &[], &reports, now).sources(SOURCES, now);

    assert_eq!(sources, [remote, readers[0].clone()]);
    assert_eq!(roster(64, 65, &[], now).sources(SOURCES, now), readers[..SOURCES]);
}

/// All instances start at once: one that knows no other of its region yet must not copy the tables from another region.
#[test]
fn an_instance_that_starts_takes_the_tables_from_another_region_only_if_its_own_calls_fail() {
    let now = at(500);
    let mut roster = Roster::new(member(0, "r"));
    let remote = member(7, "s");
    roster.upsert(remote.clone(), Instant::ZERO);
    let heartbeat = Heartbeat {
        name: remote.name.clone(),
        incarnation: 1,
        is_serving: true,
        store: SERVED,
        unread: Vec::new(),
        is_cut_off: false,
        loads: Vec::new(),
    };
    roster.record_heartbeat(&heartbeat, now);

    let before = roster.sources(SOURCES, now);
    roster.set_store(Access::Failed);

    assert_eq!(before, Vec::<Arc<str>>::new());
    assert_eq!(roster.sources(SOURCES, now), [remote.name]);
}

/// A reader's link carries less than its followers need: each later version would arrive later than the one before.
#[test]
fn updates_for_a_follower_that_lags_are_merged() {
    let mut outbox = Outbox::default();
    outbox.push_update(Table::Operator, Some(3), "3 to 4");
    outbox.push_update(Table::Upstreams, Some(3), "upstreams");
    outbox.push("lost");

    outbox.push_update(Table::Operator, Some(4), "4 to 5");
    outbox.push_update(Table::Operator, Some(5), "5 to 6");

    let sent: Vec<_> = std::iter::from_fn(|| outbox.pop()).collect();
    assert_eq!(
        sent,
        [
            Outgoing::Update { table: Table::Upstreams, after: Some(3), message: "upstreams" },
            Outgoing::Other("lost"),
            Outgoing::Changes { table: Table::Operator, after: Some(3) },
        ]
    );
}
