//! Loads replayed on the scheduler's decisions, the worst first: who is served in time, who is
//! refused and when.

mod scheduling;

use orioleroute::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use scheduling::{Arrival, FULL_SPEED, RATE, Setting, placement, replay, replay_with};

const ENGINES: usize = 6;
const SEED: u64 = 20_261_204;

/// A load of so many requests a second for adapters `first..first + adapters` of Zipf popularity.
struct Load {
    from_ms: u64,
    to_ms: u64,
    per_s: f64,
    first: usize,
    adapters: usize,
    priority: u8,
}

/// Returns the arrivals of several loads, each with exponential gaps.
fn arrivals(loads: &[Load]) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut all = Vec::new();
    for load in loads {
        let weights: Vec<f64> = (1..=load.adapters).map(|rank| (rank as f64).powf(-1.2)).collect();
        let total: f64 = weights.iter().sum();
        let mut at_ms = load.from_ms as f64;
        loop {
            at_ms -= 1_000.0 / load.per_s * random.random::<f64>().max(1e-12).ln();
            if at_ms >= load.to_ms as f64 {
                break;
            }
            let mut point = random.random::<f64>() * total;
            let rank = weights.iter().position(|weight| {
                point -= weight;
                point <= 0.0
            });
            let adapter = format!("a{}", load.first + rank.unwrap_or(0));
            let mut placement = placement(all.len() as u64, &adapter);
            placement.priority = load.priority;
            all.push(Arrival { at: Instant::from_millis(at_ms as u64), placement });
        }
    }
    all
}

/// Returns the requests a second that the engines can read.
fn capacity() -> f64 {
    ENGINES as f64 * RATE * 1_000.0 / 2_000.0
}

fn popular(per_s: f64, from_ms: u64, to_ms: u64, priority: u8) -> Load {
    Load { from_ms, to_ms, per_s, first: 0, adapters: 20, priority }
}

#[test]
fn at_five_times_what_the_engines_read_they_still_serve_almost_that() {
    let peak = replay(ENGINES, &arrivals(&[popular(capacity() * 0.9, 0, 10_000, 1)]));

    let overload = replay(ENGINES, &arrivals(&[popular(capacity() * 5.0, 0, 10_000, 1)]));

    let (served, at_peak) = (overload.in_time as f64, peak.in_time as f64);
    assert!(served >= 0.9 * at_peak, "{served} in time of {at_peak} at the peak: {overload:?}");
}

#[test]
fn a_burst_is_refused_on_arrival_and_not_after_its_time() {
    let loads =
        [popular(capacity() * 0.5, 0, 8_000, 1), popular(capacity() * 2.0, 3_000, 5_000, 1)];

    let result = replay(ENGINES, &arrivals(&loads));

    let refused = result.refused_at_once + result.refused_later;
    assert!(result.refused_at_once * 10 >= refused * 8, "{result:?}");
    assert!(result.longest_refusal <= Duration::from_millis(1_150), "{result:?}");
}

#[test]
fn in_a_burst_the_more_urgent_are_served_first() {
    let loads =
        [popular(capacity() * 0.6, 0, 8_000, 0), popular(capacity() * 1.5, 2_000, 6_000, 1)];

    let result = replay(ENGINES, &arrivals(&loads));

    assert!(result.share(0) >= 0.95, "{result:?}");
    assert!(result.share(0) >= result.share(1), "{result:?}");
}

#[test]
fn rare_adapters_that_are_all_asked_for_at_once_take_no_time_from_the_popular_ones() {
    let rare =
        Load { from_ms: 4_000, to_ms: 7_000, per_s: 40.0, first: 100, adapters: 500, priority: 1 };
    let quiet = replay(ENGINES, &arrivals(&[popular(20.0, 0, 9_000, 0)]));

    let result = replay(ENGINES, &arrivals(&[popular(20.0, 0, 9_000, 0), rare]));

    assert!(result.share(0) >= quiet.share(0) - 0.1, "{quiet:?} {result:?}");
}

#[test]
fn at_the_start_of_a_day_nearly_all_that_the_weight_store_can_give_is_served() {
    let load =
        Load { from_ms: 0, to_ms: 4_000, per_s: 60.0, first: 0, adapters: 3_000, priority: 1 };

    let result = replay(ENGINES, &arrivals(&[load]));

    // Fewer new adapters are asked for than the thirty-two that come in a second at full speed.
    assert!(result.in_time * 10 >= result.asked * 9, "{result:?}");
    assert!(result.refused_later * 100 <= result.asked, "{result:?}");
}

#[test]
fn popular_adapters_are_fetched_no_more_often_than_there_are_engines() {
    let result = replay(ENGINES, &arrivals(&[popular(capacity() * 0.6, 0, 8_000, 1)]));

    assert!(result.fetches <= 20 * ENGINES, "{result:?}");
    assert!(result.in_time * 10 >= result.asked * 9, "{result:?}");
}

#[test]
fn a_weight_store_that_gives_more_at_once_is_used_for_more() {
    let load =
        Load { from_ms: 0, to_ms: 3_000, per_s: 240.0, first: 0, adapters: 3_000, priority: 1 };
    let arrivals = arrivals(&[load]);

    let usual = replay_with(&Setting::new(4 * ENGINES), &arrivals);
    let full_speed = 3 * FULL_SPEED;
    let larger = replay_with(&Setting { full_speed, ..Setting::new(4 * ENGINES) }, &arrivals);

    assert!(larger.fetches * 10 >= usual.fetches * 13, "{usual:?} {larger:?}");
    assert!(larger.in_time > usual.in_time, "{usual:?} {larger:?}");
}

#[test]
fn engines_that_fall_silent_keep_nothing_of_the_weight_store_from_the_others() {
    let load =
        Load { from_ms: 0, to_ms: 6_000, per_s: 40.0, first: 0, adapters: 3_000, priority: 1 };
    let arrivals = arrivals(&[load]);
    let silent_from = Duration::from_millis(1_000);

    let rest = replay(ENGINES, &arrivals);
    let result =
        replay_with(&Setting { silent: 3, silent_from, ..Setting::new(2 * ENGINES) }, &arrivals);

    // Nine engines answer, and the six of the comparison fetch what the weight store gives.
    assert!(result.fetches * 10 >= rest.fetches * 9, "{rest:?} {result:?}");
    assert!(result.in_time * 10 >= rest.in_time * 9, "{rest:?} {result:?}");
    assert!(result.refused_later * 100 <= result.asked, "{result:?}");
}
