//! Single decisions of the scheduler: grants, orders, and the handling of lost orders.

mod scheduling;

use orioleroute::ingress::upstream::{Announcement, Description, Revision};
use orioleroute::prelude::*;
use orioleroute::scheduler::copies::EngineCopies;
use orioleroute::scheduler::message::{Reason, RunResult, ToInstance};
use orioleroute::scheduler::order::{Action, Order, Outcome, Report};
use orioleroute::scheduler::{Output, RequestKey, Scheduler};
use rstest::rstest;
use scheduling::{
    ADAPTER_SLOTS, CLIENT, configuration, description, grants, orders, placement, refusals,
    scheduler,
};

fn key(ticket: u64) -> RequestKey {
    RequestKey { client: CLIENT, ticket }
}

#[test]
fn a_request_for_an_adapter_that_is_held_is_granted_at_once() {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"])]);

    scheduler.place(CLIENT, placement(1, "a1"), now);

    let outputs = scheduler.take_outputs();
    assert_eq!(grants(&outputs), [1]);
    assert!(orders(&outputs).is_empty());
}

#[test]
fn a_request_for_a_missing_adapter_is_granted_once_the_load_is_confirmed() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);

    scheduler.place(CLIENT, placement(1, "a1"), now);
    let load = orders(&scheduler.take_outputs()).remove(0);
    scheduler.handle_order_outcome(&load, Outcome::Accepted, now);
    let later = now + Duration::from_millis(260);
    scheduler.tick(later);
    let confirmation = orders(&scheduler.take_outputs()).remove(0);
    scheduler.handle_order_outcome(&confirmation, Outcome::Holds, later);

    assert_eq!((load.expected_accepted_orders, load.fencing_token), (Some(0), 7));
    assert_eq!(grants(&scheduler.take_outputs()), [1]);
}

/// A scheduler that has lost the list of engines learns from the instances that an engine is leaving.
#[test]
fn an_engine_that_an_instance_reports_as_leaving_gets_no_more_grants() {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"]), description(1, &[])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    scheduler.take_outputs();

    scheduler.handle_ended(key(1), Some(RunResult::Departed { list_version: 5 }), now);
    scheduler.place(CLIENT, placement(2, "a1"), now);

    let outputs = scheduler.take_outputs();
    assert!(grants(&outputs).is_empty());
    assert_eq!(orders(&outputs).iter().map(|order| &*order.upstream).collect::<Vec<_>>(), ["i-1"]);
}

/// All instances have lost power. The orders of the former scheduler have long taken effect when a new one
/// starts, and every moment without reports is one of refusals.
#[test]
fn a_scheduler_whose_predecessor_was_silent_requests_reports_at_once() {
    let descriptions = [description(0, &[])];
    let silence = Duration::from_millis(500);
    let mut after_silence = Scheduler::succeeding(7, configuration(), silence);
    let mut after_handover = Scheduler::new(7, configuration());
    let now = Instant::from_millis(2_000);

    let requests = [&mut after_silence, &mut after_handover].map(|scheduler| {
        scheduler.update_engines(&descriptions, now);
        scheduler.tick(now);
        let outputs = scheduler.take_outputs();
        outputs.iter().filter(|output| matches!(output, Output::RequestReport(..))).count()
    });

    assert_eq!(requests, [1, 0]);
}

/// A new scheduler that does not know what engines have copies of fetches all adapters from the weight
/// store again.
#[test]
fn an_adapter_is_loaded_where_a_predecessor_recorded_a_copy_of_it() {
    let engines: Vec<_> = (0..4).map(|number| description(number, &[])).collect();
    let (mut scheduler, now) = scheduler(&engines);
    let copies = |number: usize, started_ms| EngineCopies {
        engine: engines[number].id.clone(),
        started_ms,
        adapters: vec!["a1".into()],
    };
    let before_a_restart = engines[1].started_ms - 1;
    scheduler.restore_copies([copies(1, before_a_restart), copies(2, engines[2].started_ms)]);

    scheduler.place(CLIENT, placement(1, "a1"), now);

    let orders = orders(&scheduler.take_outputs());
    assert_eq!(orders.iter().map(|order| &*order.upstream).collect::<Vec<_>>(), ["i-2"]);
    let recorded = scheduler.copies();
    assert_eq!(recorded[2], copies(2, engines[2].started_ms));
}

/// What an instance reported must hold against an update of the scheduler's own list that does not say more about
/// the engine, and only against that.
#[rstest]
#[case::the_same_entry(1, &[])]
#[case::an_older_one_than_the_report(5, &[])]
#[case::a_newer_one(6, &[2])]
fn an_engine_that_was_reported_as_leaving_returns_only_with_a_newer_entry(
    #[case] entry_version: u64,
    #[case] granted: &[u64],
) {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    scheduler.handle_ended(key(1), Some(RunResult::Departed { list_version: 5 }), now);
    scheduler.take_outputs();

    let entry = Description { entry_version, ..description(0, &["a1"]) };
    scheduler.update_engines(&[entry], now);
    scheduler.place(CLIENT, placement(2, "a1"), now);

    assert_eq!(grants(&scheduler.take_outputs()), granted);
}

/// An instance whose list is older than the scheduler's must not take an engine out of use.
#[test]
fn a_report_from_an_older_list_is_ignored() {
    let engine = Description { entry_version: 9, ..description(0, &["a1"]) };
    let (mut scheduler, now) = scheduler(&[engine]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    scheduler.handle_ended(key(1), Some(RunResult::Departed { list_version: 5 }), now);
    scheduler.take_outputs();

    scheduler.place(CLIENT, placement(2, "a1"), now);

    assert_eq!(grants(&scheduler.take_outputs()), [2]);
}

#[test]
fn repeating_the_order_for_a_load_in_progress_does_not_count_as_an_order() {
    let (mut scheduler, mut now) = scheduler(&[description(0, &[])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    let load = orders(&scheduler.take_outputs()).remove(0);
    scheduler.handle_order_outcome(&load, Outcome::Accepted, now);

    for _ in 0..3 {
        now += Duration::from_millis(300);
        scheduler.tick(now);
        let again = orders(&scheduler.take_outputs()).remove(0);
        assert_eq!(again.expected_accepted_orders, Some(1));
        scheduler.handle_order_outcome(&again, Outcome::Accepted, now);
    }
}

#[test]
fn an_unanswered_order_is_issued_again_with_the_same_expected_orders() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    let lost = orders(&scheduler.take_outputs()).remove(0);

    scheduler.handle_order_outcome(&lost, Outcome::Unanswered, now);
    scheduler.tick(now + Duration::from_millis(1));

    assert_eq!(orders(&scheduler.take_outputs()), [lost]);
}

/// The row that names the scheduler was lost with the store's last writes, and has been written again.
#[test]
fn an_order_from_before_the_fencing_token_was_renewed_still_has_its_outcome() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    let load = orders(&scheduler.take_outputs()).remove(0);

    scheduler.renew(load.fencing_token + 1);

    assert!(scheduler.has_issued(&load));
    scheduler.handle_order_outcome(&load, Outcome::Holds, now);
    assert_eq!(grants(&scheduler.take_outputs()), [1]);
    scheduler.place(CLIENT, placement(2, "a2"), now);
    let next = orders(&scheduler.take_outputs()).remove(0);
    assert_eq!(next.fencing_token, load.fencing_token + 1);
}

#[test]
fn after_a_conflict_the_state_is_taken_from_a_report() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    let load = orders(&scheduler.take_outputs()).remove(0);

    scheduler.handle_order_outcome(&load, Outcome::Conflict, now);
    let later = now + Duration::from_millis(400);
    scheduler.tick(later);
    let report_requests = scheduler.take_outputs();
    let models = description(0, &["a1"]).models;
    scheduler.handle_report(
        "i-0",
        Some(&Report { accepted_orders: 5, models, ..Report::default() }),
        later,
    );

    assert!(report_requests.iter().any(|output| matches!(output, Output::RequestReport(..))));
    assert_eq!(grants(&scheduler.take_outputs()), [1]);
}

#[test]
fn a_full_engine_evicts_the_least_popular_idle_adapter() {
    let names = ["a1", "a2", "a3", "a4", "a5", "a6"];
    let (mut scheduler, mut now) = scheduler(&[description(0, &names)]);
    let mut ticket = 0;
    for (index, name) in names.iter().enumerate() {
        for _ in 0..=(names.len() - index) {
            ticket += 1;
            now += Duration::from_millis(200);
            scheduler.place(CLIENT, placement(ticket, name), now);
            scheduler.handle_started(key(ticket), now);
            scheduler.handle_ended(key(ticket), Some(RunResult::Answered), now);
        }
    }
    scheduler.take_outputs();

    scheduler.place(CLIENT, placement(100, "b1"), now);

    let order = orders(&scheduler.take_outputs()).remove(0);
    assert_eq!(order.action, Action::UnloadAdapter { adapter: "a6".into() });
}

#[test]
fn an_adapter_in_use_is_never_evicted() {
    let names = ["a1", "a2", "a3", "a4", "a5", "a6"];
    let (mut scheduler, now) = scheduler(&[description(0, &names)]);
    for (ticket, name) in names.iter().enumerate() {
        scheduler.place(CLIENT, placement(ticket as u64, name), now);
        scheduler.handle_started(key(ticket as u64), now);
    }
    scheduler.take_outputs();

    scheduler.place(CLIENT, placement(100, "b1"), now);

    assert!(orders(&scheduler.take_outputs()).is_empty());
}

#[test]
fn a_newer_version_is_loaded_before_a_request_runs() {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"])]);
    let request = placement_of_version(2);

    scheduler.place(CLIENT, request, now);
    let unload = orders(&scheduler.take_outputs()).remove(0);
    scheduler.handle_order_outcome(&unload, Outcome::Holds, now);
    let load = orders(&scheduler.take_outputs()).remove(0);

    assert_eq!(unload.action, Action::UnloadAdapter { adapter: "a1".into() });
    assert_eq!(load.action, Action::LoadAdapter { adapter: "a1".into(), version: Some(2) });
}

/// Returns the versions with which requests were granted, by ticket.
fn granted_versions(outputs: &[Output]) -> Vec<(u64, Option<u64>)> {
    let grants = outputs.iter().filter_map(|output| match output {
        Output::Send(_, ToInstance::Grant(grant)) => Some((grant.ticket, grant.version)),
        _ => None,
    });
    grants.collect()
}

fn announcement(version: u64) -> Announcement {
    Announcement { model: "m".into(), revision: Revision { name: "a1".into(), version } }
}

#[test]
fn a_request_that_waits_for_an_engine_gets_a_version_that_was_announced_meanwhile() {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"])]);
    // Two prompts of 100 ms each exceed the maximum backlog of an engine.
    (1..=3).for_each(|ticket| scheduler.place(CLIENT, placement(ticket, "a1"), now));
    scheduler.take_outputs();

    scheduler.announce(&announcement(2));
    (1..=2).for_each(|ticket| {
        scheduler.handle_ended(key(ticket), Some(RunResult::Answered), now);
    });
    scheduler.tick(now);

    let outputs = scheduler.take_outputs();
    assert_eq!(granted_versions(&outputs), []);
    assert_eq!(orders(&outputs)[0].action, Action::UnloadAdapter { adapter: "a1".into() });
}

#[test]
fn a_request_that_waits_for_a_load_gets_a_version_that_was_announced_meanwhile() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    scheduler.place(CLIENT, placement_of_version(1), now);
    let load = orders(&scheduler.take_outputs()).remove(0);

    scheduler.announce(&announcement(2));
    scheduler.handle_order_outcome(&load, Outcome::Holds, now);

    assert_eq!(granted_versions(&scheduler.take_outputs()), []);
}

fn placement_of_version(version: u64) -> orioleroute::scheduler::message::Placement {
    let mut request = placement(1, "a1");
    request.version = Some(version);
    request
}

#[test]
fn a_fenced_order_stops_the_scheduler() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    let load = orders(&scheduler.take_outputs()).remove(0);

    scheduler.handle_order_outcome(&load, Outcome::Fenced, now);

    let outputs = scheduler.take_outputs();
    assert!(outputs.iter().any(|output| matches!(output, Output::Fenced)));
}

#[test]
fn a_rare_adapter_is_not_fetched_outside_its_home_zone() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    let mut request = placement(1, "a1");
    request.may_fetch = false;

    scheduler.place(CLIENT, request, now);

    assert_eq!(refusals(&scheduler.take_outputs()), [(1, Reason::NotHere)]);
}

#[test]
fn a_popular_adapter_is_fetched_outside_its_home_zone() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    for ticket in 1..=4 {
        let mut request = placement(ticket, "a1");
        request.may_fetch = false;
        scheduler.place(CLIENT, request, now);
    }

    assert!(!orders(&scheduler.take_outputs()).is_empty());
}

#[rstest]
#[case::draining(true)]
#[case::removed(false)]
fn a_draining_or_removed_engine_gets_no_requests(#[case] is_listed: bool) {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"]), description(1, &["a1"])]);
    let mut draining = description(0, &["a1"]);
    draining.state = orioleroute::ingress::upstream::State::Draining;
    let mut list = vec![description(1, &["a1"])];
    list.extend(is_listed.then_some(draining));

    scheduler.update_engines(&list, now);
    for ticket in 1..=8 {
        scheduler.place(CLIENT, placement(ticket, "a1"), now);
    }

    let outputs = scheduler.take_outputs();
    let upstreams = outputs.iter().filter_map(|output| match output {
        Output::LogDecision(decision) => decision.upstream.clone(),
        _ => None,
    });
    assert!(upstreams.collect::<Vec<_>>().iter().all(|upstream| &**upstream == "i-1"));
}

#[test]
fn a_withdrawn_request_releases_the_slot_reserved_for_its_adapter() {
    let (mut scheduler, now) = scheduler(&[description(0, &[])]);
    for ticket in 0..(ADAPTER_SLOTS as u64 + 4) {
        scheduler.place(CLIENT, placement(ticket, &format!("b{ticket}")), now);
        scheduler.handle_ended(key(ticket), None, now);
    }
    scheduler.take_outputs();

    let runner = scheduler.runners().next().unwrap();

    assert!(
        runner.adapter_slots.len() <= 4,
        "{} adapter slots are in use",
        runner.adapter_slots.len()
    );
}

#[test]
fn an_engine_without_a_base_model_is_ordered_to_load_one() {
    let mut empty = description(0, &[]);
    empty.models.clear();
    let now = Instant::from_millis(1_000);
    let mut scheduler = Scheduler::new(7, configuration());
    scheduler.update_engines(&[empty], Instant::ZERO);
    scheduler.tick(now);

    scheduler.handle_report("i-0", Some(&Report::default()), now);

    let issued = orders(&scheduler.take_outputs());
    assert_eq!(issued.iter().map(|order| &order.action).collect::<Vec<_>>(), [&Action::LoadModel]);
}

#[test]
fn base_models_are_loaded_one_at_a_time() {
    let empties: Vec<_> = (0..3)
        .map(|number| {
            let mut empty = description(number, &[]);
            empty.models.clear();
            empty
        })
        .collect();
    let now = Instant::from_millis(1_000);
    let mut scheduler = Scheduler::new(7, configuration());
    scheduler.update_engines(&empties, Instant::ZERO);
    scheduler.tick(now);

    for empty in &empties {
        scheduler.handle_report(&empty.id, Some(&Report::default()), now);
    }

    assert_eq!(orders(&scheduler.take_outputs()).len(), 1);
}

#[test]
fn requests_waiting_for_an_unresponsive_engine_move_to_another() {
    let (mut scheduler, now) = scheduler(&[description(0, &[]), description(1, &[])]);
    scheduler.place(CLIENT, placement(1, "a1"), now);
    let lost = orders(&scheduler.take_outputs()).remove(0);

    scheduler.handle_order_outcome(&lost, Outcome::Unanswered, now + Duration::from_millis(250));

    let next = orders(&scheduler.take_outputs());
    assert!(next.iter().any(|order| order.upstream != lost.upstream), "{next:?}");
}

#[test]
fn an_adapter_loads_while_the_engine_prefills_earlier_prompts() {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"])]);
    // Two prompts of 100 ms each exceed the maximum backlog of an engine.
    scheduler.place(CLIENT, placement(1, "a1"), now);
    scheduler.place(CLIENT, placement(2, "a1"), now);
    scheduler.take_outputs();

    scheduler.place(CLIENT, placement(3, "b1"), now);

    let loads = orders(&scheduler.take_outputs());
    assert!(matches!(&loads[..], [Order { action: Action::LoadAdapter { .. }, .. }]), "{loads:?}");
}

#[test]
fn the_next_fetch_is_for_the_most_urgent_request() {
    let descriptions: Vec<_> = (0..12).map(|number| description(number, &[])).collect();
    let (mut scheduler, now) = scheduler(&descriptions);
    for ticket in 0..12 {
        let mut request = placement(ticket, &format!("a{ticket}"));
        request.objective_left_ms = 2_000;
        request.priority = if ticket == 11 { 0 } else { 1 };
        let others = (0..12).filter(|number| *number != ticket);
        request.excluded = others.map(|number| format!("i-{number}").into()).collect();
        scheduler.place(CLIENT, request, now);
    }
    let first = orders(&scheduler.take_outputs());
    assert!(first.len() < 11, "not all can be fetched at once");
    first.iter().for_each(|order| scheduler.handle_order_outcome(order, Outcome::Accepted, now));

    let later = now + Duration::from_millis(250);
    scheduler.handle_order_outcome(&first[0], Outcome::Holds, later);

    let adapter = "a11".into();
    let next = orders(&scheduler.take_outputs()).into_iter().map(|order| order.action);
    let loads: Vec<Action> = next.collect();
    let is_urgent = |action: &Action| matches!(action, Action::LoadAdapter { adapter: loaded, .. } if *loaded == adapter);
    assert_eq!(loads.iter().filter(|action| is_urgent(action)).count(), 1, "{loads:?}");
}

#[test]
fn a_retry_that_would_time_out_while_waiting_is_refused_at_once() {
    let (mut scheduler, now) = scheduler(&[description(0, &["a1"])]);
    // Prompts that take a second to prefill, admitted because their clients can wait.
    for ticket in 0..10 {
        let mut patient = placement(ticket, "a1");
        (patient.objective_left_ms, patient.time_left_ms) = (6_000, 20_000);
        scheduler.place(CLIENT, patient, now);
    }
    scheduler.take_outputs();
    let mut retry = placement(100, "a1");
    retry.is_return = true;
    retry.priority = 2;
    (retry.objective_left_ms, retry.time_left_ms) = (500, 3_000);

    scheduler.place(CLIENT, retry, now);

    assert_eq!(refusals(&scheduler.take_outputs()), [(100, Reason::Overloaded)]);
}

#[test]
fn adapters_requested_together_are_loaded_by_different_engines() {
    let descriptions: Vec<_> = (0..3).map(|number| description(number, &[])).collect();
    let (mut scheduler, now) = scheduler(&descriptions);

    for ticket in 0..3 {
        scheduler.place(CLIENT, placement(ticket, &format!("a{ticket}")), now);
    }

    let loads = orders(&scheduler.take_outputs());
    let engines: Set<&str> = loads.iter().map(|order| &*order.upstream).collect();
    assert_eq!(engines.len(), 3, "{loads:?}");
}

#[test]
fn the_estimate_for_fetches_stays_raised_after_slow_ones_and_then_decays() {
    let (mut scheduler, mut now) = scheduler(&[description(0, &[])]);
    let mut loads = Vec::new();
    for ticket in 0..4 {
        scheduler.place(CLIENT, placement(ticket, &format!("a{ticket}")), now);
        loads.push(orders(&scheduler.take_outputs()).remove(0));
        scheduler.handle_order_outcome(&loads[loads.len() - 1], Outcome::Accepted, now);
    }
    now += Duration::from_millis(900);
    loads.iter().for_each(|load| scheduler.handle_order_outcome(load, Outcome::Holds, now));
    for ticket in 0..4 {
        scheduler.handle_started(key(ticket), now);
        scheduler.handle_ended(key(ticket), Some(RunResult::Answered), now);
    }
    scheduler.take_outputs();

    scheduler.place(CLIENT, placement(100, "b1"), now);

    let refused = refusals(&scheduler.take_outputs());
    scheduler.place(CLIENT, placement(101, "b1"), now + Duration::from_secs(10));
    let later = scheduler.take_outputs();

    assert_eq!(refused, [(100, Reason::Overloaded)]);
    assert_eq!((refusals(&later).len(), orders(&later).len()), (0, 1));
}
