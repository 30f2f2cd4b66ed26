//! Which losses are enough to blame a request or a prompt part.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::{Key, Kind, Loss, Run, Subject};
use crate::prelude::*;

/// The number of separate losses of upstreams under a request or part for it to be blamed.
const MIN_LOSSES: usize = 3;

/// The number of them if something else explains some: the last one is under it alone.
const MIN_LOSSES_BESIDE: usize = MIN_LOSSES + 1;

/// The time between losses under which they count as one for a part: several engines are lost at once when their machine,
/// rack or network is. It covers [`REPORT_DELAY`].
const SIMULTANEOUS: Duration = Duration::from_millis(300);

/// How much later than a loss its report may arrive.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// The least time between losses that count separately for a request. Instances in all regions notice a loss within half of it.
const MIN_SEPARATION: Duration = Duration::from_millis(50);

/// The number of different addresses of upstreams among these losses and, for a part, of different requests. A request that
/// is retried could otherwise blame all its parts, and one defective machine everything that it runs.
const MIN_DIFFERENT: usize = 2;

/// A loss, and how long ago it happened. It may be older than this process, whose instants begin at its start.
pub(super) struct TimedLoss<'a> {
    pub age: Duration,
    pub loss: &'a Loss,
}

/// What a part or request is blamed for.
pub(super) struct Blame {
    /// The number of upstreams that were lost under it.
    pub losses: usize,
    /// The number of different requests that they ran.
    pub requests: usize,
    /// The time since the last loss.
    pub age: Duration,
}

/// Returns what the most unexplained losses have in common, if there are enough of them to blame it. `under` has the indices
/// of the losses under each suspect, in order of time.
///
/// Of several suspects under as many losses, the one that the fewest requests have is blamed: what it refuses wrongly is less,
/// and if a wider one ends upstreams, the next loss under that alone shows it.
pub(super) fn most_blamed(
    under: &Map<Subject, Vec<usize>>,
    losses: &[TimedLoss<'_>],
    is_explained: &[bool],
) -> Vec<(Subject, Blame)> {
    let judged = under.iter().filter_map(|(subject, indices)| {
        let unexplained = indices.iter().filter(|index| !is_explained[**index]);
        let under: Vec<&TimedLoss<'_>> = unexplained.map(|index| &losses[*index]).collect();
        let blame = match subject.key.kind {
            Kind::Part => judge_part(subject.key, &under, MIN_LOSSES),
            Kind::Request => judge_request(subject.key, &under, losses, MIN_LOSSES),
        };
        Some((subject, blame?))
    });
    let judged: Vec<(&Subject, Blame)> = judged.collect();
    let weight = |blame: &Blame| (blame.losses, Reverse(blame.requests));
    let Some(most) = judged.iter().map(|(_, blame)| weight(blame)).max() else {
        return Vec::new();
    };
    let worst: Vec<(&Subject, Blame)> =
        judged.into_iter().filter(|(_, blame)| weight(blame) == most).collect();
    // Another run tells requests apart that were only lost together: one is answered, or under one more upstreams are lost.
    let is_ambiguous = |subject: &Subject, blame: &Blame| {
        subject.key.kind == Kind::Request
            && blame.losses == MIN_LOSSES
            && worst.iter().any(|(other, _)| {
                *other != subject
                    && other.key.kind == Kind::Request
                    && under[*other] == under[subject]
            })
    };
    let ambiguous: Vec<bool> =
        worst.iter().map(|(subject, blame)| is_ambiguous(subject, blame)).collect();
    let clear = worst.into_iter().zip(ambiguous).filter(|(_, is_ambiguous)| !is_ambiguous);
    clear.map(|((subject, blame), _)| (subject.clone(), blame)).collect()
}

/// Returns what was lost often enough beside something that is blamed, and then once by itself. The losses beside it may have
/// been its doing too, so one more that nothing else explains is enough: without that, two that end upstreams together would
/// be refused in turn, each for as long as it has more losses.
pub(super) fn most_blamed_alone(
    under: &Map<Subject, Vec<usize>>,
    losses: &[TimedLoss<'_>],
    is_explained: &[bool],
) -> Option<(Subject, Blame)> {
    let judged = under.iter().filter_map(|(subject, indices)| {
        let is_alone =
            |index: usize| !is_explained[index] && losses[index].loss.is_alone(subject.key);
        let last = indices.iter().rposition(|index| is_alone(*index))?;
        let until_last: Vec<&TimedLoss<'_>> =
            indices[..=last].iter().map(|index| &losses[*index]).collect();
        let blame = match subject.key.kind {
            Kind::Part => judge_part(subject.key, &until_last, MIN_LOSSES_BESIDE),
            Kind::Request => judge_request(subject.key, &until_last, losses, MIN_LOSSES_BESIDE),
        };
        Some((subject, blame?))
    });
    let most = judged
        .max_by_key(|(subject, blame)| (blame.losses, Reverse(blame.requests), Reverse(*subject)));
    most.map(|(subject, blame)| (subject.clone(), blame))
}

/// Judges a part, whose requests differ: enough losses at different moments, on different engines and under different
/// requests blame it.
fn judge_part(key: Key, under: &[&TimedLoss<'_>], min_losses: usize) -> Option<Blame> {
    let runs = under.iter().flat_map(|timed| timed.loss.runs_of(key));
    let requests: Set<u64> = runs.map(|run| run.own).collect();
    let is_blamed = count_moments(under) >= min_losses
        && count_addresses(under) >= MIN_DIFFERENT
        && requests.len() >= MIN_DIFFERENT;
    is_blamed.then(|| blame(under, requests.len()))
}

/// Judges a request that comes again: enough losses, each of a run that began after the loss before, blame it. What
/// was running on several upstreams when they lost power began before the first of these losses.
///
/// Where all of them were at one address, the upstream itself may be defective. It is not if several of its processes had
/// answered something else, and none was lost without the request meanwhile.
fn judge_request(
    key: Key,
    under: &[&TimedLoss<'_>],
    losses: &[TimedLoss<'_>],
    min_losses: usize,
) -> Option<Blame> {
    let chain = consecutive(key, under);
    let is_blamed = chain.len() >= min_losses
        && (count_addresses(&chain) >= MIN_DIFFERENT
            || chain.iter().filter(|timed| timed.loss.has_answered).count() >= MIN_DIFFERENT
                && is_in_all_losses_at_its_address(key, &chain, losses));
    is_blamed.then(|| blame(under, 1))
}

/// Returns the losses under a request of which each is of a run that began after the loss before, as far as can be told.
fn consecutive<'a>(key: Key, under: &[&'a TimedLoss<'a>]) -> Vec<&'a TimedLoss<'a>> {
    let mut chain: Vec<&TimedLoss<'_>> = Vec::new();
    for timed in under {
        let last = chain.last().map(|last| last.age);
        let mut runs = timed.loss.runs_of(key);
        let began_after =
            |run: &Run, last| timed.age + Duration::from_millis(run.ran_ms) <= last + REPORT_DELAY;
        let is_separate = |last: Duration| last.saturating_sub(timed.age) >= MIN_SEPARATION;
        if last.is_none_or(|last| is_separate(last) && runs.any(|run| began_after(run, last))) {
            chain.push(timed);
        }
    }
    chain
}

fn is_in_all_losses_at_its_address(
    key: Key,
    chain: &[&TimedLoss<'_>],
    losses: &[TimedLoss<'_>],
) -> bool {
    let (Some(first), Some(last)) = (chain.first(), chain.last()) else { return false };
    let meanwhile = losses.iter().filter(|timed| {
        (last.age..=first.age).contains(&timed.age) && timed.loss.engine == first.loss.engine
    });
    meanwhile.into_iter().all(|timed| timed.loss.runs_of(key).next().is_some())
}

fn blame(under: &[&TimedLoss<'_>], requests: usize) -> Blame {
    let age = under.iter().map(|timed| timed.age).min().unwrap_or_default();
    Blame { losses: under.len(), requests, age }
}

fn count_addresses(losses: &[&TimedLoss<'_>]) -> usize {
    losses.iter().map(|timed| timed.loss.engine).collect::<Set<SocketAddr>>().len()
}

/// Returns how many of these losses, in order of time, are apart from each other.
fn count_moments(losses: &[&TimedLoss<'_>]) -> usize {
    let mut last: Option<Duration> = None;
    let mut moments = 0;
    for timed in losses {
        if last.is_none_or(|last| last.saturating_sub(timed.age) >= SIMULTANEOUS) {
            moments += 1;
            last = Some(timed.age);
        }
    }
    moments
}
