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

mod judgement;

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use self::judgement::{Blame, TimedLoss, most_blamed, most_blamed_alone};
use crate::prelude::*;

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
    /// Returns a run that consists of these.
    pub fn of(keys: impl IntoIterator<Item = Key>) -> Self {
        let mut run = Self::default();
        for key in keys {
            match key.kind {
                Kind::Part => run.parts.push(key.id),
                Kind::Request => run.request = Some(key.id),
            }
        }
        run
    }

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
    /// blame nothing else, unless that was lost by itself too. What cannot be told apart in the end is blamed together.
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
            let mut worst = most_blamed(&under, &losses, &is_explained);
            if worst.is_empty() {
                worst.extend(most_blamed_alone(&under, &losses, &is_explained));
            }
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
        self.losses.iter_mut().for_each(|loss| loss.add_age(age));
    }

    /// Returns what the report suspects.
    pub fn suspects(&self) -> impl Iterator<Item = Subject> {
        self.losses.iter().flat_map(Loss::suspects)
    }
}

impl Loss {
    /// Adds the time that has passed since the loss was reported. What a report states is not bounded.
    pub fn add_age(&mut self, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.age_ms = self.age_ms.saturating_add(age_ms);
    }

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

    /// Returns whether all runs with a suspect of its kind have it.
    fn is_alone(&self, key: Key) -> bool {
        let mut runs = self.runs.iter().filter(|run| run.keys().any(|it| it.kind == key.kind));
        runs.all(|run| run.keys().any(|it| it == key))
    }

    fn runs_of(&self, key: Key) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(move |run| run.keys().any(|suspect| suspect == key))
    }
}
