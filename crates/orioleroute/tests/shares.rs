//! Replays of loads in which organisations send many times their usual: who is served on time, who is refused and when,
//! with shares and by due times alone.

mod scheduling;

use orioleroute::prelude::*;
use orioleroute::scheduler::Request;
use orioleroute::scheduler::message::{Placement, Reason, ToInstance};
use orioleroute::scheduler::queue::Rank;
use orioleroute::scheduler::share::Standing;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use scheduling::{
    Arrival, CLIENT, PREFILL_RATE, ReplayResult, ReplaySetup, Tally, configuration,
    configuration_with, description, grants, placement, replay_with, scheduler,
};

const ENGINES: usize = 6;
const ADAPTERS: usize = 20;
const SEED: u64 = 20_261_206;

/// Share of the requests of an organisation inside its share that are on time, as on a day without a burst.
const SERVED_AS_USUAL: f64 = 0.95;

/// The requests of one organisation, as a part of what the engines can prefill.
#[derive(Clone, Debug)]
struct Load {
    organisation: String,
    part: f64,
    from_ms: u64,
    to_ms: u64,
    priority: u8,
}

fn load(organisation: &str, part: f64, from_ms: u64, to_ms: u64) -> Load {
    Load { organisation: organisation.into(), part, from_ms, to_ms, priority: 1 }
}

/// Returns the arrivals of several loads, each with exponentially distributed gaps.
fn arrivals(loads: &[Load], seed: u64) -> Vec<Arrival> {
    let capacity = ENGINES as f64 * PREFILL_RATE * 1_000.0 / 2_000.0;
    let mut random = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for load in loads {
        let mut at_ms = load.from_ms as f64;
        loop {
            at_ms -= 1_000.0 / (load.part * capacity) * random.random::<f64>().max(1e-12).ln();
            if at_ms >= load.to_ms as f64 {
                break;
            }
            let adapter = format!("a{}", random.random_range(0..ADAPTERS));
            let mut placement = placement(all.len() as u64, &adapter);
            placement.organisation = Some(load.organisation.as_str().into());
            placement.priority = load.priority;
            all.push(Arrival { at: Instant::from_millis(at_ms as u64), placement });
        }
    }
    all
}

/// Replays loads with shares, and by due times alone as where the configuration names no organisations.
fn replay_both(loads: &[Load], organisations: &[(&str, Option<f64>)]) -> [ReplayResult; 2] {
    let arrivals = arrivals(loads, SEED);
    [configuration_with(organisations), configuration()].map(|configuration| {
        replay_with(&ReplaySetup { configuration, ..ReplaySetup::new(ENGINES) }, &arrivals)
    })
}

/// Sixteen organisations with Zipf sizes, which usually ask for 0.8 of what the engines can do, and quotas of 1.8 times
/// their usual. From 3 to 10 s `hot` ones send six times their usual.
fn sixteen(hot: &[usize]) -> (Vec<Load>, Vec<(String, Option<f64>)>) {
    let sizes: Vec<f64> = (1..=16).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = sizes.iter().sum();
    let mut loads = Vec::new();
    for (number, size) in sizes.iter().enumerate() {
        let (name, part) = (format!("o{number}"), 0.8 * size / total);
        if hot.contains(&number) {
            loads.push(load(&name, 5.0 * part, 3_000, 10_000));
        }
        loads.push(load(&name, part, 0, 12_000));
    }
    let quotas = sizes.iter().enumerate();
    let quotas = quotas.map(|(number, size)| (format!("o{number}"), Some(1.8 * 100_000.0 * size)));
    (loads, quotas.collect())
}

fn replay_sixteen(hot: &[usize]) -> [ReplayResult; 2] {
    let (loads, quotas) = sixteen(hot);
    let quotas: Vec<_> = quotas.iter().map(|(name, quota)| (name.as_str(), *quota)).collect();
    replay_both(&loads, &quotas)
}

/// Returns the tally of all organisations of [`sixteen`] but the hot ones.
fn others(result: &ReplayResult, hot: &[usize]) -> Tally {
    let is_hot = |name: &str| hot.iter().any(|number| name == format!("o{number}"));
    let others = result.by_organisation.iter().filter(|(name, _)| !is_hot(name));
    others.fold(Tally::default(), |total, (_, tally)| Tally {
        requests: total.requests + tally.requests,
        on_time: total.on_time + tally.on_time,
        refused_at_once: total.refused_at_once + tally.refused_at_once,
        refused_later: total.refused_later + tally.refused_later,
        retry_after: total.retry_after + tally.retry_after,
    })
}

#[test]
fn an_organisation_at_its_usual_is_served_as_usual_beside_one_at_six_times() {
    let loads = [load("usual", 0.4, 0, 12_000), load("hot", 2.4, 0, 12_000)];

    let [shared, former] = replay_both(&loads, &[("usual", None), ("hot", None)]);

    let (usual, hot) = (shared.by_organisation.of("usual"), shared.by_organisation.of("hot"));
    assert!(usual.on_time_share() >= SERVED_AS_USUAL, "{shared:?}");
    assert!(former.by_organisation.of("usual").on_time_share() < SERVED_AS_USUAL, "{former:?}");
    assert!(hot.at_once_share() >= 0.8, "{shared:?}");
    assert!(
        hot.mean_retry_after() > former.by_organisation.of("hot").mean_retry_after(),
        "{shared:?}"
    );
    assert!(shared.on_time * 10 >= former.on_time * 9, "{former:?} {shared:?}");
}

#[test]
fn the_largest_of_sixteen_does_not_take_from_the_others() {
    let [shared, former] = replay_sixteen(&[0]);

    assert!(others(&shared, &[0]).on_time_share() >= SERVED_AS_USUAL, "{shared:?}");
    assert!(others(&former, &[0]).on_time_share() < SERVED_AS_USUAL, "{former:?}");
    assert!(shared.by_organisation.of("o0").at_once_share() >= 0.8, "{shared:?}");
    assert!(shared.on_time * 10 >= former.on_time * 9, "{former:?} {shared:?}");
}

#[test]
fn three_hot_organisations_at_once_share_what_the_others_leave() {
    let hot = [0, 2, 5];

    let [shared, former] = replay_sixteen(&hot);

    assert!(others(&shared, &hot).on_time_share() >= SERVED_AS_USUAL, "{shared:?}");
    assert!(others(&former, &hot).on_time_share() < SERVED_AS_USUAL, "{former:?}");
    let total = shared.by_organisation.total().on_time_share();
    for (name, tally) in shared.by_organisation.iter() {
        assert!(tally.on_time_share() >= total / 2.0, "{name}: {tally:?} of {total}");
    }
    assert!(shared.on_time * 10 >= former.on_time * 9, "{former:?} {shared:?}");
}

#[test]
fn a_hot_organisation_alone_gets_all_engines() {
    let loads = [load("hot", 0.4, 0, 12_000), load("hot", 2.0, 3_000, 10_000)];

    let [shared, former] = replay_both(&loads, &[("hot", Some(1_000.0)), ("other", Some(9_000.0))]);

    assert_eq!(shared.on_time, former.on_time);
    assert_eq!(shared.refused_later, former.refused_later);
}

/// By priority alone, the urgent requests of one organisation leave nothing to the others for as long as they come.
#[test]
fn urgent_requests_of_a_hot_organisation_leave_calm_ones_of_others_their_share() {
    let urgent = Load { priority: 0, ..load("hot", 2.4, 0, 12_000) };
    let loads = [urgent, load("calm", 0.4, 0, 12_000)];

    let [shared, former] = replay_both(&loads, &[("hot", None), ("calm", None)]);

    let share = |result: &ReplayResult| result.by_organisation.of("calm").on_time_share();
    assert!(share(&shared) >= 0.75, "{shared:?}");
    assert!(share(&former) <= 0.25, "{former:?}");
    assert!(shared.on_time * 10 >= former.on_time * 9, "{former:?} {shared:?}");
}

#[test]
fn inside_shares_urgent_requests_go_first() {
    let mut loads = Vec::new();
    for organisation in ["one", "other"] {
        loads.push(Load { priority: 0, ..load(organisation, 0.3, 0, 10_000) });
        loads.push(load(organisation, 0.75, 2_000, 6_000));
    }

    let [shared, _] = replay_both(&loads, &[("one", None), ("other", None)]);

    assert!(shared.on_time_share(0) >= SERVED_AS_USUAL, "{shared:?}");
}

/// What an organisation has not used while it was idle must not let it take the engines for as long when it returns.
#[test]
fn an_organisation_that_comes_back_does_not_starve_others() {
    let loads = [load("steady", 0.45, 0, 12_000), load("back", 2.0, 6_000, 12_000)];

    let [shared, former] = replay_both(&loads, &[("steady", None), ("back", None)]);

    let share = |result: &ReplayResult| result.by_organisation.of("steady").on_time_share();
    assert!(share(&shared) >= SERVED_AS_USUAL, "{shared:?}");
    assert!(share(&former) < SERVED_AS_USUAL, "{former:?}");
}

/// Small requests of a hot organisation would take each piece of cache that comes free, and a large request of another one
/// would never find enough.
#[test]
fn room_at_a_full_engine_is_kept_for_a_large_request_inside_its_share() {
    let large = |ticket, organisation: &str| sized(ticket, organisation, 22_000);
    let granted = [configuration_with(&[("hot", None), ("usual", None)]), configuration()].map(
        |configuration| {
            let (mut scheduler, now) = scheduler(&[description(0, &["a0"])]);
            scheduler.configure(configuration);
            (0..6).for_each(|ticket| scheduler.place(CLIENT, large(ticket, "hot"), now));
            scheduler.place(CLIENT, large(6, "usual"), now);
            scheduler.take_outputs();

            scheduler.place(CLIENT, sized(7, "hot", 500), now);

            grants(&scheduler.take_outputs())
        },
    );

    assert_eq!(granted, [vec![], vec![7]]);
}

/// Returns a request with a short prompt that may take this much cache.
fn sized(ticket: u64, organisation: &str, tokens: u32) -> Placement {
    let mut placement = placement(ticket, "a0");
    placement.organisation = Some(organisation.into());
    placement.prompt_tokens = 100;
    placement.output_tokens = tokens - 100;
    placement
}

/// A refusal for a share must be readable by an instance that knows no such reason.
#[test]
fn a_refusal_beyond_a_share_is_sent_as_overload() {
    let refusal = ToInstance::Refuse { ticket: 1, retry_after_ms: 900, reason: Reason::OverShare };

    let text = serde_json::to_string(&refusal).unwrap();

    assert!(text.contains("\"overloaded\""), "{text}");
    assert!(serde_json::from_str::<ToInstance>(&text).is_ok());
}

/// A second's share of a small organisation is less than a request, and its requests come in clumps like those of others.
#[test]
fn clumps_of_a_small_organisation_are_inside_its_share() {
    let mut arrivals =
        arrivals(&[load("hot", 2.4, 0, 10_000), load("other", 0.4, 0, 10_000)], SEED);
    for second in 1..10 {
        for number in 0..4 {
            let adapter = format!("a{number}");
            let mut placement = placement(1_000_000 + second * 10 + number, &adapter);
            placement.organisation = Some("small".into());
            arrivals.push(Arrival { at: Instant::from_millis(second * 1_000), placement });
        }
    }
    let quotas = [("hot", Some(50_000.0)), ("other", Some(60_000.0)), ("small", Some(9_000.0))];

    let [shared, former] = [configuration_with(&quotas), configuration()].map(|configuration| {
        let setup = ReplaySetup { configuration, ..ReplaySetup::new(ENGINES) };
        replay_with(&setup, &arrivals)
    });

    let share = |result: &ReplayResult| result.by_organisation.of("small").on_time_share();
    assert!(share(&shared) >= SERVED_AS_USUAL, "{shared:?}");
    assert!(share(&former) < SERVED_AS_USUAL, "{former:?}");
}

/// A request that something else has delayed is late for the rest of its wait. If all that is on time went first, it would wait for
/// the whole burst of another organisation.
#[test]
fn late_requests_inside_shares_go_before_what_is_far_beyond() {
    let now = Instant::from_millis(1_000);
    let rank = |objective, standing| Rank::of(&request(objective), standing, now);
    let (late, on_time) = (Instant::from_millis(900), Instant::from_millis(1_500));

    let ranks = [
        rank(on_time, Standing::Inside),
        rank(on_time, Standing::Beyond { step: 3 }),
        rank(late, Standing::Inside),
        rank(on_time, Standing::FarBeyond { step: 1 }),
        rank(late, Standing::FarBeyond { step: 1 }),
    ];

    assert!(ranks.is_sorted(), "{ranks:?}");
}

fn request(objective: Instant) -> Request {
    Request {
        organisation: None,
        service: "notices".into(),
        model: "m".into(),
        adapter: None,
        version: None,
        prompt_tokens: 2_000,
        output_tokens: 24,
        parts: Vec::new(),
        part_ids: [].into(),
        content: None,
        build: None,
        priority: 1.into(),
        deadline: Instant::from_millis(5_000),
        objective,
        excluded: Vec::new(),
        is_return: false,
        attempt: None,
        arrived: Instant::ZERO,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    /// Whatever organisations ask for, as much is served as by due times alone, and each organisation gets nearly what is due
    /// to it by max-min fairness. At first all are inside their shares, until the hot ones have used their allowances.
    #[test]
    fn engines_are_not_left_idle_and_no_organisation_starves(
        parts in prop::collection::vec(0.1_f64..1.2, 2..6),
        seed in any::<u64>(),
    ) {
        let names: Vec<String> = (0..parts.len()).map(|number| format!("o{number}")).collect();
        let loads = names.iter().zip(&parts).map(|(name, part)| load(name, *part, 0, 16_000));
        let arrivals = arrivals(&loads.collect::<Vec<_>>(), seed);
        let organisations: Vec<_> = names.iter().map(|name| (name.as_str(), None)).collect();

        let [shared, former] = [configuration_with(&organisations), configuration()]
            .map(|configuration| {
                let setup = ReplaySetup { configuration, ..ReplaySetup::new(ENGINES) };
                replay_with(&setup, &arrivals)
            });

        prop_assert!(shared.on_time * 10 >= former.on_time * 9, "{former:?} {shared:?}");
        for (name, due) in max_min(&shared) {
            let served = shared.by_organisation.of(&name).on_time as f64;
            prop_assert!(served >= 0.8 * due, "{name}: {served} of {due}: {shared:?}");
        }
    }
}

/// Returns how many of the requests served on time are due to each organisation by max-min fairness with equal weights.
fn max_min(result: &ReplayResult) -> Vec<(String, f64)> {
    let tallies = result.by_organisation.iter();
    let mut asked: Vec<(usize, &str)> =
        tallies.map(|(name, tally)| (tally.requests, name)).collect();
    asked.sort_unstable();
    let (mut left, mut count) = (result.on_time as f64, asked.len() as f64);
    let due = asked.into_iter().map(|(requests, name)| {
        let due = (left / count).min(requests as f64);
        left -= due;
        count -= 1.0;
        (name.to_owned(), due)
    });
    due.collect()
}
