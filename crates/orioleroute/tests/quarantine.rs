//! Verdicts on prompt parts that end the engines that run them.
//!
//! Guards against a part that ends one engine after the other because nothing connects the losses, and against blaming
//! a part that sound requests share.

mod scheduling;

use std::net::SocketAddr;

use orioleroute::ingress::attempt::Part as PromptPart;
use orioleroute::ingress::quarantine::{Change, Key, Loss, Quarantine, Report, Run, Subject};
use orioleroute::ingress::upstream::{Description, State};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Placement, Reason, RunResult, ToInstance};
use orioleroute::scheduler::{Finding, Output, RequestKey, Scheduler};
use rstest::rstest;
use scheduling::{CLIENT, description, grants, placement, refusals, scheduler};

/// The part that ends engines.
const BAD: u64 = 0xbad;

/// A part that all requests share.
const SHARED: u64 = 1;

const SERVICE: &str = "notices";

/// The number of engines of a zone.
const ENGINES: usize = 3;

/// How long after its last loss a part is refused.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// The schedulers of availability zones, which share their reports as instances do.
struct Zones {
    schedulers: Vec<Scheduler>,
    quarantine: Quarantine,
    now: Instant,
    next_ticket: u64,
}

impl Zones {
    fn new(count: usize) -> Self {
        let schedulers = (0..count).map(zone_scheduler).collect();
        let quarantine = Quarantine::default();
        Self { schedulers, quarantine, now: scheduling::START, next_ticket: 1 }
    }

    /// Passes the reports of all schedulers on until there are none left, and returns the other outputs of `zone`.
    fn share(&mut self, zone: usize) -> Vec<Output> {
        let mut rest = Vec::new();
        let mut has_ticked = false;
        loop {
            let mut reports = Vec::new();
            for (number, scheduler) in self.schedulers.iter_mut().enumerate() {
                for output in scheduler.take_outputs() {
                    match output {
                        Output::ReportSuspects(report) => reports.push((number, report)),
                        output if number == zone => rest.push(output),
                        _ => {}
                    }
                }
            }
            if reports.is_empty() && has_ticked {
                return rest;
            }
            if reports.is_empty() {
                has_ticked = true;
                self.schedulers.iter_mut().for_each(|scheduler| scheduler.tick(self.now));
            }
            for (number, report) in reports {
                self.quarantine.update(&zone_name(number), report, self.now);
            }
            for (number, scheduler) in self.schedulers.iter_mut().enumerate() {
                let verdicts = self.quarantine.clone();
                scheduler.update_quarantine(verdicts, &zone_name(number), self.now);
            }
        }
    }

    /// Places a request, and returns its ticket and what became of it at once.
    fn place(&mut self, zone: usize, parts: &[u64]) -> (u64, Placed) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let parts = parts.iter().map(|id| PromptPart { id: *id, tokens: 100 });
        let request = Placement { parts: parts.collect(), ..placement(ticket, "a1") };
        self.schedulers[zone].place(CLIENT, request, self.now);
        let outputs = self.share(zone);
        let refusal = refusals(&outputs).into_iter().find(|(refused, _)| *refused == ticket);
        let placed = match refusal {
            Some((_, reason)) => Placed::Refused(reason),
            None if grants(&outputs).contains(&ticket) => Placed::Granted,
            None => Placed::Queued,
        };
        (ticket, placed)
    }

    /// Ends a run, and answers the checks of engines that follow.
    fn end(&mut self, zone: usize, ticket: u64, result: RunResult, is_lost: bool) -> Vec<Output> {
        let key = RequestKey { client: CLIENT, ticket };
        self.schedulers[zone].handle_ended(key, Some(result), self.now);
        self.answer_checks(zone, is_lost)
    }

    /// Answers the checks of engines, and returns all outputs.
    fn answer_checks(&mut self, zone: usize, is_lost: bool) -> Vec<Output> {
        let outputs = self.schedulers[zone].take_outputs();
        for output in &outputs {
            if let Output::CheckEngine(_, check) = output {
                let finding = if is_lost { Finding::Lost } else { Finding::Alive };
                self.schedulers[zone].handle_check(check, finding, self.now);
            }
        }
        let rest = self.share(zone);
        outputs.into_iter().chain(rest).collect()
    }

    /// Runs a request that ends its engine, if it is run, and returns whether it was.
    fn crash(&mut self, zone: usize, parts: &[u64]) -> bool {
        self.now += Duration::from_millis(500);
        let (ticket, placed) = self.place(zone, parts);
        if placed == Placed::Granted {
            self.end(zone, ticket, RunResult::Broken, true);
        }
        placed == Placed::Granted
    }

    /// Runs a request that is answered, and returns what became of it.
    fn answer(&mut self, zone: usize, parts: &[u64]) -> Placed {
        self.now += Duration::from_millis(50);
        let (ticket, placed) = self.place(zone, parts);
        if placed == Placed::Granted {
            self.end(zone, ticket, RunResult::Answered, false);
        }
        placed
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placed {
    Granted,
    Queued,
    Refused(Reason),
}

/// Returns the scheduler of a zone whose engines hold the adapter.
fn zone_scheduler(zone: usize) -> Scheduler {
    let engines = (zone * ENGINES..(zone + 1) * ENGINES).map(|number| description(number, &["a1"]));
    scheduler(&engines.collect::<Vec<_>>()).0
}

fn zone_name(number: usize) -> Arc<str> {
    format!("z{number}").into()
}

fn part(id: u64) -> Subject {
    Subject { service: SERVICE.into(), key: Key::part(id) }
}

/// Returns a loss of the engine with this number under requests, each given by its own part and the others.
fn loss(engine: u16, runs: &[(u64, &[u64])]) -> Loss {
    let runs =
        runs.iter().map(|(own, parts)| Run { own: *own, parts: parts.to_vec(), ..Run::default() });
    Loss {
        service: SERVICE.into(),
        engine: SocketAddr::from(([10, 0, 0, 1], engine)),
        has_answered: false,
        age_ms: 0,
        runs: runs.collect(),
    }
}

/// Returns a report of these losses, this far apart.
fn report(losses: Vec<Loss>, distance: Duration) -> Report {
    let ages = (0..losses.len()).rev().map(|number| distance * number as u32);
    let losses = losses.into_iter().zip(ages);
    let losses = losses.map(|(loss, age)| Loss { age_ms: age.as_millis() as u64, ..loss });
    Report { losses: losses.collect(), sound: Vec::new() }
}

/// Returns the parts that these losses blame, in order.
fn blamed(losses: Vec<Loss>) -> Vec<u64> {
    blamed_by(report(losses, Duration::from_secs(1)))
}

fn blamed_by(report: Report) -> Vec<u64> {
    let mut quarantine = Quarantine::default();
    let changes = quarantine.update(&"z".into(), report, Instant::from_millis(60_000));
    let mut ids: Vec<u64> = changes
        .into_iter()
        .filter_map(|change| match change {
            Change::Blamed(subject, _) => Some(subject.key.id),
            Change::Released(_) => None,
        })
        .collect();
    ids.sort_unstable();
    ids
}

#[test]
fn the_part_that_the_losses_have_in_common_is_blamed_and_no_other() {
    let losses = vec![
        loss(1, &[(11, &[SHARED, BAD]), (12, &[SHARED, 7])]),
        loss(2, &[(13, &[8, BAD])]),
        loss(3, &[(14, &[BAD, 9]), (15, &[7])]),
    ];

    assert_eq!(blamed(losses), [BAD]);
}

#[rstest]
#[case::two_losses(vec![loss(1, &[(11, &[BAD])]), loss(2, &[(12, &[BAD])])])]
#[case::one_engine(vec![
    loss(1, &[(11, &[BAD])]), loss(1, &[(12, &[BAD])]), loss(1, &[(13, &[BAD])])])]
#[case::one_request(vec![
    loss(1, &[(11, &[BAD])]), loss(2, &[(11, &[BAD])]), loss(3, &[(11, &[BAD])])])]
fn too_little_evidence_blames_no_part(#[case] losses: Vec<Loss>) {
    assert!(blamed(losses).is_empty());
}

#[test]
fn losses_at_one_moment_blame_no_part() {
    let losses = (0..6).map(|number| loss(number, &[(number.into(), &[BAD])])).collect();

    assert!(blamed_by(report(losses, Duration::from_millis(40))).is_empty());
}

/// The other part of the first requests is in three losses as well.
#[test]
fn what_a_blamed_part_explains_blames_no_other() {
    let losses = vec![
        loss(1, &[(11, &[7, BAD])]),
        loss(2, &[(11, &[7, BAD])]),
        loss(3, &[(12, &[7, BAD])]),
        loss(1, &[(13, &[8, BAD])]),
    ];

    assert_eq!(blamed(losses), [BAD]);
}

/// A part that ends engines and a wider one, which sound requests beside it have as well, are in the same losses.
#[test]
fn of_two_parts_in_the_same_losses_the_narrower_is_blamed() {
    let crashing: &[u64] = &[SHARED, BAD];
    let sound: &[u64] = &[SHARED];
    let loss_under = |engine, own| loss(engine, &[(own, crashing), (own + 100, sound)]);

    let blamed = blamed((1..=4).map(|number| loss_under(number, u64::from(number))).collect());

    assert_eq!(blamed, [BAD]);
}

/// The wider part is what ends the engines: it is blamed once an engine is lost under it without the narrower one.
#[test]
fn a_wider_part_is_blamed_once_engines_are_lost_under_it_alone() {
    let mut losses: Vec<Loss> =
        (1..=3).map(|number| loss(number, &[(u64::from(number), &[BAD, 0x5a])])).collect();
    losses.push(loss(4, &[(4, &[BAD])]));

    assert_eq!(blamed(losses), [BAD]);
}

#[test]
fn two_bad_parts_are_both_blamed() {
    let losses = vec![
        loss(1, &[(11, &[SHARED, 7])]),
        loss(2, &[(12, &[SHARED, 8])]),
        loss(3, &[(13, &[7])]),
        loss(1, &[(14, &[8])]),
        loss(2, &[(15, &[7])]),
        loss(3, &[(16, &[8])]),
    ];

    assert_eq!(blamed(losses), [7, 8]);
}

/// Engines are lost under both parts at first, and then under one of them while the other one is refused.
#[test]
fn two_bad_parts_that_were_lost_together_do_not_displace_each_other() {
    let both = |engine, own| loss(engine, &[(own, &[7]), (own + 100, &[8])]);
    let mut losses: Vec<Loss> = (1..=3).map(|number| both(number, number.into())).collect();
    losses.push(loss(1, &[(14, &[7])]));
    losses.push(loss(2, &[(15, &[8])]));
    losses.push(loss(3, &[(16, &[7])]));

    let blamed_by_then: Vec<Vec<u64>> =
        (5..=losses.len()).map(|count| blamed(losses[..count].to_vec())).collect();

    assert_eq!(blamed_by_then, [[7, 8], [7, 8]]);
}

/// The other part was lost three times beside the one that ends engines, and then once by itself or not.
#[rstest]
#[case::by_itself(loss(6, &[(15, &[7])]), &[7, BAD])]
#[case::beside_a_third(loss(6, &[(15, &[7]), (16, &[8])]), &[BAD])]
#[case::beside_the_first(loss(6, &[(15, &[7]), (16, &[BAD])]), &[BAD])]
fn a_part_that_was_lost_beside_another_is_blamed_once_it_is_lost_alone(
    #[case] last: Loss,
    #[case] expected: &[u64],
) {
    let beside = |number: u16| loss(number, &[(number.into(), &[BAD]), (90, &[7])]);
    let mut losses = vec![loss(4, &[(10, &[BAD])]), loss(5, &[(11, &[BAD])])];
    losses.extend((1..=3).map(beside));
    losses.push(last);

    assert_eq!(blamed(losses), expected);
}

#[test]
fn a_part_that_is_sound_in_another_zone_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    let now = Instant::from_millis(60_000);
    let losses = (0..4).map(|number| loss(number, &[(number.into(), &[BAD])])).collect();
    quarantine.update(&"y".into(), report(losses, Duration::from_secs(1)), now);
    assert_eq!(quarantine.blamed(&SERVICE.into(), [Key::part(BAD)], now), Some(Key::part(BAD)));

    let report = Report { losses: Vec::new(), sound: vec![part(BAD)] };
    let changes = quarantine.update(&"z".into(), report, now);

    assert_eq!(changes, [Change::Released(part(BAD))]);
    assert_eq!(quarantine.blamed(&SERVICE.into(), [Key::part(BAD)], now), None);
}

/// Requests come to all zones in turn, so that none of them sees more than a part of the losses.
#[rstest]
#[case::one_zone(1)]
#[case::three_zones(3)]
#[case::six_zones(6)]
fn requests_with_a_part_that_ends_engines_end_few(#[case] zone_count: usize) {
    let mut zones = Zones::new(zone_count);

    let crashes = (0..60).filter(|number| {
        let own = 1_000 + number;
        zones.answer(*number as usize % zone_count, &[SHARED, 100 + number % 5, own]);
        zones.crash(*number as usize % zone_count, &[SHARED, BAD, 5_000 + number])
    });
    let crashes = crashes.count();

    assert!(crashes <= 4, "{crashes} engines ended");
    let (_, placed) = zones.place(0, &[SHARED, BAD, 9_999]);
    assert_eq!(placed, Placed::Refused(Reason::Quarantined));
    for zone in 0..zone_count {
        let placed = zones.answer(zone, &[SHARED, 100, 2_000 + zone as u64]);
        assert_eq!(placed, Placed::Granted, "sound requests share the other parts");
    }
}

/// Runs break off at engines that go on, as when answers are lost or spoilt on the way.
#[test]
fn runs_that_break_off_at_living_engines_blame_no_part() {
    let mut zones = Zones::new(1);

    for number in 0..20 {
        let (ticket, placed) = zones.place(0, &[SHARED, 7, 1_000 + number]);
        assert_eq!(placed, Placed::Granted);
        zones.end(0, ticket, RunResult::Broken, false);
    }
}

/// Prompts that are answered now and then run on engines that end for another reason.
#[test]
fn parts_of_sound_requests_are_not_blamed_when_engines_end_beside_them() {
    let mut zones = Zones::new(3);

    for number in 0..30 {
        let zone = number as usize % 3;
        let placed = zones.answer(zone, &[SHARED, 7, 1_000 + number]);
        assert_eq!(placed, Placed::Granted);
        assert!(zones.crash(zone, &[SHARED, 7, 2_000 + number]), "run {number} was refused");
    }
}

#[test]
fn engines_that_end_at_the_same_moment_blame_no_part() {
    let mut zones = Zones::new(1);
    let tickets: Vec<u64> =
        (0..ENGINES as u64 * 2).map(|number| zones.place(0, &[7, number + 100]).0).collect();

    for ticket in tickets {
        zones.end(0, ticket, RunResult::Broken, true);
    }

    assert_eq!(zones.answer(0, &[7, 1_000]), Placed::Granted);
}

#[test]
fn requests_with_a_suspected_part_run_one_at_a_time() {
    let mut zones = Zones::new(1);
    zones.crash(0, &[SHARED, BAD, 11]);

    let (first, first_placed) = zones.place(0, &[SHARED, BAD, 12]);
    let (second, second_placed) = zones.place(0, &[SHARED, BAD, 13]);
    let outputs = zones.end(0, first, RunResult::Answered, false);

    assert_eq!((first_placed, second_placed), (Placed::Granted, Placed::Queued));
    assert_eq!(grants(&outputs), [second]);
}

#[test]
fn a_request_that_waits_is_refused_when_its_part_is_blamed() {
    let mut zones = Zones::new(1);
    zones.crash(0, &[BAD, 11]);
    zones.crash(0, &[BAD, 12]);
    let (third, _) = zones.place(0, &[BAD, 13]);
    let (waiting, placed) = zones.place(0, &[BAD, 14]);
    assert_eq!(placed, Placed::Queued);

    zones.now += Duration::from_millis(500);
    let outputs = zones.end(0, third, RunResult::Broken, true);

    assert_eq!(refusals(&outputs), [(waiting, Reason::Quarantined)]);
}

#[test]
fn after_its_quarantine_a_part_is_tried_by_one_request() {
    let mut zones = Zones::new(1);
    for number in 0..5 {
        zones.crash(0, &[SHARED, BAD, 10 + number]);
    }
    zones.now += QUARANTINE_TIME;

    let tried = (0..5).filter(|number| zones.crash(0, &[SHARED, BAD, 100 + number])).count();

    assert_eq!(tried, 1);
}

#[test]
fn after_its_quarantine_a_part_that_has_become_sound_is_released() {
    let mut zones = Zones::new(2);
    for number in 0..5 {
        zones.crash(0, &[SHARED, BAD, 10 + number]);
    }
    zones.now += QUARANTINE_TIME;

    let placed: Vec<Placed> = (0..6)
        .map(|number| zones.answer(number % 2, &[SHARED, BAD, 100 + number as u64]))
        .collect();

    assert_eq!(placed, [Placed::Granted; 6]);
}

/// A new scheduler of a zone knows only what its predecessor has reported.
#[test]
fn a_new_scheduler_of_a_zone_keeps_to_the_losses_that_its_predecessor_reported() {
    let mut zones = Zones::new(1);
    zones.crash(0, &[SHARED, BAD, 11]);
    zones.crash(0, &[SHARED, BAD, 12]);
    let report = zones.quarantine.report("z0", zones.now).unwrap();
    zones.schedulers[0] = zone_scheduler(0);
    zones.schedulers[0].restore_suspects(&report, zones.now);

    zones.crash(0, &[SHARED, BAD, 13]);

    let (_, placed) = zones.place(0, &[SHARED, BAD, 14]);
    assert_eq!(placed, Placed::Refused(Reason::Quarantined));
}

/// Only the last part is a request's own; the losses of prompts without others blame nobody.
#[test]
fn the_last_part_of_a_prompt_is_not_blamed() {
    let mut zones = Zones::new(1);

    let runs = (0..6).filter(|_| zones.crash(0, &[BAD])).count();

    assert_eq!(runs, 6);
}

/// Restarts engines as a rolling release does: each is listed as draining, and what still runs on it is cut.
#[test]
fn engines_that_drain_blame_no_part() {
    let mut zones = Zones::new(1);

    for number in 0..ENGINES as u64 {
        zones.now += Duration::from_millis(1_000);
        let (ticket, placed) = zones.place(0, &[7, 100 + number]);
        assert_eq!(placed, Placed::Granted);
        let draining: Vec<_> = (0..ENGINES)
            .map(|engine| Description {
                state: State::Draining,
                entry_version: 2 + 2 * number,
                ..description(engine, &["a1"])
            })
            .collect();
        zones.schedulers[0].update_engines(&draining, zones.now);
        zones.end(0, ticket, RunResult::Broken, true);
        let ready: Vec<_> = (0..ENGINES)
            .map(|engine| Description {
                entry_version: 3 + 2 * number,
                ..description(engine, &["a1"])
            })
            .collect();
        zones.schedulers[0].update_engines(&ready, zones.now);
    }

    assert_eq!(zones.answer(0, &[7, 1_000]), Placed::Granted);
}

/// The instance was suspended, so that its report of the loss comes late.
#[test]
fn a_loss_that_is_reported_late_counts() {
    let mut zones = Zones::new(1);

    let crashes = (0..12).filter(|number| {
        let (ticket, placed) = zones.place(0, &[SHARED, BAD, 100 + number]);
        if placed == Placed::Granted {
            let key = RequestKey { client: CLIENT, ticket };
            zones.schedulers[0].handle_started(key, zones.now);
            zones.now += Duration::from_millis(1_200);
            zones.end(0, ticket, RunResult::Broken, true);
        }
        placed == Placed::Granted
    });

    let crashes = crashes.count();
    assert!(crashes <= 4, "{crashes} engines ended");
}

/// An instance is lost while it relays a response, which an engine was lost under.
#[test]
fn a_run_whose_end_is_not_reported_clears_no_part() {
    let mut zones = Zones::new(1);
    let (lost, _) = zones.place(0, &[SHARED, BAD, 10]);
    zones.schedulers[0].handle_started(RequestKey { client: CLIENT, ticket: lost }, zones.now);
    zones.now += Duration::from_millis(1_000);
    for number in 0..5 {
        zones.crash(0, &[SHARED, BAD, 11 + number]);
    }
    assert_eq!(zones.place(0, &[SHARED, BAD, 20]).1, Placed::Refused(Reason::Quarantined));

    zones.schedulers[0].handle_disconnect(CLIENT, zones.now);
    zones.now += Duration::from_millis(5_000);
    zones.share(0);

    assert_eq!(zones.place(0, &[SHARED, BAD, 21]).1, Placed::Refused(Reason::Quarantined));
}

/// The run of an instance that was lost is still counted as running.
#[test]
fn a_run_of_a_lost_instance_holds_no_request_back() {
    let mut zones = Zones::new(1);
    zones.crash(0, &[SHARED, BAD, 11]);
    assert_eq!(zones.place(0, &[SHARED, 7, 12]).1, Placed::Granted);
    zones.schedulers[0].handle_disconnect(CLIENT, zones.now);
    zones.share(0);

    zones.now += Duration::from_millis(2_000);

    assert_eq!(zones.answer(0, &[SHARED, 7, 13]), Placed::Granted);
}

/// A new scheduler changes its predecessor's report nine minutes after the last loss.
#[test]
fn a_new_scheduler_does_not_prolong_a_quarantine() {
    let mut zones = Zones::new(1);
    for number in 0..5 {
        zones.crash(0, &[SHARED, BAD, 10 + number]);
    }
    zones.now += Duration::from_secs(540);
    let report = zones.quarantine.report("z0", zones.now).unwrap();
    zones.schedulers[0] = zone_scheduler(0);
    zones.schedulers[0].restore_suspects(&report, zones.now);
    zones.crash(0, &[70, 71, 72]);

    zones.now += Duration::from_secs(120);

    assert_eq!(zones.place(0, &[SHARED, BAD, 100]).1, Placed::Granted);
}

/// An instance that starts reads rows that were written at different times.
#[test]
fn losses_at_one_moment_blame_no_part_at_a_new_instance() {
    let mut zones = Zones::new(3);
    let start = |zone: usize| (zone, zones.place(zone, &[7, 100 + zone as u64]).0);
    let tickets: Vec<(usize, u64)> = (0..3).map(start).collect();
    for (zone, ticket) in tickets {
        zones.end(zone, ticket, RunResult::Broken, true);
    }
    for zone in 1..3 {
        zones.now += Duration::from_secs(60);
        zones.crash(zone, &[200 + zone as u64, 300]);
    }
    assert_eq!(zones.quarantine.blamed(&SERVICE.into(), [Key::part(7)], zones.now), None);

    let mut new = Quarantine::default();
    for zone in 0..3 {
        let report = zones.quarantine.report(&zone_name(zone), zones.now).unwrap();
        new.update(&zone_name(zone), report, zones.now);
    }

    assert_eq!(new.blamed(&SERVICE.into(), [Key::part(7)], zones.now), None);
}

/// Engines whose answers all end with their connection, so that only the check of the engine shows that they are whole.
#[test]
fn answers_without_a_marked_end_clear_their_parts_if_the_engine_lives() {
    let mut zones = Zones::new(1);

    for number in 0..12 {
        zones.now += Duration::from_millis(500);
        let (ticket, placed) = zones.place(0, &[SHARED, 7, 100 + number]);
        assert_eq!(placed, Placed::Granted);
        let key = RequestKey { client: CLIENT, ticket };
        zones.schedulers[0].handle_unconfirmed_answer(key, zones.now);
        zones.answer_checks(0, false);
        assert!(zones.crash(0, &[SHARED, 7, 200 + number]), "run {number} was refused");
    }
}

/// An instance that does not know the reason would take the message for malformed and close its link.
#[test]
fn a_refusal_for_a_part_is_understood_by_older_instances() {
    let refusal =
        ToInstance::Refuse { ticket: 1, retry_after_ms: 600_000, reason: Reason::Quarantined };

    let text = serde_json::to_string(&refusal).unwrap();

    assert!(text.contains("\"no_engine\""), "{text}");
    assert!(serde_json::from_str::<ToInstance>(&text).is_ok());
}

/// The losses are older than the process that reads the report.
#[test]
fn losses_before_the_start_of_an_instance_count() {
    let losses = (0..3).map(|number| loss(number, &[(number.into(), &[BAD])])).collect();
    let mut report = report(losses, Duration::from_secs(1));
    report.add_age(Duration::from_secs(20));
    let started = Instant::from_millis(500);
    let mut quarantine = Quarantine::default();

    quarantine.update(&"z".into(), report, started);

    let left = QUARANTINE_TIME - Duration::from_secs(20);
    let is_blamed = |at| quarantine.blamed(&SERVICE.into(), [Key::part(BAD)], at).is_some();
    assert!(is_blamed(started));
    assert!(is_blamed(started + left - Duration::from_secs(1)));
    assert!(!is_blamed(started + left));
}

/// The losses are older than the process of the scheduler, which reports them again after another one.
#[test]
fn a_scheduler_reports_the_losses_before_its_start_at_their_age() {
    let started = Instant::from_millis(500);
    let mut former = report(vec![loss(1, &[(1, &[BAD])])], Duration::ZERO);
    former.add_age(Duration::from_secs(20));
    let mut scheduler = zone_scheduler(0);

    scheduler.restore_suspects(&former, started);
    let later = started + Duration::from_secs(1);
    let (ticket, parts) =
        (1, vec![PromptPart { id: 7, tokens: 100 }, PromptPart { id: 8, tokens: 1 }]);
    scheduler.place(CLIENT, Placement { parts, ..placement(ticket, "a1") }, later);
    let key = RequestKey { client: CLIENT, ticket };
    scheduler.handle_ended(key, Some(RunResult::Broken), later);
    let mut ages = Vec::new();
    let mut outputs = scheduler.take_outputs();
    while let Some(output) = outputs.pop() {
        match output {
            Output::CheckEngine(_, check) => {
                scheduler.handle_check(&check, Finding::Lost, later);
                outputs.extend(scheduler.take_outputs());
            }
            Output::ReportSuspects(report) => {
                ages = report.losses.iter().map(|loss| loss.age_ms).collect();
            }
            _ => {}
        }
    }

    assert_eq!(ages, [21_000, 0]);
}
