//! The scheduler's decisions on engines that have named a limit.
//!
//! Guards against a limit that is exceeded or hardly used, and against requests that wait for a limited engine although
//! another one is free or no engine can serve them in time.

mod scheduling;

use orioleroute::ingress::Notice;
use orioleroute::ingress::notice::Limit;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Reason, RunResult, ToInstance};
use orioleroute::scheduler::order::Outcome;
use orioleroute::scheduler::{Output, RequestKey, Scheduler};
use scheduling::{CLIENT, description, grants, orders, placement, refusals, scheduler};

const SECOND: Duration = Duration::from_secs(1);

fn key(ticket: u64) -> RequestKey {
    RequestKey { client: CLIENT, ticket }
}

fn limited(rate: f64) -> Notice {
    Notice { limit: Some(Limit::PerSecond(rate)), ..Notice::default() }
}

/// Returns a scheduler of these engines, to which an instance has reported the limit of the first one.
fn limited_scheduler(engines: usize, rate: f64) -> (Scheduler, Instant) {
    let descriptions: Vec<_> = (0..engines).map(|number| description(number, &["a1"])).collect();
    let (mut scheduler, now) = scheduler(&descriptions);
    let mut ticket = 1_000;
    loop {
        ticket += 1;
        scheduler.place(CLIENT, placement(ticket, "a1"), now);
        let outputs = scheduler.take_outputs();
        let is_first = upstreams(&outputs) == ["i-0"];
        if is_first {
            scheduler.handle_notice(key(ticket), limited(rate), now);
        }
        scheduler.handle_ended(key(ticket), Some(RunResult::Answered), now);
        scheduler.take_outputs();
        if is_first {
            return (scheduler, now);
        }
    }
}

fn upstreams(outputs: &[Output]) -> Vec<String> {
    let granted = outputs.iter().filter_map(|output| match output {
        Output::Send(_, ToInstance::Grant(grant)) => Some(grant.upstream.to_string()),
        _ => None,
    });
    granted.collect()
}

/// Places a request every 50 ms, each of which ends after 200 ms, and returns the engines of the grants.
fn grants_of(scheduler: &mut Scheduler, from: Instant, time: Duration) -> Vec<String> {
    let mut granted = Vec::new();
    let mut running: Vec<(Instant, u64)> = Vec::new();
    for step in 0..(time.as_millis() / 50) as u32 {
        let now = from + Duration::from_millis(50) * step;
        let (over, rest) = running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        let over: Vec<(Instant, u64)> = over;
        for (_, ticket) in over {
            scheduler.handle_ended(key(ticket), Some(RunResult::Answered), now);
        }
        scheduler.place(CLIENT, placement(u64::from(step), "a1"), now);
        scheduler.tick(now);
        for output in scheduler.take_outputs() {
            match output {
                Output::Send(_, ToInstance::Grant(grant)) => {
                    scheduler.handle_started(key(grant.ticket), now);
                    running.push((now + Duration::from_millis(200), grant.ticket));
                    granted.push(grant.upstream.to_string());
                }
                Output::IssueOrder(_, order) => {
                    scheduler.handle_order_outcome(&order, Outcome::Holds, now);
                }
                _ => {}
            }
        }
    }
    granted
}

#[test]
fn a_limited_engine_gets_its_rate_and_the_others_the_rest() {
    let (mut scheduler, now) = limited_scheduler(2, 2.0);

    let granted = grants_of(&mut scheduler, now, SECOND * 10);

    let at_limited = granted.iter().filter(|upstream| *upstream == "i-0").count();
    assert!((14..=21).contains(&at_limited), "{at_limited} in 10 s");
    assert_eq!(granted.len(), 200);
}

#[test]
fn an_engine_that_is_no_longer_limited_gets_requests_as_any_other() {
    let (mut scheduler, now) = limited_scheduler(1, 0.5);
    scheduler.place(CLIENT, placement(1, "a1"), now + SECOND * 3);
    let unlimited = Notice { limit: Some(Limit::Unlimited), ..Notice::default() };
    scheduler.handle_notice(key(1), unlimited, now + SECOND * 3);
    scheduler.take_outputs();

    for ticket in 2..12 {
        scheduler.place(CLIENT, placement(ticket, "a1"), now + SECOND * 4);
        scheduler.handle_started(key(ticket), now + SECOND * 4);
    }

    assert_eq!(grants(&scheduler.take_outputs()).len(), 10);
}

/// The client comes back when there is a place, instead of waiting until it is late.
#[test]
fn a_request_that_the_limits_leave_no_time_for_is_refused_at_once() {
    let (mut scheduler, now) = limited_scheduler(1, 0.25);

    scheduler.place(CLIENT, placement(1, "a1"), now);

    let outputs = scheduler.take_outputs();
    assert_eq!(refusals(&outputs), [(1, Reason::Overloaded)]);
    let retry_after = outputs.iter().find_map(|output| match output {
        Output::Send(_, ToInstance::Refuse { retry_after_ms, .. }) => Some(*retry_after_ms),
        _ => None,
    });
    assert!(retry_after >= Some(100));
}

/// Requests that wait for a limited engine count before the next one, so that not all are admitted.
#[test]
fn requests_that_wait_for_a_limited_engine_delay_the_next() {
    let (mut scheduler, now) = limited_scheduler(1, 2.0);

    for ticket in 1..=4 {
        scheduler.place(CLIENT, placement(ticket, "a1"), now);
    }

    let refused: Vec<u64> =
        refusals(&scheduler.take_outputs()).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(refused, [2, 3, 4]);
}

#[test]
fn the_next_request_at_a_limited_engine_is_the_most_urgent_one() {
    let (mut scheduler, now) = limited_scheduler(1, 4.0);
    for (ticket, priority) in [(1, 2), (2, 0)] {
        let request = placement(ticket, "a1");
        let placement = orioleroute::scheduler::message::Placement { priority, ..request };
        scheduler.place(CLIENT, placement, now);
    }
    scheduler.take_outputs();

    scheduler.tick(now + Duration::from_millis(300));

    assert_eq!(grants(&scheduler.take_outputs()), [2]);
}

/// The adapter was being loaded for the request when the engine named its limit.
#[test]
fn a_request_that_is_assigned_to_a_limited_engine_runs_at_another_one() {
    let (mut scheduler, now) = limited_scheduler(1, 0.5);
    scheduler.update_engines(&[description(0, &["a1"]), description(1, &["a1"])], now);
    scheduler.tick(now + SECOND);
    let models = description(1, &["a1"]).models;
    let report = orioleroute::scheduler::order::Report { models, ..Default::default() };
    scheduler.handle_report("i-1", Some(&report), now + SECOND);
    scheduler.take_outputs();

    let granted = grants_of(&mut scheduler, now + SECOND, SECOND * 2);

    assert!(granted.iter().filter(|upstream| *upstream == "i-0").count() <= 2, "{granted:?}");
    assert_eq!(granted.len(), 40);
}

/// Other zones send their overflow to where there is capacity.
#[test]
fn an_engine_whose_limit_allows_no_request_is_no_capacity_of_its_zone() {
    let (scheduler, now) = limited_scheduler(2, 0.5);

    let load = scheduler.load(&"a".into(), now);

    assert_eq!(load.engines, 1);
}

#[test]
fn loads_of_adapters_do_not_count_towards_a_limit() {
    let (mut scheduler, now) = limited_scheduler(1, 1.0);
    scheduler.place(CLIENT, placement(1, "a2"), now + SECOND * 2);

    let outputs = scheduler.take_outputs();
    let load = orders(&outputs).remove(0);
    scheduler.handle_order_outcome(&load, Outcome::Holds, now + SECOND * 2);

    assert_eq!(grants(&scheduler.take_outputs()), [1]);
}
