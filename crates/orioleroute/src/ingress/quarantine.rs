//! Prompt parts that are refused because they end the engines that run them.
//!
//! Load pattern: one part of a prompt ends every engine that begins to write an answer on it, whatever else the request
//! holds, and requests with that part come at every instance. A loss by itself blames nobody: engines end for other
//! reasons too, and every request that runs beside the one that ended its engine is lost with it. The parts that
//! these share with sound requests are cleared by answers; what the losses of several engines and several requests
//! still have in common is blamed.
//!
//! The scheduler of each availability zone reports the losses of its engines, and each instance derives the same verdicts
//! from all reports. `docs/PLATFORM.md`, section "Prompts that crash engines", compares the alternatives.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The number of different moments at which engines have to be lost under a part for it to be blamed.
const MIN_MOMENTS: usize = 3;

/// The time between losses under which they count as one moment: several engines are lost at once when their machine,
/// rack or network is. Reports of two zones arrive up to 250 ms apart.
const SIMULTANEOUS: Duration = Duration::from_millis(300);

/// The number of different requests, and of different addresses of engines, among these losses. A request that is retried
/// could otherwise blame all its parts, and one defective machine every part that it runs.
const MIN_DIFFERENT: usize = 2;

/// How long a part is refused after the last engine was lost under it. Its next request is then run by itself, which
/// clears the part or blames it again.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// The retry-after time of a refused request.
pub const RETRY_AFTER: Duration = QUARANTINE_TIME;

/// A prompt part as used by one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: Arc<str>,
    /// The number that identifies the content.
    pub id: u64,
}

/// A request that ran on an engine when it was lost, and had not shown that it is sound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The last part of its prompt, which is its own: the same for all attempts at one request.
    pub own: u64,
    /// The other parts of its prompt that are not known to be sound.
    pub parts: Vec<u64>,
}

/// The loss of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The engine's service.
    pub service: Arc<str>,
    /// The engine's address, which it keeps when it is restarted.
    pub engine: SocketAddr,
    /// The time since the loss when it was reported, in milliseconds.
    pub age_ms: u64,
    /// What ran on the engine.
    pub runs: Vec<Run>,
}

/// What the scheduler of one availability zone reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The losses of engines that are not explained otherwise.
    pub losses: Vec<Loss>,
    /// Parts that other zones suspect and that have just been sound here.
    pub sound: Vec<Part>,
}

/// The verdicts on prompt parts, from the reports of all zones.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    reports: Map<Arc<str>, Received>,
    blamed: Map<Part, Verdict>,
    suspects: Set<Part>,
}

#[derive(Clone, Debug)]
struct Received {
    report: Report,
    at: Instant,
}

/// Why a part is blamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The number of engines that were lost under it.
    pub losses: usize,
    /// The number of different requests that they ran.
    pub requests: usize,
    /// When its requests are run again.
    pub until: Instant,
}

/// A changed verdict, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The part is refused from now on.
    Blamed(Part, Verdict),
    /// The part is not refused any more.
    Released(Part),
}

impl Quarantine {
    /// Replaces the report of a zone, and returns the verdicts that this changes.
    pub fn update(&mut self, zone: &Arc<str>, report: Report, now: Instant) -> Vec<Change> {
        self.reports.insert(zone.clone(), Received { report, at: now });
        let before = std::mem::take(&mut self.blamed);
        self.judge();
        let blamed = self.blamed.iter().filter(|(part, _)| !before.contains_key(*part));
        let released = before.keys().filter(|part| !self.blamed.contains_key(*part));
        blamed
            .map(|(part, verdict)| Change::Blamed(part.clone(), *verdict))
            .chain(released.map(|part| Change::Released(part.clone())))
            .collect()
    }

    /// Returns the last report of a zone, with the ages that its losses have by now.
    pub fn report(&self, zone: &str, now: Instant) -> Option<Report> {
        let received = self.reports.get(zone)?;
        let mut report = received.report.clone();
        report.add_age(now.since(received.at));
        Some(report)
    }

    /// Returns the parts that zones other than `zone` suspect.
    pub fn suspects_elsewhere(&self, zone: &str) -> Set<Part> {
        let others = self.reports.iter().filter(|(name, _)| ***name != *zone);
        others.flat_map(|(_, received)| received.report.suspects()).collect()
    }

    /// Returns the parts that zones other than `zone` have just found to be sound.
    pub fn sound_elsewhere<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Part> {
        let others = self.reports.iter().filter(move |(name, _)| ***name != *zone);
        others.flat_map(|(_, received)| &received.report.sound)
    }

    /// Returns the part among `ids` for which requests of a service are refused.
    pub fn blamed(
        &self,
        service: &Arc<str>,
        ids: impl IntoIterator<Item = u64>,
        now: Instant,
    ) -> Option<u64> {
        if self.blamed.is_empty() {
            return None;
        }
        ids.into_iter().find(|id| {
            let part = Part { service: service.clone(), id: *id };
            self.blamed.get(&part).is_some_and(|verdict| now < verdict.until)
        })
    }

    /// Returns the parts that are suspected, with those that are blamed.
    pub fn suspects(&self) -> &Set<Part> {
        &self.suspects
    }

    /// Returns the number of blamed parts.
    pub fn blamed_parts(&self) -> usize {
        self.blamed.len()
    }

    /// Derives the verdicts. The part that the most losses have in common is blamed first, and the losses that it explains
    /// blame no other part. Parts that cannot be told apart are blamed together.
    fn judge(&mut self) {
        let sound: Set<&Part> =
            self.reports.values().flat_map(|received| &received.report.sound).collect();
        let mut losses: Vec<(Instant, &Loss)> = Vec::new();
        for received in self.reports.values() {
            losses.extend(
                received
                    .report
                    .losses
                    .iter()
                    .map(|loss| (received.at - Duration::from_millis(loss.age_ms), loss)),
            );
        }
        self.suspects = losses.iter().flat_map(|(_, loss)| loss.suspects()).collect();
        self.suspects.retain(|part| !sound.contains(part));
        loop {
            let worst = most_blamed(&self.suspects, &losses);
            if worst.is_empty() {
                return;
            }
            losses.retain(|(_, loss)| !worst.iter().any(|(part, _)| loss.has(part)));
            self.blamed.extend(worst);
        }
    }
}

impl Report {
    /// Adds the time that has passed since the report was made.
    pub fn add_age(&mut self, age: Duration) {
        self.losses.iter_mut().for_each(|loss| loss.age_ms += age.as_millis() as u64);
    }

    /// Returns the parts that the report suspects.
    pub fn suspects(&self) -> impl Iterator<Item = Part> {
        self.losses.iter().flat_map(Loss::suspects)
    }
}

impl Loss {
    /// Returns the parts of the requests that ran on the engine.
    pub fn suspects(&self) -> impl Iterator<Item = Part> {
        let ids = self.runs.iter().flat_map(|run| &run.parts);
        ids.map(|id| Part { service: self.service.clone(), id: *id })
    }

    /// Removes a part that is sound, and returns whether the loss had it.
    pub fn clear(&mut self, part: &Part) -> bool {
        let has_part = self.has(part);
        if has_part {
            self.runs.iter_mut().for_each(|run| run.parts.retain(|id| *id != part.id));
            self.runs.retain(|run| !run.parts.is_empty());
        }
        has_part
    }

    fn has(&self, part: &Part) -> bool {
        self.service == part.service && self.runs.iter().any(|run| run.parts.contains(&part.id))
    }
}

/// Returns the parts that the most losses have in common, if there are enough of them to blame a part.
fn most_blamed(suspects: &Set<Part>, losses: &[(Instant, &Loss)]) -> Vec<(Part, Verdict)> {
    let judged = suspects.iter().filter_map(|part| Some((part, judge_part(part, losses)?)));
    let judged: Vec<(&Part, Verdict)> = judged.collect();
    let weight = |verdict: &Verdict| (verdict.losses, verdict.requests);
    let Some(most) = judged.iter().map(|(_, verdict)| weight(verdict)).max() else {
        return Vec::new();
    };
    let worst = judged.into_iter().filter(|(_, verdict)| weight(verdict) == most);
    worst.map(|(part, verdict)| (part.clone(), verdict)).collect()
}

fn judge_part(part: &Part, losses: &[(Instant, &Loss)]) -> Option<Verdict> {
    let under: Vec<&(Instant, &Loss)> = losses.iter().filter(|(_, loss)| loss.has(part)).collect();
    let engines: Set<SocketAddr> = under.iter().map(|(_, loss)| loss.engine).collect();
    let runs = under.iter().flat_map(|(_, loss)| &loss.runs);
    let requests: Set<u64> =
        runs.filter(|run| run.parts.contains(&part.id)).map(|run| run.own).collect();
    let last = under.iter().map(|(at, _)| *at).max()?;
    let is_blamed = count_moments(under.iter().map(|(at, _)| *at)) >= MIN_MOMENTS
        && engines.len() >= MIN_DIFFERENT
        && requests.len() >= MIN_DIFFERENT;
    is_blamed.then(|| Verdict {
        losses: under.len(),
        requests: requests.len(),
        until: last + QUARANTINE_TIME,
    })
}

/// Returns how many of these times are apart from each other.
fn count_moments(times: impl Iterator<Item = Instant>) -> usize {
    let mut times: Vec<Instant> = times.collect();
    times.sort_unstable();
    let mut last: Option<Instant> = None;
    let mut moments = 0;
    for time in times {
        if last.is_none_or(|last| time.since(last) >= SIMULTANEOUS) {
            moments += 1;
            last = Some(time);
        }
    }
    moments
}
