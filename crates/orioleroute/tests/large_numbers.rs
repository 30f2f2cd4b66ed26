//! Numbers that no sound client, engine or instance sends, which arrive all the same.
//!
//! Guards against arithmetic that ends the process, or that wraps and gives a wrong answer.

mod scheduling;

use std::net::SocketAddr;

use orioleroute::ingress::attempt::Part;
use orioleroute::ingress::organisation::{Quota, Unit};
use orioleroute::ingress::quarantine::{self, Loss, Quarantine, Run};
use orioleroute::ingress::quota::{Account, Lender, Verdict};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::Placement;
use orioleroute::scheduler::order::{Action, Outcome, Report};
use orioleroute::scheduler::overflow::{self, Candidate, Load};
use rstest::rstest;
use scheduling::{CLIENT, START, description, grants, orders, placement, scheduler};

/// Guards against a prompt whose parts have more tokens together than a number holds.
#[test]
fn parts_with_the_most_tokens_are_counted_as_cached() {
    let (mut scheduler, now) = scheduler(&[description(1, &["a1"])]);
    let parts: Vec<Part> = (1..=3).map(|id| Part { id, tokens: u32::MAX }).collect();
    let request = |ticket| Placement {
        parts: parts.clone(),
        prompt_tokens: 1_000,
        ..placement(ticket, "a1")
    };
    scheduler.place(CLIENT, request(1), now);

    scheduler.place(CLIENT, request(2), now);

    assert_eq!(grants(&scheduler.take_outputs()), [1, 2]);
    let runner = scheduler.runners().next().unwrap();
    let prefill = runner.in_flight.values().map(|request| request.prefill_tokens);
    assert_eq!(prefill.min(), Some(0));
}

/// Guards against an engine that claims to have accepted as many orders as a number holds.
#[test]
fn an_order_after_the_most_orders_is_counted() {
    let (mut scheduler, now) = scheduler(&[]);
    let engine = description(1, &[]);
    scheduler.update_engines([&engine], now);
    let now = now + Duration::from_secs(1);
    scheduler.tick(now);
    let report =
        Report { accepted_orders: u64::MAX, models: engine.models.clone(), ..Report::default() };
    scheduler.handle_report(&engine.id, Some(&report), now);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    let order = orders(&scheduler.take_outputs()).remove(0);

    scheduler.handle_order_outcome(&order, Outcome::Accepted, now);

    assert!(matches!(order.action, Action::LoadAdapter { .. }));
    assert_eq!(scheduler.runners().next().unwrap().accepted_orders, u64::MAX);
}

/// Guards against a client that waits for ever, and a zone that states the most engines.
#[rstest]
#[case::engines(u32::MAX, 0, Duration::from_secs(4))]
#[case::wait(1, 0, Duration::from_millis(u64::MAX))]
#[case::engines_and_wait(u32::MAX, u32::MAX, Duration::from_millis(u64::MAX))]
fn a_zone_with_the_most_capacity_is_chosen(
    #[case] engines: u32,
    #[case] delay_ms: u32,
    #[case] left: Duration,
) {
    let most = Load { zone: "most".into(), engines, delay_ms };
    let least = Load { zone: "least".into(), engines: 1, delay_ms: u32::MAX };
    let candidates = [&most, &least].map(|load| Candidate { load, is_near: true });

    let chosen = overflow::choose(candidates, left, "a");

    assert!(chosen.is_some_and(|zone| left > Duration::from_secs(5_000_000) || *zone == *"most"));
}

/// Guards against zones that together state more queued work than a number holds.
#[test]
fn a_share_is_diverted_beside_zones_with_the_most_delay() {
    let own = Load { zone: "own".into(), engines: 1, delay_ms: 500 };
    let others: Vec<Load> = (0..4)
        .map(|zone| Load { zone: format!("{zone}").into(), engines: u32::MAX, delay_ms: u32::MAX })
        .collect();

    assert_eq!(overflow::diverted_share(&own, &others), 0.0);
}

/// Guards against a wait beyond the range of the clock that ends at once.
#[rstest]
#[case(Duration::from_millis(18_446_744_073_709_552))]
#[case(Duration::from_secs(1 << 45))]
#[case(Duration::MAX)]
fn an_instant_never_precedes_the_one_that_a_span_was_added_to(#[case] span: Duration) {
    let end = START + span;

    assert_eq!(end, Instant::from_micros(u64::MAX));
    assert_eq!(START - span, Instant::ZERO);
}

/// Guards against a report of the oldest loss, which each instance and each next scheduler takes over.
#[test]
fn the_oldest_loss_ages() {
    let loss = Loss {
        service: "notices".into(),
        engine: SocketAddr::from(([10, 0, 0, 1], 8_001)),
        has_answered: true,
        age_ms: u64::MAX,
        runs: vec![Run { own: 1, parts: vec![2], request: Some(3), ran_ms: u64::MAX }],
    };
    let report = quarantine::Report { losses: vec![loss], sound: Vec::new() };
    let mut quarantine = Quarantine::default();
    let (mut scheduler, now) = scheduler(&[description(1, &["a1"])]);
    let later = now + Duration::from_secs(1);
    quarantine.update(&"a".into(), report.clone(), now);
    scheduler.restore_suspects(&report, now);

    scheduler.tick(later);

    let aged = quarantine.report("a", later).unwrap();
    assert_eq!(aged.losses[0].age_ms, u64::MAX);
}

/// Guards against requests that state as many tokens as a number holds, and whose sum wraps to few.
#[test]
fn waiting_requests_with_the_most_tokens_are_not_counted_as_few() {
    let mut account: Account<u64> = Account::default();
    let organisation: Arc<str> = "one".into();
    for key in 0..2 {
        account.charge(&organisation, key, 1 << 63, START);
    }

    let loan = account.loan(&organisation, START).unwrap();

    assert_eq!((loan.needed, loan.wanted), (1 << 63, u64::MAX));
}

/// Guards against a small organisation that gets nothing while its lender is away, because its rate is rounded to 0 on the way.
#[test]
fn a_rate_below_one_unit_is_passed_on() {
    let organisation: Arc<str> = "one".into();
    let quota = Quota { rate: 0.5, burst: 1.0, unit: Unit::Request, default_tokens: 0 };
    let mut lender = Lender::new(1, START);
    let mut account: Account<u64> = Account::default();
    let mut now = START + Duration::from_secs(2);
    account.charge(&organisation, 1, 1, now);
    let loan = account.loan(&organisation, now).unwrap();
    let lent = lender.lend(&"a".into(), &loan, &quota, now);
    let text = serde_json::to_string(&lent).unwrap();
    account.handle_lent(&serde_json::from_str(&text).unwrap(), now);

    now += Duration::from_secs(1);
    account.handle_silence(&organisation, now);
    let verdict = account.charge(&organisation, 2, 1, now + Duration::from_secs(1));

    assert!(lent.rate() > 0.0 && lent.rate == 0, "{lent:?}");
    assert_eq!(verdict, Some(Verdict::Charged));
}
