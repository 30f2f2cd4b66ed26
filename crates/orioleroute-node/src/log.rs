//! The log: JSON lines or plain text, on standard error or standard output.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_async::{Async, AsyncGuard};

use crate::gateway;
use crate::settings::{LogFormat, Settings};

/// The maximum number of log lines queued for writing; the library drops and counts lines beyond it.
const QUEUE_LINES: usize = 8_192;

/// The longest wait for the queued lines at the end of the process. Who reads them may have stopped reading.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits until the queued lines are written when it is dropped. The thread that writes them ends with the process.
pub struct Flush(Option<AsyncGuard>);

impl Drop for Flush {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (sender, written) = mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            // Fails if nobody waits any more.
            let _ = sender.send(());
        });
        // The remaining lines are left out.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Returns a drain that passes lines to `drain` on a thread of its own.
fn queued<D>(drain: D) -> (Async, Flush)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (drain, guard) = Async::new(drain).chan_size(QUEUE_LINES).build_with_guard();
    (drain, Flush(Some(guard)))
}

/// Returns the logger of an instance with the documents backend, which writes to standard error.
pub fn to_stderr(settings: &Settings) -> (Logger, Flush) {
    let level = settings.log_level;
    let (drain, flush) = match settings.log_format {
        LogFormat::Json => queued(slog_json::Json::default(std::io::stderr()).fuse()),
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            queued(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let drain = slog::LevelFilter::new(drain, level).fuse();
    let values = o!("instance" => settings.name.clone(), "region" => settings.region.clone());
    (Logger::root(drain, values), flush)
}

/// Returns the logger of an instance with the platform backend, which writes to standard output.
///
/// Logging never blocks the event loop: lines beyond the queue are dropped and counted, and write
/// errors, such as those of a closed pipe, are ignored.
pub fn to_stdout(settings: &gateway::Settings) -> (Logger, Flush) {
    let (drain, flush) = match settings.log_format {
        LogFormat::Json => queued(slog_json::Json::default(std::io::stdout()).ignore_res()),
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stdout());
            queued(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
    };
    let drain = RateLimited::new(drain.ignore_res(), settings.log_lines);
    let drain = slog::LevelFilter::new(drain, settings.log_level).ignore_res();
    let values = o!("instance" => settings.name.clone(), "region" => settings.region.clone());
    (Logger::root(drain, values), flush)
}

/// A drain that passes at most `limit` lines a second and counts the rest.
///
/// For lines at warning level or above the limit is twice as high, so that a flood of logged decisions
/// does not crowd out warnings and errors.
struct RateLimited<D> {
    drain: D,
    limit: u32,
    started: Instant,
    second: AtomicU64,
    lines: AtomicU32,
}

impl<D> RateLimited<D> {
    fn new(drain: D, limit: u32) -> Self {
        let (second, lines) = (AtomicU64::new(0), AtomicU32::new(0));
        Self { drain, limit, started: Instant::now(), second, lines }
    }

    /// Counts a line and returns whether it may pass; the count restarts each second.
    fn admits(&self, level: Level) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let lines = self.lines.fetch_add(1, Ordering::Relaxed);
        let limit = if level.is_at_least(Level::Warning) { self.limit * 2 } else { self.limit };
        lines < limit
    }
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if self.admits(record.level()) {
            return self.drain.log(record, values);
        }
        metrics::counter!("orioleroute_log_lines_left_out_total").increment(1);
        Ok(())
    }
}
