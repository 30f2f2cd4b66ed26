//! Requests and prompt parts that are refused because they end the upstreams that run them.
//!
//! Load patterns: a request ends every upstream that begins to run it, and comes again and again, at every instance; or one
//! part of a prompt does, whatever else the request holds, and no two requests with it are alike. A loss by itself blames
//! nothing: upstreams end for other reasons too, and every request that runs beside the one that ended its upstream is lost
//! with it. What has been sound is cleared by its answers; what the losses of several upstreams still have in common
//! is blamed.
//!
//! The scheduler of each availability zone reports the losses of its upstreams, and each instance derives the same verdicts
//! from all reports. `docs/PLATFORM.md`, section "Requests that crash upstreams", compares the alternatives.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The number of separate losses of upstreams under a request or part for it to be blamed.
const MIN_LOSSES: usize = 3;

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

/// How long a request or part is refused after the last upstream was lost under it. The next request is then run by itself,
/// which clears it or blames it again.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// The retry-after time of a refused request.
pub const RETRY_AFTER: Duration = QUARANTINE_TIME;

/// What may end upstreams.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A part of a prompt, which different requests share.
    #[default]
    Part,
    /// A whole request, which is sent again and again.
    Request,
}

impl Kind {
    fn is_part(&self) -> bool {
        *self == Self::Part
    }
}

/// Identifies a prompt part or a request within a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// What it identifies.
    #[serde(default, skip_serializing_if = "Kind::is_part")]
    pub kind: Kind,
    /// The number that identifies the content.
    pub id: u64,
}

impl Key {
    /// Returns the key of a prompt part.
    pub fn part(id: u64) -> Self {
        Self { kind: Kind::Part, id }
    }

    /// Returns the key of a request, from its
    /// [digest](crate::ingress::attempt::Content::digest).
    pub fn request(id: u64) -> Self {
        Self { kind: Kind::Request, id }
    }
}

/// A prompt part or a request, as used by one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// The service.
    pub service: Arc<str>,
    /// What it is.
    #[serde(flatten)]
    pub key: Key,
}

/// A request that ran on an upstream when it was lost, and had not shown that it is sound.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The last part of its prompt, which is its own: the same for all attempts at one request.
    pub own: u64,
    /// The other parts of its prompt that are not known to be sound.
    pub parts: Vec<u64>,
    /// The digest of the request, unless that is known to be sound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<u64>,
    /// How long it had run when the upstream was lost, in milliseconds.
    #[serde(default)]
    pub ran_ms: u64,
}

impl Run {
    /// Returns what may have ended the upstream.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        let parts = self.parts.iter().copied().map(Key::part);
        parts.chain(self.request.map(Key::request))
    }

    /// Keeps what may have ended the upstream according to `is_suspect`.
    pub fn retain(&mut self, mut is_suspect: impl FnMut(Key) -> bool) {
        self.parts.retain(|id| is_suspect(Key::part(*id)));
        self.request = self.request.filter(|id| is_suspect(Key::request(*id)));
    }

    /// Returns whether nothing in it may have ended the upstream.
    pub fn is_sound(&self) -> bool {
        self.parts.is_empty() && self.request.is_none()
    }
}

/// The loss of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The upstream's service.
    pub service: Arc<str>,
    /// The upstream's address, which it keeps when it is restarted.
    pub engine: SocketAddr,
    /// Whether the upstream had answered a request since its start, as far as is known.
    #[serde(default)]
    pub has_answered: bool,
    /// The time since the loss when it was reported, in milliseconds.
    pub age_ms: u64,
    /// What ran on the upstream.
    pub runs: Vec<Run>,
}

/// What the scheduler of one availability zone reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The losses of upstreams that are not explained otherwise.
    pub losses: Vec<Loss>,
    /// What other zones suspect and has just been sound here.
    pub sound: Vec<Subject>,
}

/// The verdicts on requests and prompt parts, from the reports of all zones.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    reports: Map<Arc<str>, Received>,
    blamed: Map<Subject, Verdict>,
    /// What is suspected or blamed, with the number of losses under it.
    suspects: Map<Subject, usize>,
}

#[derive(Clone, Debug)]
struct Received {
    report: Report,
    at: Instant,
}

/// Why a request or part is blamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The number of upstreams that were lost under it.
    pub losses: usize,
    /// The number of different requests that they ran.
    pub requests: usize,
    /// When its requests are run again.
    pub until: Instant,
}

/// A changed verdict, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is refused from now on.
    Blamed(Subject, Verdict),
    /// It is not refused any more.
    Released(Subject),
}

impl Quarantine {
    /// Replaces the report of a zone, and returns the verdicts that this changes.
    pub fn update(&mut self, zone: &Arc<str>, report: Report, now: Instant) -> Vec<Change> {
        self.reports.insert(zone.clone(), Received { report, at: now });
        let before = std::mem::take(&mut self.blamed);
        self.judge(now);
        let blamed = self.blamed.iter().filter(|(subject, _)| !before.contains_key(*subject));
        let released = before.keys().filter(|subject| !self.blamed.contains_key(*subject));
        blamed
            .map(|(subject, verdict)| Change::Blamed(subject.clone(), *verdict))
            .chain(released.map(|subject| Change::Released(subject.clone())))
            .collect()
    }

    /// Returns the last report of a zone, with the ages that its losses have by now.
    pub fn report(&self, zone: &str, now: Instant) -> Option<Report> {
        let received = self.reports.get(zone)?;
        let mut report = received.report.clone();
        report.add_age(now.since(received.at));
        Some(report)
    }

    /// Returns what zones other than `zone` suspect.
    pub fn suspects_elsewhere(&self, zone: &str) -> Set<Subject> {
        let others = self.reports.iter().filter(|(name, _)| ***name != *zone);
        others.flat_map(|(_, received)| received.report.suspects()).collect()
    }

    /// Returns what zones other than `zone` have just found to be sound.
    pub fn sound_elsewhere<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Subject> {
        let others = self.reports.iter().filter(move |(name, _)| ***name != *zone);
        others.flat_map(|(_, received)| &received.report.sound)
    }

    /// Returns the one among `keys` for which requests of a service are refused.
    pub fn blamed(
        &self,
        service: &Arc<str>,
        keys: impl IntoIterator<Item = Key>,
        now: Instant,
    ) -> Option<Key> {
        if self.blamed.is_empty() {
            return None;
        }
        keys.into_iter().find(|key| {
            let subject = Subject { service: service.clone(), key: *key };
            self.blamed.get(&subject).is_some_and(|verdict| now < verdict.until)
        })
    }

    /// Returns whether anything is suspected or blamed.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns the number of losses under a suspect, which is zero if it is none.
    pub fn losses_under(&self, subject: &Subject) -> usize {
        self.suspects.get(subject).copied().unwrap_or_default()
    }

    /// Returns how many parts or requests are blamed.
    pub fn blamed_count(&self, kind: Kind) -> usize {
        self.blamed.keys().filter(|subject| subject.key.kind == kind).count()
    }

    /// Derives the verdicts. What the most losses have in common is blamed first, and the losses that it explains
    /// blame nothing else. What cannot be told apart in the end is blamed together.
    fn judge(&mut self, now: Instant) {
        let sound: Set<&Subject> =
            self.reports.values().flat_map(|received| &received.report.sound).collect();
        let mut losses: Vec<TimedLoss<'_>> = Vec::new();
        for received in self.reports.values() {
            let since = now.since(received.at);
            losses.extend(received.report.losses.iter().map(|loss| {
                let age = since + Duration::from_millis(loss.age_ms);
                TimedLoss { age, loss }
            }));
        }
        losses.sort_by_key(|timed| Reverse(timed.age));
        let mut under: Map<Subject, Vec<usize>> = Map::default();
        for (index, timed) in losses.iter().enumerate() {
            let subjects: Set<Subject> = timed.loss.suspects().collect();
            for subject in subjects.into_iter().filter(|subject| !sound.contains(subject)) {
                under.entry(subject).or_default().push(index);
            }
        }
        self.suspects =
            under.iter().map(|(subject, indices)| (subject.clone(), indices.len())).collect();
        let mut is_explained = vec![false; losses.len()];
        loop {
            let worst = most_blamed(&under, &losses, &is_explained);
            if worst.is_empty() {
                return;
            }
            for (subject, _) in &worst {
                under[subject].iter().for_each(|index| is_explained[*index] = true);
            }
            self.blamed.extend(worst.into_iter().map(|(subject, blame)| {
                let until = (now + QUARANTINE_TIME) - blame.age;
                let Blame { losses, requests, .. } = blame;
                (subject, Verdict { losses, requests, until })
            }));
        }
    }
}

impl Report {
    /// Adds the time that has passed since the report was made.
    pub fn add_age(&mut self, age: Duration) {
        self.losses.iter_mut().for_each(|loss| loss.age_ms += age.as_millis() as u64);
    }

    /// Returns what the report suspects.
    pub fn suspects(&self) -> impl Iterator<Item = Subject> {
        self.losses.iter().flat_map(Loss::suspects)
    }
}

impl Loss {
    /// Returns what may have ended the upstream.
    pub fn suspects(&self) -> impl Iterator<Item = Subject> {
        let keys = self.runs.iter().flat_map(Run::keys);
        keys.map(|key| Subject { service: self.service.clone(), key })
    }

    /// Removes what is sound, and returns whether the loss had it.
    pub fn clear(&mut self, subject: &Subject) -> bool {
        let is_suspect =
            self.service == subject.service && self.runs_of(subject.key).next().is_some();
        if is_suspect {
            self.runs.iter_mut().for_each(|run| run.retain(|key| key != subject.key));
            self.runs.retain(|run| !run.is_sound());
        }
        is_suspect
    }

    fn runs_of(&self, key: Key) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(move |run| run.keys().any(|suspect| suspect == key))
    }
}

/// A loss, and how long ago it happened. It may be older than this process, whose instants begin at its start.
struct TimedLoss<'a> {
    age: Duration,
    loss: &'a Loss,
}

/// What a part or request is blamed for.
struct Blame {
    losses: usize,
    requests: usize,
    /// The time since the last loss.
    age: Duration,
}

/// Returns what the most unexplained losses have in common, if there are enough of them to blame it. `under` has the indices
/// of the losses under each suspect, in order of time.
fn most_blamed(
    under: &Map<Subject, Vec<usize>>,
    losses: &[TimedLoss<'_>],
    is_explained: &[bool],
) -> Vec<(Subject, Blame)> {
    let judged = under.iter().filter_map(|(subject, indices)| {
        let unexplained = indices.iter().filter(|index| !is_explained[**index]);
        let under: Vec<&TimedLoss<'_>> = unexplained.map(|index| &losses[*index]).collect();
        let blame = match subject.key.kind {
            Kind::Part => judge_part(subject.key, &under),
            Kind::Request => judge_request(subject.key, &under, losses),
        };
        Some((subject, blame?))
    });
    let judged: Vec<(&Subject, Blame)> = judged.collect();
    let weight = |blame: &Blame| (blame.losses, blame.requests);
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

/// Judges a part, whose requests differ: enough losses at different moments, on different engines and under different
/// requests blame it.
fn judge_part(key: Key, under: &[&TimedLoss<'_>]) -> Option<Blame> {
    let runs = under.iter().flat_map(|timed| timed.loss.runs_of(key));
    let requests: Set<u64> = runs.map(|run| run.own).collect();
    let is_blamed = count_moments(under) >= MIN_LOSSES
        && count_addresses(under) >= MIN_DIFFERENT
        && requests.len() >= MIN_DIFFERENT;
    is_blamed.then(|| blame(under, requests.len()))
}

/// Judges a request that comes again: enough losses, each of a run that began after the loss before, blame it. What
/// was running on several upstreams when they lost power began before the first of these losses.
///
/// Where all of them were at one address, the upstream itself may be defective. It is not if several of its processes had
/// answered something else, and none was lost without the request meanwhile.
fn judge_request(key: Key, under: &[&TimedLoss<'_>], losses: &[TimedLoss<'_>]) -> Option<Blame> {
    let chain = consecutive(key, under);
    let is_blamed = chain.len() >= MIN_LOSSES
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
