//! Which requests and prompt parts may have ended upstreams of the zone, from how the runs on them ended.
//!
//! See [`crate::ingress::quarantine`] for the verdicts.

use std::net::SocketAddr;

use super::check::Finding;
use crate::hash;
use crate::ingress::quarantine::{Key, Loss, Quarantine, Report, Run, Subject};
use crate::prelude::*;

/// How long a request or part counts as sound after a run of it. What begins to end upstreams within this time is suspected
/// only after it.
pub const SOUND_TTL: Duration = Duration::from_secs(60);

/// The most requests and parts that are remembered as sound.
const MAX_SOUND: usize = 4_096;

/// How long the runs that a lost engine breaks off are counted towards its loss.
const LOSS_SPAN: Duration = Duration::from_secs(2);

/// The least time in which a lost upstream is started again. Runs that begin earlier were sent to a process that was
/// ending.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);

/// How long a loss is remembered.
const LOSS_TTL: Duration = Duration::from_secs(3_600);

/// The most losses that are remembered. With [`MAX_RUNS`] and [`MAX_PARTS`] it limits a report to about 30 KB.
const MAX_LOSSES: usize = 16;

/// The most runs that are remembered of a loss.
const MAX_RUNS: usize = 12;

/// The most parts that are remembered of a run, the first ones.
const MAX_PARTS: usize = 8;

/// How long something that another zone suspects is reported as sound after a run of it. It is short, because the report
/// clears it also of losses that are newer than the run.
const SOUND_REPORT_TIME: Duration = Duration::from_millis(2_000);

/// What the zone's runs say about prompt parts.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The upstreams on which a run broke off.
    broken: Map<Process, BrokenEngine>,
    losses: Vec<TimedLoss>,
    sound: Map<Subject, Instant>,
    /// What other zones suspect.
    elsewhere: Set<Subject>,
    reported_sound: Set<Subject>,
    has_changed: bool,
}

/// Identifies a process of an upstream: a digest of its id, which a restart changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process(u64);

impl Process {
    /// Returns the process of the upstream with this id.
    pub fn of(upstream: &str) -> Self {
        Self(hash::digest(upstream))
    }
}

/// An upstream on which a run broke off.
#[derive(Clone, Debug)]
pub(super) struct Broken {
    /// The process that ran it.
    pub process: Process,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The service of the upstream.
    pub service: Arc<str>,
    /// Whether the upstream had answered a request since its start, as far as is known.
    pub has_answered: bool,
    /// What broke off. The time for which it ran is up to now.
    pub run: Run,
    /// Whether it was answered, but in a way that does not show whether the answer is whole.
    pub is_answered: bool,
    /// How long ago it broke off.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct BrokenEngine {
    address: SocketAddr,
    service: Arc<str>,
    has_answered: bool,
    since: Instant,
    /// How long before that the first run broke off.
    age: Duration,
    runs: Vec<Run>,
    /// What those runs held that were answered, and is sound if the upstream lives.
    answered: Set<Key>,
    /// Whether the upstream was found to be lost, and its loss is among the losses.
    is_lost: bool,
}

/// A loss with the age that it had at a moment. It may be older than this process, whose instants begin at its start.
#[derive(Clone, Debug)]
struct TimedLoss {
    at: Instant,
    loss: Loss,
}

impl TimedLoss {
    /// Returns the loss with the age that it has by now.
    fn aged(&self, now: Instant) -> Loss {
        let mut loss = self.loss.clone();
        loss.add_age(now.since(self.at));
        loss
    }
}

impl Suspects {
    /// Records that runs of these were sound when they ended, `age` ago.
    pub fn record_sound(
        &mut self,
        service: &Arc<str>,
        keys: impl IntoIterator<Item = Key>,
        age: Duration,
        now: Instant,
    ) {
        if age >= SOUND_TTL {
            return;
        }
        for key in keys {
            let subject = Subject { service: service.clone(), key };
            self.clear(&subject);
            let at = self.sound.entry(subject).or_default();
            *at = (*at).max(now - age);
        }
        self.evict_sound(now);
    }

    /// Records that a run broke off. Returns whether to check whether its upstream is lost.
    pub(super) fn record_broken(&mut self, broken: Broken, now: Instant) -> bool {
        let Broken { process, address, service, has_answered, mut run, is_answered, age } = broken;
        run.retain(|key| !self.is_sound(&service, key, now));
        run.parts.truncate(MAX_PARTS);
        if run.is_sound() {
            return false;
        }
        let answered: Vec<Key> = if is_answered { run.keys().collect() } else { Vec::new() };
        self.broken.retain(|_, broken| now.since(broken.since) < LOSS_SPAN);
        let ran = Duration::from_millis(run.ran_ms);
        // The process may have been started again with the same id.
        self.broken.retain(|known, broken| {
            *known != process || !broken.is_lost || now.since(broken.since) < ran + MIN_RESTART_TIME
        });
        if let Some(broken) = self.broken.get_mut(&process) {
            broken.answered.extend(answered);
            broken.has_answered |= has_answered;
            // The loss was noticed when the first run broke off.
            let later = (now.since(broken.since) + broken.age).saturating_sub(age);
            run.ran_ms = run.ran_ms.saturating_sub(later.as_millis() as u64);
            match broken.is_lost {
                true => self.add_to_loss(address, run),
                false if broken.runs.len() < MAX_RUNS => broken.runs.push(run),
                false => {}
            }
            return false;
        }
        let answered = answered.into_iter().collect();
        let (runs, is_lost) = (vec![run], false);
        let broken = BrokenEngine {
            address,
            service,
            has_answered,
            since: now,
            age,
            runs,
            answered,
            is_lost,
        };
        self.broken.insert(process, broken);
        true
    }

    /// Handles the result of the check of an upstream.
    pub(super) fn handle_check(&mut self, process: Process, finding: Finding, now: Instant) {
        let Some(broken) = self.broken.get_mut(&process).filter(|broken| !broken.is_lost) else {
            return;
        };
        if finding != Finding::Lost {
            let (service, answered) =
                (broken.service.clone(), std::mem::take(&mut broken.answered));
            self.broken.remove(&process);
            if finding == Finding::Alive {
                self.record_sound(&service, answered, Duration::ZERO, now);
            }
            return;
        }
        broken.is_lost = true;
        let runs = std::mem::take(&mut broken.runs);
        let (service, engine) = (broken.service.clone(), broken.address);
        let (has_answered, at) = (broken.has_answered, broken.since);
        let age_ms = broken.age.as_millis() as u64;
        self.has_changed = true;
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        let loss = Loss { service, engine, has_answered, age_ms, runs };
        self.losses.push(TimedLoss { at, loss });
    }

    /// Returns whether an upstream on which a run of this broke off is being checked.
    pub fn is_being_checked(&self, subject: &Subject, now: Instant) -> bool {
        self.broken.values().any(|broken| {
            !broken.is_lost
                && now.since(broken.since) < LOSS_SPAN
                && broken.service == subject.service
                && broken.runs.iter().flat_map(Run::keys).any(|key| key == subject.key)
        })
    }

    /// Returns whether any upstream is being checked.
    pub fn is_checking(&self) -> bool {
        self.broken.values().any(|broken| !broken.is_lost)
    }

    /// Takes over what other zones report.
    pub fn update(&mut self, quarantine: &Quarantine, zone: &str) {
        self.elsewhere = quarantine.suspects_elsewhere(zone);
        for subject in quarantine.sound_elsewhere(zone) {
            self.clear(subject);
        }
    }

    /// Takes over what a predecessor has reported.
    pub fn restore(&mut self, report: &Report, now: Instant) {
        let losses = report.losses.iter().map(|loss| TimedLoss { at: now, loss: loss.clone() });
        self.losses = losses.chain(std::mem::take(&mut self.losses)).collect();
    }

    /// Returns the report if it has changed since the last call.
    pub fn take_report(&mut self, now: Instant) -> Option<Report> {
        let known = self.losses.len();
        self.losses.retain(|timed| {
            let age = now.since(timed.at) + Duration::from_millis(timed.loss.age_ms);
            age < LOSS_TTL && !timed.loss.runs.is_empty()
        });
        let sound = self.elsewhere.iter().filter(|subject| {
            self.sound.get(*subject).is_some_and(|at| now.since(*at) < SOUND_REPORT_TIME)
        });
        let sound: Set<Subject> = sound.cloned().collect();
        self.has_changed |= self.losses.len() < known || sound != self.reported_sound;
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        self.reported_sound = sound.clone();
        let losses = self.losses.iter().map(|timed| timed.aged(now));
        Some(Report { losses: losses.collect(), sound: sound.into_iter().collect() })
    }

    fn is_sound(&self, service: &Arc<str>, key: Key, now: Instant) -> bool {
        let subject = Subject { service: service.clone(), key };
        self.sound.get(&subject).is_some_and(|at| now.since(*at) < SOUND_TTL)
    }

    fn clear(&mut self, subject: &Subject) {
        for timed in &mut self.losses {
            self.has_changed |= timed.loss.clear(subject);
        }
    }

    /// Adds a run to the newest loss of an upstream.
    fn add_to_loss(&mut self, address: SocketAddr, run: Run) {
        let mut losses = self.losses.iter_mut().rev();
        if let Some(timed) = losses.find(|timed| timed.loss.engine == address)
            && timed.loss.runs.len() < MAX_RUNS
        {
            timed.loss.runs.push(run);
            self.has_changed = true;
        }
    }

    fn evict_sound(&mut self, now: Instant) {
        if self.sound.len() <= MAX_SOUND {
            return;
        }
        let mut times: Vec<Instant> = self.sound.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.sound.retain(|_, at| *at > median && now.since(*at) < SOUND_TTL);
    }
}
