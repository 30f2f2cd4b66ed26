//! Settings from flags and environment variables, checked at the start.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

/// What the command line asks for.
pub enum Outcome {
    /// Runs with these settings.
    Run(Box<Settings>),
    /// Prints a text and ends.
    Print(String),
    /// Ends with a message.
    Fail(String),
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For a terminal.
    Text,
}

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The platform's table service.
    pub table_address: SocketAddr,
    /// The table's name.
    pub table_name: String,
    /// The platform's object store.
    pub objects_address: SocketAddr,
    /// The platform's instance list.
    pub list_address: SocketAddr,
    /// The token that peers show.
    pub peer_token: String,
    /// The token that operators show.
    pub operator_token: String,
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest wait for a request on an open connection.
    pub idle: Duration,
    /// The longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// The longest wait for a whole request body.
    pub body_time: Duration,
    /// The longest wait for a caller to take one part of an answer.
    pub write_time: Duration,
    /// The connections of callers that are open at a time.
    pub connections: usize,
    /// How long a caller keeps the answer which instance to use.
    pub route_life: Duration,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: slog::Level,
}

/// A setting that is given as a flag, an environment variable or a line of a file.
pub struct Setting {
    flag: &'static str,
    hint: &'static str,
    help: &'static str,
    default: Option<&'static str>,
}

/// Returns a setting; one without a default has to be given.
pub const fn setting(
    flag: &'static str,
    hint: &'static str,
    help: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting { flag, hint, help, default }
}

const SETTINGS: &[Setting] = &[
    setting("backend", "documents|platform", "where configurations come from", Some("documents")),
    setting("name", "NAME", "unique name of this instance", None),
    setting("region", "NAME", "region of this instance", None),
    setting("zone", "NAME", "availability zone of this instance", None),
    setting("caller-address", "IP:PORT", "where callers connect", Some("127.0.0.1:0")),
    setting("peer-address", "IP:PORT", "where peers connect", Some("127.0.0.1:0")),
    setting("operator-address", "IP:PORT", "where operators connect", Some("127.0.0.1:0")),
    setting("table-address", "IP:PORT", "the platform's table service", None),
    setting("table-name", "NAME", "the table", Some("orioleroute")),
    setting("objects-address", "IP:PORT", "the platform's object store", None),
    setting("list-address", "IP:PORT", "the platform's instance list", None),
    setting("peer-token", "TEXT", "token that peers show", None),
    setting("operator-token", "TEXT", "token that operators show", None),
    setting("head-bytes", "COUNT", "largest request head", Some("32768")),
    setting("body-bytes", "COUNT", "largest request body", Some("4194304")),
    setting("idle-ms", "MILLISECONDS", "longest wait for the next request", Some("120000")),
    setting("head-ms", "MILLISECONDS", "longest time of a request head", Some("10000")),
    setting("body-ms", "MILLISECONDS", "longest wait for a request body", Some("10000")),
    setting("write-ms", "MILLISECONDS", "longest wait for a slow reader", Some("30000")),
    setting("connections", "COUNT", "open connections of callers", Some("10000")),
    setting("route-life-ms", "MILLISECONDS", "how long callers keep a route", Some("5000")),
    setting("log-format", "json|text", "form of log lines", Some("json")),
    setting("log-level", "LEVEL", "least severe level that is logged", Some("info")),
];

impl Settings {
    /// Reads the settings of this process.
    pub fn from_environment() -> Outcome {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let mut source = match Source::read(SETTINGS, &arguments) {
            Ok(source) => source,
            Err(outcome) => return outcome,
        };
        let settings = source.settings();
        if !source.faults.is_empty() {
            return Outcome::Fail(source.faults.join("\n"));
        }
        if source.asks_to_print() {
            return Outcome::Print(source.print());
        }
        match settings {
            Some(settings) => Outcome::Run(Box::new(settings)),
            None => Outcome::Fail("orioleroute-node: the settings are incomplete".into()),
        }
    }
}

/// Returns whether the process is to run on a platform that keeps the configuration.
pub fn is_on_platform() -> bool {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let flag = arguments.iter().position(|argument| argument == "--backend");
    let given = flag.and_then(|index| arguments.get(index + 1)).cloned();
    let backend = given.or_else(|| std::env::var(variable("backend")).ok());
    backend.as_deref() == Some("platform")
}

fn options(settings: &[Setting]) -> Options {
    let mut options = Options::new();
    for setting in settings {
        options.optopt("", setting.flag, setting.help, setting.hint);
    }
    options.optflag("", "print-settings", "print the settings in force and end");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn usage(settings: &[Setting]) -> String {
    let brief = "Usage: orioleroute-node [options]\n\n\
        Every option can also be given as an environment variable: --caller-address as\n\
        ORIOLEROUTE_CALLER_ADDRESS, and so on. A flag goes before a variable.";
    options(settings).usage(brief)
}

/// Where values come from, and the faults found in them.
pub struct Source {
    settings: &'static [Setting],
    matches: Matches,
    /// The lines of the file that the setting `config` names.
    file: Vec<(String, String)>,
    /// What is wrong with the values.
    pub faults: Vec<String>,
}

impl Source {
    /// Reads the flags and, if one is named, the file.
    ///
    /// # Errors
    ///
    /// Fails with what to print if the flags or the file cannot be read or ask for help.
    pub fn read(settings: &'static [Setting], arguments: &[String]) -> Result<Self, Outcome> {
        let fail = |message: String| Err(Outcome::Fail(format!("orioleroute-node: {message}")));
        let matches = match options(settings).parse(arguments) {
            Ok(matches) => matches,
            Err(error) => return fail(format!("{error}\n{}", usage(settings))),
        };
        if matches.opt_present("help") {
            return Err(Outcome::Print(usage(settings)));
        }
        if matches.opt_present("version") {
            let version = env!("CARGO_PKG_VERSION");
            return Err(Outcome::Print(format!("orioleroute-node {version}")));
        }
        if let Some(extra) = matches.free.first() {
            return fail(format!("unexpected argument {extra:?}"));
        }
        let mut source = Self { settings, matches, file: Vec::new(), faults: Vec::new() };
        let config = settings.iter().find(|setting| setting.flag == "config");
        if let Some(path) = config.and_then(|config| source.text(config)) {
            match std::fs::read_to_string(&path) {
                Ok(text) => source.read_file(&path, &text),
                Err(error) => return fail(format!("settings file {path}: {error}")),
            }
        }
        Ok(source)
    }

    /// Returns whether the settings are to be printed.
    pub fn asks_to_print(&self) -> bool {
        self.matches.opt_present("print-settings")
    }

    /// Takes lines of the form `NAME = VALUE`; empty lines and those that begin with `#` say nothing.
    fn read_file(&mut self, path: &str, text: &str) {
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let place = format!("orioleroute-node: {path}, line {}", index + 1);
            match line.split_once('=') {
                Some((name, value)) => {
                    let name = name.trim();
                    if !self.settings.iter().any(|setting| setting.flag == name) {
                        self.faults.push(format!("{place}: there is no setting {name:?}"));
                    }
                    self.file.push((name.to_owned(), value.trim().to_owned()));
                }
                None => self.faults.push(format!("{place}: not of the form NAME = VALUE")),
            }
        }
    }

    fn settings(&mut self) -> Option<Settings> {
        let name = self.value("name");
        let region = self.value("region");
        let zone = self.value("zone");
        let caller_address = self.value("caller-address");
        let peer_address = self.value("peer-address");
        let operator_address = self.value("operator-address");
        let table_address = self.value("table-address");
        let table_name = self.value("table-name");
        let objects_address = self.value("objects-address");
        let list_address = self.value("list-address");
        let peer_token = self.value("peer-token");
        let operator_token = self.value("operator-token");
        let head_bytes = self.value("head-bytes");
        let body_bytes = self.value("body-bytes");
        let idle = self.millis("idle-ms");
        let head_time = self.millis("head-ms");
        let body_time = self.millis("body-ms");
        let write_time = self.millis("write-ms");
        let connections = self.value("connections");
        let route_life = self.millis("route-life-ms");
        let log_format = self.value("log-format");
        let log_level = self.value("log-level");
        Some(Settings {
            name: name?,
            region: region?,
            zone: zone?,
            caller_address: caller_address?,
            peer_address: peer_address?,
            operator_address: operator_address?,
            table_address: table_address?,
            table_name: table_name?,
            objects_address: objects_address?,
            list_address: list_address?,
            peer_token: peer_token?,
            operator_token: operator_token?,
            head_bytes: head_bytes?,
            body_bytes: body_bytes?,
            idle: idle?,
            head_time: head_time?,
            body_time: body_time?,
            write_time: write_time?,
            connections: connections?,
            route_life: route_life?,
            log_format: log_format?,
            log_level: log_level?,
        })
    }

    fn text(&self, setting: &Setting) -> Option<String> {
        self.matches
            .opt_str(setting.flag)
            .or_else(|| std::env::var(variable(setting.flag)).ok())
            .or_else(|| {
                let mut lines = self.file.iter().filter(|(name, _)| name == setting.flag);
                lines.next_back().map(|(_, value)| value.clone())
            })
            .or_else(|| setting.default.map(str::to_owned))
    }

    /// Returns a value, or takes note of what is wrong with it.
    pub fn value<T: FromStr>(&mut self, flag: &str) -> Option<T> {
        let setting = self.settings.iter().find(|setting| setting.flag == flag)?;
        let variable = variable(flag);
        let Some(text) = self.text(setting) else {
            self.faults.push(format!(
                "orioleroute-node: --{flag} or {variable} is missing: {}",
                setting.help
            ));
            return None;
        };
        let value = if is_empty_value(&text) { None } else { text.parse().ok() };
        if value.is_none() {
            let hint = setting.hint;
            self.faults.push(format!(
                "orioleroute-node: --{flag} or {variable} is {text:?}, allowed is {hint}, neither empty nor 0"
            ));
        }
        value
    }

    /// Returns a time in milliseconds.
    pub fn millis(&mut self, flag: &str) -> Option<Duration> {
        self.value(flag).map(Duration::from_millis)
    }

    /// Returns all settings, one a line, without the secret ones.
    pub fn print(&self) -> String {
        let lines = self.settings.iter().map(|setting| {
            let secret = setting.flag.ends_with("-token");
            let text = self.text(setting).unwrap_or_default();
            let shown = if secret { "(secret)" } else { &text };
            format!("{} = {shown}", setting.flag)
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Returns whether a text is empty or zero, which no setting allows: a limit of 0 would shut everybody
/// out, and an empty token would let everybody in.
fn is_empty_value(text: &str) -> bool {
    text.is_empty() || text.bytes().all(|byte| byte == b'0')
}

fn variable(flag: &str) -> String {
    format!("ORIOLEROUTE_{}", flag.to_uppercase().replace('-', "_"))
}
