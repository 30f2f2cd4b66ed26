//! The log: JSON lines or terminal lines on standard error.

use slog::{Drain, Logger, o};

use crate::gateway;
use crate::settings::{LogFormat, Settings};

/// Log lines that may wait to be written; more are dropped and counted by the library.
const QUEUE_LINES: usize = 8_192;

/// Returns the logger of the process.
pub fn logger(settings: &Settings) -> Logger {
    let level = settings.log_level;
    let drain = match settings.log_format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(drain).chan_size(QUEUE_LINES).build()
        }
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).chan_size(QUEUE_LINES).build()
        }
    };
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(
        drain,
        o!("instance" => settings.name.clone(), "region" => settings.region.clone()),
    )
}

/// Returns the logger of an instance on a platform, whose lines go to standard output.
///
/// Writing never blocks the loop: lines beyond the queue are dropped and counted, and a reader that
/// has gone away is not missed.
pub fn to_stdout(settings: &gateway::Settings) -> Logger {
    let drain = match settings.log_format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
            slog_async::Async::new(drain).chan_size(QUEUE_LINES).build()
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            slog_async::Async::new(drain).chan_size(QUEUE_LINES).build()
        }
    };
    let drain = slog::LevelFilter::new(drain, settings.log_level).ignore_res();
    Logger::root(
        drain,
        o!("instance" => settings.name.clone(), "region" => settings.region.clone()),
    )
}
