//! What an instance knows of runs that no scheduler granted: those that broke off, which it keeps until a scheduler can be told,
//! and what was sound.
//!
//! Load pattern: instances have just started, or a zone is between two schedulers, and a request ends one upstream after the
//! other meanwhile. Without these losses as many more are needed to recognize it. Without the sound runs beside them, what sound
//! requests share with it is blamed in its place.

use std::collections::VecDeque;

use super::quarantine::{Key, Run, Subject};
use crate::prelude::*;
use crate::scheduler::message::UngrantedRun;
use crate::scheduler::suspects::SOUND_TTL;

/// How long a run is kept. After that its upstream may have been replaced for another reason, which a check would
/// take for its loss.
const UNREPORTED_TTL: Duration = Duration::from_secs(10);

/// The most runs that are kept, the newest ones.
const MAX_UNREPORTED: usize = 64;

/// The most requests and parts that are remembered as sound.
const MAX_SOUND: usize = 1_024;

/// Runs that broke off and that no scheduler knows, and what was sound in others.
#[derive(Clone, Debug, Default)]
pub struct Unreported {
    broken: VecDeque<(Instant, UngrantedRun)>,
    sound: Map<Subject, Instant>,
}

impl Unreported {
    /// Keeps a run that broke off. Its age is that at `now`.
    pub fn push(&mut self, run: UngrantedRun, now: Instant) {
        if self.broken.len() >= MAX_UNREPORTED {
            self.broken.pop_front();
        }
        self.broken.push_back((now, run));
    }

    /// Records what was sound in a run.
    pub fn record_sound(&mut self, run: &UngrantedRun, now: Instant) {
        for key in run.run.keys() {
            self.sound.insert(Subject { service: run.service.clone(), key }, now);
        }
        if self.sound.len() > MAX_SOUND {
            let mut times: Vec<Instant> = self.sound.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.sound.retain(|_, at| *at > median && now.since(*at) < SOUND_TTL);
        }
    }

    /// Returns a run with the same origin as `run` that has those of its `keys` that were sound, and the age of the oldest of
    /// these answers, if there are any.
    pub fn sound_among(
        &self,
        run: &UngrantedRun,
        keys: impl IntoIterator<Item = Key>,
        now: Instant,
    ) -> Option<UngrantedRun> {
        let ages = keys.into_iter().filter_map(|key| {
            let subject = Subject { service: run.service.clone(), key };
            let age = now.since(*self.sound.get(&subject)?);
            (age < SOUND_TTL).then_some((key, age))
        });
        let ages: Map<Key, Duration> = ages.collect();
        let oldest = ages.values().max()?;
        let mut sound = run.clone();
        sound.age_ms = oldest.as_millis() as u64;
        sound.run = Run::of(ages.keys().copied());
        Some(sound)
    }

    /// Takes those that are not too old, with their ages at `now`, the oldest first.
    pub fn take(&mut self, now: Instant) -> Vec<UngrantedRun> {
        let broken = self.broken.drain(..).map(|(at, mut run)| {
            run.age_ms += now.since(at).as_millis() as u64;
            run
        });
        broken.filter(|run| Duration::from_millis(run.age_ms) < UNREPORTED_TTL).collect()
    }
}
