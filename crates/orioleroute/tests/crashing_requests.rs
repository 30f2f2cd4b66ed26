//! Verdicts on requests that end the upstreams that run them.
//!
//! Guards against a request that comes again and ends one upstream after the other because nothing connects the losses, and
//! against blaming a sound request for power losses or a defective upstream.

mod scheduling;

use std::net::SocketAddr;

use orioleroute::ingress::attempt::{Content, Generation, Part};
use orioleroute::ingress::quarantine::{Change, Key, Kind, Loss, Quarantine, Report, Run};
use orioleroute::ingress::unreported::Unreported;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{RunResult, UngrantedRun};
use orioleroute::scheduler::{EngineCheck, Finding, Identity, Output, Reply, Scheduler};
use rstest::rstest;

/// The request that ends upstreams, and sound ones.
const BAD: u64 = 0xbad;
const SOUND: u64 = 1;
const OTHER: u64 = 2;

const SERVICE: &str = "desk";

/// Returns a loss of the upstream with this number under requests, each given by its digest and the time for which it ran.
fn loss(upstream: u16, runs: &[(u64, u64)]) -> Loss {
    let run = |(request, ran_ms): &(u64, u64)| Run {
        request: Some(*request),
        ran_ms: *ran_ms,
        ..Run::default()
    };
    Loss {
        service: SERVICE.into(),
        engine: address(upstream),
        has_answered: false,
        age_ms: 0,
        runs: runs.iter().map(run).collect(),
    }
}

/// Returns a loss of an upstream that had answered other requests.
fn loss_after_answers(upstream: u16, runs: &[(u64, u64)]) -> Loss {
    Loss { has_answered: true, ..loss(upstream, runs) }
}

fn address(upstream: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], upstream))
}

/// Returns the requests that these losses blame, in order. The losses are this far apart.
fn blamed(losses: Vec<Loss>, distance: Duration) -> Vec<u64> {
    let ages = (0..losses.len()).rev().map(|number| distance * number as u32);
    let losses = losses.into_iter().zip(ages);
    let losses = losses.map(|(loss, age)| Loss { age_ms: age.as_millis() as u64, ..loss });
    let report = Report { losses: losses.collect(), sound: Vec::new() };
    let changes = Quarantine::default().update(&"z".into(), report, Instant::from_millis(60_000));
    let mut ids: Vec<u64> = changes
        .into_iter()
        .filter_map(|change| match change {
            Change::Blamed(subject, _) if subject.key.kind == Kind::Request => Some(subject.key.id),
            Change::Blamed(..) | Change::Released(_) => None,
        })
        .collect();
    ids.sort_unstable();
    ids
}

/// The second is a retry of the first, 120 ms later; the others come from clients.
#[rstest]
#[case::retries(120)]
#[case::returns(4_000)]
fn a_request_under_which_three_upstreams_were_lost_is_blamed(#[case] distance_ms: u64) {
    let losses = vec![loss(1, &[(BAD, 85)]), loss(2, &[(BAD, 85)]), loss(3, &[(BAD, 85)])];

    assert_eq!(blamed(losses, Duration::from_millis(distance_ms)), [BAD]);
}

#[test]
fn requests_that_ran_beside_it_are_not_blamed() {
    let losses = vec![
        loss(1, &[(BAD, 85), (SOUND, 10)]),
        loss(2, &[(SOUND, 5), (BAD, 85)]),
        loss(3, &[(BAD, 85), (OTHER, 3)]),
        loss(1, &[(BAD, 85), (SOUND, 30)]),
    ];

    assert_eq!(blamed(losses, Duration::from_secs(1)), [BAD]);
}

#[test]
fn two_bad_requests_are_both_blamed() {
    let losses = [1, 2, 3].into_iter().flat_map(|number| {
        [loss(number, &[(BAD, 85), (SOUND, 1)]), loss(number + 3, &[(OTHER, 85)])]
    });
    let last = loss(1, &[(BAD, 85)]);

    let blamed = blamed(losses.chain([last]).collect(), Duration::from_secs(1));

    assert_eq!(blamed, [OTHER, BAD]);
}

/// Upstreams are lost under both requests at first, and then under each by itself.
#[test]
fn two_bad_requests_that_were_lost_together_are_both_blamed() {
    let mut losses: Vec<Loss> =
        (1..=4).map(|number| loss(number, &[(BAD, 85), (OTHER, 85)])).collect();
    losses.extend([loss(1, &[(BAD, 85)]), loss(2, &[(BAD, 85)]), loss(3, &[(OTHER, 85)])]);

    assert_eq!(blamed(losses, Duration::from_secs(1)), [OTHER, BAD]);
}

#[rstest]
#[case::three_losses(3, &[])]
#[case::four_losses(4, &[SOUND, BAD])]
fn requests_that_were_only_lost_together_are_run_once_more(
    #[case] count: u16,
    #[case] expected: &[u64],
) {
    let losses = (0..count).map(|number| loss(number % 3, &[(SOUND, 85), (BAD, 85)]));

    assert_eq!(blamed(losses.collect(), Duration::from_secs(1)), expected);
}

#[rstest]
#[case::two_losses(vec![loss(1, &[(SOUND, 85)]), loss(2, &[(SOUND, 85)])], 1_000)]
#[case::at_one_moment(
    vec![loss(1, &[(SOUND, 5)]), loss(2, &[(SOUND, 15)]), loss(3, &[(SOUND, 25)])], 10)]
#[case::found_one_after_the_other(
    vec![loss(1, &[(SOUND, 2_500)]), loss(2, &[(SOUND, 2_500)]), loss(3, &[(SOUND, 2_500)])], 300)]
#[case::a_defective_upstream(
    vec![loss(1, &[(SOUND, 85)]), loss(1, &[(SOUND, 85)]), loss(1, &[(SOUND, 85)])], 2_000)]
#[case::an_upstream_that_ends_without_it_too(vec![
    loss_after_answers(1, &[(SOUND, 85)]), loss_after_answers(1, &[(OTHER, 5)]),
    loss_after_answers(1, &[(SOUND, 85)]), loss_after_answers(1, &[(SOUND, 85)])], 2_000)]
fn too_little_evidence_blames_no_request(#[case] losses: Vec<Loss>, #[case] distance_ms: u64) {
    assert!(blamed(losses, Duration::from_millis(distance_ms)).is_empty());
}

#[test]
fn a_request_that_ends_the_only_upstream_is_blamed_if_that_answers_others() {
    let losses = vec![
        loss_after_answers(1, &[(BAD, 85), (SOUND, 5)]),
        loss(1, &[(BAD, 85)]),
        loss_after_answers(1, &[(BAD, 85)]),
    ];

    assert_eq!(blamed(losses, Duration::from_secs(2)), [BAD]);
}

/// The scheduler of a zone without engines, which collects what instances report.
struct Zone {
    scheduler: Scheduler,
    quarantine: Quarantine,
    now: Instant,
}

impl Zone {
    fn new() -> Self {
        let (scheduler, _) = scheduling::scheduler(&[]);
        Self { scheduler, quarantine: Quarantine::default(), now: scheduling::START }
    }

    /// Reports the end of a run, and finds the upstream to be lost if it is checked. Returns the number of checks.
    fn end(&mut self, upstream: u16, request: u64, result: RunResult) -> usize {
        self.report(ended(upstream, request), result)
    }

    fn report(&mut self, ended: UngrantedRun, result: RunResult) -> usize {
        self.scheduler.handle_ungranted(ended, Some(result), false, self.now);
        let mut checks = 0;
        let mut outputs = self.scheduler.take_outputs();
        while let Some(output) = outputs.pop() {
            match output {
                Output::CheckEngine(_, check) => {
                    checks += 1;
                    self.scheduler.handle_check(&check, Finding::Lost, self.now);
                    outputs.extend(self.scheduler.take_outputs());
                }
                Output::ReportSuspects(report) => {
                    self.quarantine.update(&"z".into(), report, self.now);
                }
                _ => {}
            }
        }
        checks
    }

    fn is_blamed(&self, request: u64) -> bool {
        self.blames(Key::request(request))
    }

    fn blames(&self, key: Key) -> bool {
        self.quarantine.blamed(&SERVICE.into(), [key], self.now).is_some()
    }
}

/// Instances report the runs that one loss breaks off at different times.
#[test]
fn runs_that_one_loss_breaks_off_are_checked_once() {
    let mut zone = Zone::new();

    let checks = zone.end(1, BAD, RunResult::Broken);
    zone.now += Duration::from_millis(30);
    let more = zone.end(1, SOUND, RunResult::Broken);

    assert_eq!((checks, more), (1, 0));
}

/// The row of a restarted upstream is written while the store is away, so instances know it by its former id.
#[test]
fn losses_of_an_upstream_that_keeps_its_id_count_separately() {
    let mut zone = Zone::new();

    for upstream in [1, 2, 1] {
        assert!(!zone.is_blamed(BAD));
        zone.now += Duration::from_millis(900);
        assert_eq!(zone.end(upstream, BAD, RunResult::Broken), 1);
    }

    assert!(zone.is_blamed(BAD));
}

#[test]
fn an_answer_clears_a_request() {
    let mut zone = Zone::new();

    for upstream in [1, 2] {
        zone.now += Duration::from_secs(1);
        zone.end(upstream, SOUND, RunResult::Broken);
    }
    zone.end(3, SOUND, RunResult::Answered);
    zone.now += Duration::from_secs(1);
    zone.end(3, SOUND, RunResult::Broken);

    assert!(!zone.is_blamed(SOUND));
}

fn generation() -> Generation {
    Generation {
        model: "m".into(),
        adapter: Some("a1".into()),
        prompt_tokens: 100,
        output_tokens: 20,
        parts: vec![Part { id: 7, tokens: 100 }],
    }
}

/// Each request differs from the first in one thing.
#[test]
fn requests_that_differ_have_different_digests() {
    let generation = generation();
    let other = Generation { parts: vec![Part { id: 8, tokens: 100 }], ..generation.clone() };
    let content = Content {
        method: "GET",
        host: "desk.example",
        target: "/read/1?station=7",
        credentials: None,
        generation: Some(&generation),
        body: b"",
    };
    let contents = [
        content,
        Content { method: "PUT", ..content },
        Content { host: "else.example", ..content },
        Content { target: "/read/1?station=8", ..content },
        Content { target: "/read/1?station=7GET", ..content },
        Content { credentials: Some(b"one"), ..content },
        Content { generation: None, ..content },
        Content { generation: Some(&other), ..content },
        Content { body: b"one", ..content },
    ];

    let digests: Set<u64> = contents.iter().map(Content::digest).collect();

    assert_eq!(digests.len(), contents.len());
    assert_eq!(content.digest(), contents[0].digest());
}

/// Returns a run of a request that has ended.
fn ended(upstream: u16, request: u64) -> UngrantedRun {
    UngrantedRun {
        zone: "z".into(),
        service: SERVICE.into(),
        upstream: format!("i-{upstream}").into(),
        started_ms: Some(1_000),
        address: address(upstream),
        has_answered: false,
        age_ms: 0,
        run: Run { request: Some(request), ran_ms: 85, ..Run::default() },
    }
}

/// Three upstreams are lost before there is a scheduler, which then learns of all of them at once.
#[test]
fn losses_that_are_reported_later_together_are_apart() {
    let mut zone = Zone::new();
    let mut unreported = Unreported::default();
    for upstream in 1..=3 {
        unreported.push(ended(upstream, BAD), zone.now);
        zone.now += Duration::from_secs(1);
    }

    for run in unreported.take(zone.now) {
        zone.report(run, RunResult::Broken);
    }

    assert!(zone.is_blamed(BAD));
}

/// A part that crashes upstreams, and one that sound requests have as well.
const CRASHING_PART: u64 = 0xc;
const SHARED_PART: u64 = 0x5;

/// Returns a run with these parts that has ended.
fn ended_with_parts(upstream: u16, own: u64, parts: &[u64]) -> UngrantedRun {
    let run = Run { own, parts: parts.to_vec(), ran_ms: 80, request: None };
    UngrantedRun { run, ..ended(upstream, 0) }
}

/// Six upstreams are lost before there is a scheduler, each under a crashing request and a sound one beside it, and other
/// sound ones are answered. The moments are those of a run. Without the answers the scheduler blames the part that all have.
#[test]
fn a_part_that_was_sound_before_there_was_a_scheduler_is_not_blamed() {
    let mut zone = Zone::new();
    let mut unreported = Unreported::default();
    unreported.record_sound(&ended_with_parts(7, 70, &[SHARED_PART]), zone.now);
    for (number, pause_ms) in [80, 80, 230, 80, 230, 80].into_iter().enumerate() {
        zone.now += Duration::from_millis(pause_ms);
        let (upstream, own) = (number as u16 + 1, number as u64);
        let crashing = ended_with_parts(upstream, own, &[SHARED_PART, CRASHING_PART]);
        unreported.push(crashing, zone.now);
        unreported.push(ended_with_parts(upstream, own + 100, &[SHARED_PART]), zone.now);
    }
    zone.now += Duration::from_millis(350);

    let kept = unreported.take(zone.now);
    for run in &kept {
        if let Some(sound) = unreported.sound_among(run, run.run.keys(), zone.now) {
            zone.report(sound, RunResult::Answered);
        }
    }
    for run in kept {
        zone.report(run, RunResult::Broken);
    }

    assert!(zone.blames(Key::part(CRASHING_PART)));
    assert!(!zone.blames(Key::part(SHARED_PART)));
}

/// What was sound once may have begun to crash upstreams since.
#[test]
fn an_answer_without_a_scheduler_counts_for_a_minute() {
    let mut unreported = Unreported::default();
    let run = ended_with_parts(1, 1, &[SHARED_PART]);
    let answered = Instant::from_millis(1_000);
    unreported.record_sound(&run, answered);
    let age_after = |span| {
        let now = answered + Duration::from_millis(span);
        unreported.sound_among(&run, run.run.keys(), now).map(|sound| sound.age_ms)
    };

    assert_eq!(age_after(59_000), Some(59_000));
    assert_eq!(age_after(60_000), None);
}

#[test]
fn a_loss_that_nobody_could_be_told_of_is_forgotten() {
    let mut unreported = Unreported::default();
    let start = Instant::from_millis(500);
    unreported.push(ended(1, BAD), start);
    unreported.push(ended(2, BAD), start + Duration::from_secs(6));

    let kept = unreported.take(start + Duration::from_secs(11));

    let kept: Vec<(&str, u64)> = kept.iter().map(|run| (&*run.upstream, run.age_ms)).collect();
    assert_eq!(kept, [("i-2", 5_000)]);
}

/// Returns the check of upstream 1 after a run broke off there, whose process was started at 1,000.
fn engine_check() -> EngineCheck {
    let mut scheduler = Zone::new().scheduler;
    let now = Instant::from_millis(5_000);
    scheduler.handle_ungranted(ended(1, 1), Some(RunResult::Broken), false, now);
    let outputs = scheduler.take_outputs();
    let mut checks = outputs.into_iter().filter_map(|output| match output {
        Output::CheckEngine(_, check) => Some(check),
        _ => None,
    });
    checks.next().expect("the upstream is checked")
}

/// A connection to the address of an upstream shows nothing by itself: the process that ends or the next one may listen.
#[rstest]
#[case::refused(&[Reply::Refused], Some(Finding::Lost))]
#[case::closed_once(&[Reply::Closed], None)]
#[case::closed_and_refused(&[Reply::Closed, Reply::Refused], Some(Finding::Lost))]
#[case::closed_always(&[Reply::Closed, Reply::Closed, Reply::Closed], Some(Finding::Unclear))]
#[case::timed_out_once(&[Reply::TimedOut], None)]
#[case::timed_out_twice(&[Reply::TimedOut, Reply::TimedOut], Some(Finding::Lost))]
#[case::another_upstream(&[Reply::Misdirected], Some(Finding::Lost))]
#[case::another_id(&[process(Some("i-2"), None)], Some(Finding::Lost))]
#[case::a_later_start(&[process(None, Some(1_001))], Some(Finding::Lost))]
#[case::the_same_process(&[process(Some("i-1"), Some(1_000))], Some(Finding::Alive))]
#[case::no_contradiction(&[process(None, None)], Some(Finding::Alive))]
#[case::no_answer(&[Reply::Unclear], Some(Finding::Unclear))]
fn who_listens_at_the_address_decides_whether_an_upstream_is_lost(
    #[case] replies: &[Reply],
    #[case] finding: Option<Finding>,
) {
    let check = engine_check();

    let judged = check.judge(replies);

    assert_eq!(judged, finding);
}

fn process(upstream: Option<&str>, started_ms: Option<u64>) -> Reply {
    Reply::Answered(Identity { upstream: upstream.map(Arc::from), started_ms })
}
