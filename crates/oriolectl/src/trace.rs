//! Shows the log lines of one request and those that may explain its outcome, from the logs of all
//! instances.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader};

use serde_json::{Map, Value};

use crate::print;

/// How long before a request's first line other lines may explain its outcome, in milliseconds.
///
/// The loss of a dependency is detected within seconds; see `docs/OPERATIONS.md`.
const LOOKBACK_MS: i64 = 5_000;

/// The file name that means standard input.
const STDIN: &str = "-";

/// Fields that every line has or that the text output shows in another form.
const OMITTED_FIELDS: [&str; 6] = ["msg", "level", "ts", "instance", "region", "request"];

/// Prints the log lines that concern a request and returns the exit code.
pub fn run(request: &str, files: &[String], json: bool) -> u8 {
    let mut log = Log::default();
    for file in files {
        if let Err(error) = read(file, &mut log) {
            eprintln!("oriolectl: {file}: {error}");
            return print::FAILED;
        }
    }
    let timeline = log.timeline(request);
    if log.unreadable > 0 {
        eprintln!("oriolectl: {} lines are not JSON objects with a timestamp", log.unreadable);
    }
    if timeline.is_empty() {
        eprintln!("oriolectl: no log line mentions request {request}");
        return print::FAILED;
    }
    for line in timeline {
        match json {
            true => println!("{}", Value::Object(line.fields.clone())),
            false => println!("{}", line.to_text(request)),
        }
    }
    0
}

/// The readable lines of one or more logs.
#[derive(Default)]
struct Log {
    lines: Vec<Line>,
    unreadable: usize,
}

impl Log {
    fn add_line(&mut self, text: &str) {
        // A log collector may put a prefix before each line.
        let Some(start) = text.find('{') else {
            self.unreadable += usize::from(!text.trim().is_empty());
            return;
        };
        match serde_json::from_str(&text[start..]).ok().and_then(Line::new) {
            Some(line) => self.lines.push(line),
            None => self.unreadable += 1,
        }
    }

    /// Returns the lines of a request and those that may explain its outcome, in order of time.
    fn timeline(&self, request: &str) -> Vec<&Line> {
        let own: Vec<&Line> = self.lines.iter().filter(|line| line.is_about(request)).collect();
        let (Some(first), Some(last)) =
            (own.iter().map(|line| line.at_ms).min(), own.iter().map(|line| line.at_ms).max())
        else {
            return Vec::new();
        };
        let instances: BTreeSet<&str> =
            own.iter().filter_map(|line| line.text("instance")).collect();
        let upstreams: BTreeSet<&str> =
            own.iter().filter_map(|line| line.text("upstream")).collect();
        let parts: BTreeSet<&str> = own
            .iter()
            .filter_map(|line| line.text("parts"))
            .flat_map(|parts| parts.split(','))
            .collect();
        let contents: BTreeSet<&str> = own.iter().filter_map(|line| line.text("content")).collect();
        let explains = |line: &Line| {
            let is_near = (first - LOOKBACK_MS..=last).contains(&line.at_ms);
            let is_same_instance =
                line.text("instance").is_some_and(|name| instances.contains(name));
            let is_same_upstream =
                line.text("upstream").is_some_and(|name| upstreams.contains(name));
            // A verdict on a request or a part of its prompt is made long before most requests that it concerns.
            let is_verdict = line.text("part").is_some_and(|part| parts.contains(part))
                || line.text("content").is_some_and(|content| contents.contains(content));
            let is_related = match is_verdict {
                true => is_same_instance && line.at_ms <= last,
                false => is_near && (is_same_upstream || is_same_instance && line.is_notable()),
            };
            is_related && line.names_no_request()
        };
        let mut timeline: Vec<&Line> =
            self.lines.iter().filter(|line| line.is_about(request) || explains(line)).collect();
        timeline.sort_by_key(|line| line.at_ms);
        timeline
    }
}

/// A log line.
struct Line {
    at_ms: i64,
    fields: Map<String, Value>,
}

impl Line {
    fn new(fields: Map<String, Value>) -> Option<Self> {
        let at_ms = milliseconds(fields.get("ts")?.as_str()?)?;
        Some(Self { at_ms, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn is_about(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }

    fn names_no_request(&self) -> bool {
        self.text("request").is_none()
    }

    /// Returns whether a line is a warning or an error, or reports a change that affects all requests.
    fn is_notable(&self) -> bool {
        const CHANGES: [&str; 8] = [
            "configuration in force",
            "scheduling begins",
            "scheduling ends",
            "scheduler connected",
            "store regained",
            "started",
            "stopping",
            "stopped",
        ];
        let is_warning = matches!(self.text("level"), Some("WARN" | "ERRO" | "CRIT"));
        is_warning || self.text("msg").is_some_and(|message| CHANGES.contains(&message))
    }

    fn to_text(&self, request: &str) -> String {
        let mark = if self.is_about(request) { '*' } else { ' ' };
        let time = self.text("ts").unwrap_or_default();
        let instance = self.text("instance").unwrap_or("-");
        let message = self.text("msg").unwrap_or_default();
        let mut text = format!("{mark} {time}  {instance:<24}  {message}");
        for (name, value) in &self.fields {
            if OMITTED_FIELDS.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            match value.as_str() {
                Some(value) if value.contains(' ') => text += &format!("  {name}={value:?}"),
                Some(value) => text += &format!("  {name}={value}"),
                None => text += &format!("  {name}={value}"),
            }
        }
        text
    }
}

fn read(file: &str, log: &mut Log) -> io::Result<()> {
    let lines: Box<dyn BufRead> = match file {
        STDIN => Box::new(io::stdin().lock()),
        _ => Box::new(BufReader::new(File::open(file)?)),
    };
    for line in lines.split(b'\n') {
        log.add_line(&String::from_utf8_lossy(&line?));
    }
    Ok(())
}

/// Parses the timestamp of a log line, in milliseconds since the Unix epoch.
fn milliseconds(text: &str) -> Option<i64> {
    let time: jiff::Timestamp = text.parse().ok()?;
    Some(time.as_millisecond())
}
