//! A store that comes back from a copy: its versions go back and are given out again.
//!
//! Guards against rows that are taken for old because their number is lower, against a return to what the copy holds,
//! and against upstreams that have left and are ready in the copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use orioleroute::ingress::Version;
use orioleroute::ingress::feed::{Replica, Row, Table, Update};
use orioleroute::ingress::registry::{Change, RECOVERY_GRACE, Registry, Standing};
use orioleroute::ingress::upstream::{Description, State};
use orioleroute::ingress::version::MAX_ERA;
use orioleroute::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const NOW: Instant = Instant::from_millis(10_000);

fn version(era: u64, number: u64) -> u64 {
    Version { era, number }.into()
}

fn row(key: &str, version: u64, value: Option<&str>) -> Row {
    Row { key: key.into(), version, value: value.map(Arc::from), is_summary: false }
}

fn update(after: Option<u64>, version: u64, rows: &[Row]) -> Update {
    Update { table: Table::Operator, after, version, rows: rows.to_vec() }
}

fn values(replica: &Replica) -> Vec<String> {
    let mut values: Vec<String> = replica
        .rows()
        .map(|row| format!("{}={}", row.key, row.value.as_deref().unwrap_or_default()))
        .collect();
    values.sort();
    values
}

/// A replica of the first era at number 100, with the rows `a` and `b`.
fn replica() -> Replica {
    let mut replica = Replica::default();
    let rows = [row("a", version(1, 90), Some("new")), row("b", version(1, 100), Some("lost"))];
    replica.apply(&update(None, version(1, 100), &rows)).unwrap();
    replica
}

fn upstream(state: State, started_ms: u64, entry_version: u64) -> Description {
    Description {
        id: "i-1".into(),
        service: "desk".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        slots: 6,
        state,
        started_ms,
        accepted_orders: 0,
        models: Vec::new(),
        build: "v1".into(),
        entry_version,
    }
}

/// A registry of the first era that has seen an upstream leave, and then the return of the store.
fn registry_after_return(was_removed: bool) -> Registry {
    let mut registry = Registry::default();
    registry.replace([upstream(State::Ready, 1, version(1, 50))], NOW);
    let change = match was_removed {
        true => Change::Removed("i-1".into()),
        false => Change::Written(upstream(State::Draining, 1, version(1, 60))),
    };
    registry.apply([change], NOW);
    registry.begin_era(NOW);
    registry
}

#[test]
fn a_version_without_an_era_is_ordered_by_its_number() {
    assert_eq!(version(0, 77), 77);
}

proptest! {
    /// Kept and sent as one number, versions have the order of their eras and then of their numbers.
    #[test]
    fn versions_are_ordered_by_era_first(
        one in (0..=MAX_ERA, 0..1_u64 << 40),
        other in (0..=MAX_ERA, 0..1_u64 << 40),
    ) {
        let (first, second) = (version(one.0, one.1), version(other.0, other.1));

        prop_assert_eq!(first.cmp(&second), one.cmp(&other));
        prop_assert_eq!(Version::from(first), Version { era: one.0, number: one.1 });
    }
}

#[test]
fn the_rows_of_a_later_era_replace_those_with_higher_numbers() {
    let mut replica = replica();

    let copy = update(None, version(2, 80), &[row("a", version(2, 40), Some("copied"))]);
    replica.apply(&copy).unwrap();

    assert_eq!(values(&replica), ["a=copied"]);
    assert_eq!(replica.version(), Some(version(2, 80)));
}

#[test]
fn a_late_update_of_a_former_era_changes_nothing() {
    let mut replica = replica();
    let copy = update(None, version(2, 80), &[row("a", version(2, 40), Some("copied"))]);
    replica.apply(&copy).unwrap();

    let late =
        update(Some(version(1, 100)), version(1, 120), &[row("a", version(1, 120), Some("late"))]);
    let changed = replica.apply(&late).unwrap();

    assert_eq!(changed, []);
    assert_eq!(values(&replica), ["a=copied"]);
}

/// The numbers of the two eras overlap, so the changes since the follower's version would lack rows.
#[test]
fn a_follower_of_a_former_era_gets_the_whole_table() {
    let mut replica = replica();
    let copy = update(None, version(2, 80), &[row("a", version(2, 40), Some("copied"))]);
    replica.apply(&copy).unwrap();

    let since = replica.since(Table::Operator, Some(version(1, 100))).unwrap();

    assert_eq!(since.after, None);
    assert_eq!(since.rows, [row("a", version(2, 40), Some("copied"))]);
}

#[rstest]
#[case::drained(false)]
#[case::removed(true)]
fn an_upstream_that_left_is_not_ready_in_the_copy(#[case] was_removed: bool) {
    let mut registry = registry_after_return(was_removed);

    let copied = upstream(State::Ready, 1, version(2, 50));
    registry.apply([Change::Written(copied.clone())], NOW);
    registry.apply([Change::Written(copied)], NOW + Duration::from_secs(1));

    assert_eq!(registry.standing("i-1"), Standing::Draining);
}

#[rstest]
#[case::drained(false)]
#[case::removed(true)]
fn an_upstream_that_was_started_again_is_ready_after_the_return(#[case] was_removed: bool) {
    let mut registry = registry_after_return(was_removed);

    registry.apply([Change::Written(upstream(State::Ready, 2, version(2, 55)))], NOW);

    assert_eq!(registry.standing("i-1"), Standing::Ready);
}

/// The entry had expired although the upstream is alive.
#[test]
fn a_removed_upstream_that_writes_its_entry_again_is_ready() {
    let mut registry = registry_after_return(true);

    for number in [50, 90] {
        let entry = upstream(State::Ready, 1, version(2, number));
        registry.apply([Change::Written(entry)], NOW);
    }

    assert_eq!(registry.standing("i-1"), Standing::Ready);
}

/// An upstream does not take back that it leaves, so an entry that says so is older.
#[test]
fn a_draining_upstream_stays_so_however_often_its_copied_entry_is_written() {
    let mut registry = registry_after_return(false);

    for number in [50, 90] {
        let entry = upstream(State::Ready, 1, version(2, number));
        registry.apply([Change::Written(entry)], NOW);
    }

    assert_eq!(registry.standing("i-1"), Standing::Draining);
}

/// Its entry was written after the copy was made, and it writes it again within two seconds.
#[test]
fn an_upstream_that_is_not_in_the_copy_is_kept_for_the_recovery_grace() {
    let mut registry = Registry::default();
    registry.replace([upstream(State::Ready, 1, version(1, 50))], NOW);
    registry.observe_service(Some(Instant::ZERO));
    registry.begin_era(NOW);

    registry.apply([Change::Removed("i-1".into())], NOW);

    assert_eq!(registry.standing("i-1"), Standing::Missing);
    assert!(registry.expire(NOW + RECOVERY_GRACE - Duration::from_millis(1)).is_empty());
    assert_eq!(registry.expire(NOW + RECOVERY_GRACE), ["i-1".into()]);
}

/// A store of few rows that may come back from a copy.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    /// The last write of each row, and its value unless it was removed.
    rows: BTreeMap<&'static str, (u64, Option<String>)>,
    writes: u32,
}

impl Store {
    fn write(&mut self, key: &'static str, is_removal: bool) {
        self.number += 1;
        self.writes += 1;
        let value = (!is_removal).then(|| self.writes.to_string());
        self.rows.insert(key, (self.number, value));
    }

    /// Comes back from a copy. Values are counted on, so that no two writes are alike.
    fn restore(&mut self, copy: &Self) {
        *self = Self { era: self.era + 1, writes: self.writes, ..copy.clone() };
    }

    /// Returns what a reader at a version gets: the changes since then, or the whole table after a return.
    fn read(&self, known: Option<u64>) -> Update {
        let after = known.filter(|known| Version::from(*known).era == self.era);
        let is_included = |number: u64, value: &Option<String>| match after {
            Some(after) => version(self.era, number) > after,
            None => value.is_some(),
        };
        let rows = self.rows.iter().filter(|(_, (number, value))| is_included(*number, value));
        let rows: Vec<Row> = rows
            .map(|(key, (number, value))| row(key, version(self.era, *number), value.as_deref()))
            .collect();
        update(after, version(self.era, self.number), &rows)
    }

    fn values(&self) -> Vec<String> {
        let rows = self.rows.iter();
        rows.filter_map(|(key, (_, value))| Some(format!("{key}={}", value.as_ref()?))).collect()
    }
}

#[derive(Clone, Debug)]
enum Event {
    Write(usize, bool),
    Copy,
    Restore,
    /// A reader reads the store and keeps what it sends.
    Read(usize),
    /// The follower gets one of the last messages of a reader, perhaps late or again.
    Deliver(usize, usize),
    /// The follower subscribes to a reader anew.
    Subscribe(usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (0..3_usize, any::<bool>()).prop_map(|(key, removes)| Event::Write(key, removes)),
        1 => Just(Event::Copy),
        1 => Just(Event::Restore),
        4 => (0..2_usize).prop_map(Event::Read),
        6 => (0..2_usize, 0..6_usize).prop_map(|(reader, back)| Event::Deliver(reader, back)),
        1 => (0..2_usize).prop_map(Event::Subscribe),
    ];
    proptest::collection::vec(event, 0..60)
}

/// The follower subscribes with its version and gets what it lacks, or the whole table.
fn subscribe(follower: &mut Replica, reader: &Replica) {
    if let Some(update) = reader.since(Table::Operator, follower.version()) {
        let _ = follower.apply(&update);
    }
}

proptest! {
    /// Whatever is lost, delivered late or repeated: versions only rise, and once all have read, all have what the store has.
    #[test]
    fn replicas_follow_a_store_through_its_eras(events in events()) {
        let mut store = Store::default();
        let mut copy = store.clone();
        let mut readers = [Replica::default(), Replica::default()];
        let mut sent: [Vec<Update>; 2] = Default::default();
        let mut follower = Replica::default();
        let read = |store: &Store, reader: &mut Replica| {
            let update = store.read(reader.version());
            reader.apply(&update).expect("a read follows on what is known");
            update
        };

        for event in events {
            let before = follower.version();
            match event {
                Event::Write(key, is_removal) => store.write(["a", "b", "c"][key], is_removal),
                Event::Copy => copy = store.clone(),
                Event::Restore => {
                    store.restore(&copy);
                    copy = store.clone();
                }
                Event::Read(reader) => {
                    let update = read(&store, &mut readers[reader]);
                    sent[reader].push(update);
                }
                Event::Deliver(reader, back) => {
                    let update = sent[reader].iter().rev().nth(back);
                    if update.is_some_and(|update| follower.apply(update).is_err()) {
                        subscribe(&mut follower, &readers[reader]);
                    }
                }
                Event::Subscribe(reader) => subscribe(&mut follower, &readers[reader]),
            }
            prop_assert!(follower.version() >= before);
        }
        for reader in &mut readers {
            read(&store, reader);
            subscribe(&mut follower, reader);
        }

        for replica in [&readers[0], &readers[1], &follower] {
            prop_assert_eq!(values(replica), store.values());
        }
    }
}
