//! Settings from flags, environment variables and a settings file, checked at the start.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

/// The result of reading the settings.
pub enum Outcome {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print a text and exit.
    Print(String),
    /// Exit with an error message.
    Fail(String),
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Lines of text for a terminal.
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
    /// The bearer token of peers.
    pub peer_token: String,
    /// The bearer token of operators.
    pub operator_token: String,
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest wait for the next request on an open connection.
    pub idle: Duration,
    /// The longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// The longest wait for a complete request body.
    pub body_time: Duration,
    /// The longest wait for a caller to accept one chunk of a response.
    pub write_time: Duration,
    /// The maximum number of open connections of callers.
    pub connections: usize,
    /// The memory of the machine for this process, in MiB.
    pub memory_mib: usize,
    /// How long a caller may cache the result of a route lookup.
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

/// Returns a setting; one without a default is required.
pub const fn setting(
    flag: &'static str,
    hint: &'static str,
    help: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting { flag, hint, help, default }
}

/// The memory of a machine that does not state it, in MiB.
pub const DEFAULT_MEMORY_MIB: &str = "256";

const SETTINGS: &[Setting] = &[
    setting("backend", "documents|platform", "where configurations come from", Some("documents")),
    setting("name", "NAME", "unique name of this instance", None),
    setting("region", "NAME", "region of this instance", None),
    setting("zone", "NAME", "availability zone of this instance", None),
    setting("caller-address", "IP:PORT", "where callers connect", Some("127.0.0.1:0")),
    setting("peer-address", "IP:PORT", "where peers connect", Some("127.0.0.1:0")),
    setting("operator-address", "IP:PORT", "where operators connect", Some("127.0.0.1:0")),
    setting("table-address", "IP:PORT", "the platform's table service", None),
    setting("table-name", "NAME", "name of the table", Some("orioleroute")),
    setting("objects-address", "IP:PORT", "the platform's object store", None),
    setting("list-address", "IP:PORT", "the platform's instance list", None),
    setting("peer-token", "TEXT", "bearer token of peers", None),
    setting("operator-token", "TEXT", "bearer token of operators", None),
    setting("head-bytes", "COUNT", "largest request head, in bytes", Some("32768")),
    setting("body-bytes", "COUNT", "largest request body, in bytes", Some("4194304")),
    setting("idle-ms", "MILLISECONDS", "longest wait for the next request", Some("120000")),
    setting("head-ms", "MILLISECONDS", "longest time to receive a request head", Some("10000")),
    setting("body-ms", "MILLISECONDS", "longest wait for a request body", Some("10000")),
    setting("write-ms", "MILLISECONDS", "longest wait for a caller to read a chunk", Some("30000")),
    setting("connections", "COUNT", "maximum number of open connections of callers", Some("10000")),
    setting("memory-mb", "MIB", "memory of the machine for this process", Some(DEFAULT_MEMORY_MIB)),
    setting("route-life-ms", "MILLISECONDS", "how long callers may cache a route", Some("5000")),
    setting("log-format", "json|text", "format of log lines", Some("json")),
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
        if !source.errors.is_empty() {
            return Outcome::Fail(source.errors.join("\n"));
        }
        if source.print_requested() {
            return Outcome::Print(source.render());
        }
        match settings {
            Some(settings) => Outcome::Run(Box::new(settings)),
            None => Outcome::Fail("orioleroute-node: the settings are incomplete".into()),
        }
    }
}

/// Returns whether the flags or the environment select the platform backend.
pub fn is_on_platform() -> bool {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let flag = arguments.iter().position(|argument| argument == "--backend");
    let given = flag.and_then(|index| arguments.get(index + 1)).cloned();
    let backend = given.or_else(|| std::env::var(variable_name("backend")).ok());
    backend.as_deref() == Some("platform")
}

fn options(settings: &[Setting]) -> Options {
    let mut options = Options::new();
    for setting in settings {
        options.optopt("", setting.flag, setting.help, setting.hint);
    }
    options.optflag("", "print-settings", "print the effective settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn usage(settings: &[Setting]) -> String {
    let brief = "Usage: orioleroute-node [options]\n\n\
        Every option can also be given as an environment variable: --caller-address as\n\
        ORIOLEROUTE_CALLER_ADDRESS, and so on. A flag overrides a variable.";
    options(settings).usage(brief)
}

/// The sources of the values, and the errors found in them.
pub struct Source {
    settings: &'static [Setting],
    matches: Matches,
    /// The names and values from the file that the setting `config` names.
    file_values: Vec<(String, String)>,
    /// The error messages so far, one for each wrong or missing value.
    pub errors: Vec<String>,
}

impl Source {
    /// Reads the flags and, if one is named, the file.
    ///
    /// # Errors
    ///
    /// Fails with [`Outcome::Fail`] if the flags or the file cannot be read, and with [`Outcome::Print`]
    /// if the flags ask for the help or the version.
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
        let mut source = Self { settings, matches, file_values: Vec::new(), errors: Vec::new() };
        let config = settings.iter().find(|setting| setting.flag == "config");
        if let Some(path) = config.and_then(|config| source.text(config)) {
            match std::fs::read_to_string(&path) {
                Ok(text) => source.read_file(&path, &text),
                Err(error) => return fail(format!("settings file {path}: {error}")),
            }
        }
        Ok(source)
    }

    /// Returns whether the flag `--print-settings` is given.
    pub fn print_requested(&self) -> bool {
        self.matches.opt_present("print-settings")
    }

    /// Reads lines of the form `NAME = VALUE`; empty lines and those that begin with `#` are ignored.
    fn read_file(&mut self, path: &str, text: &str) {
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let location = format!("orioleroute-node: {path}, line {}", index + 1);
            match line.split_once('=') {
                Some((name, value)) => {
                    let name = name.trim();
                    if !self.settings.iter().any(|setting| setting.flag == name) {
                        self.errors.push(format!("{location}: unknown setting {name:?}"));
                    }
                    self.file_values.push((name.to_owned(), value.trim().to_owned()));
                }
                None => self.errors.push(format!("{location}: expected NAME = VALUE")),
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
        let memory_mib = self.machine_limit("memory-mb");
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
            memory_mib: memory_mib?,
            route_life: route_life?,
            log_format: log_format?,
            log_level: log_level?,
        })
    }

    fn text(&self, setting: &Setting) -> Option<String> {
        self.matches
            .opt_str(setting.flag)
            .or_else(|| std::env::var(variable_name(setting.flag)).ok())
            .or_else(|| {
                let mut lines = self.file_values.iter().filter(|(name, _)| name == setting.flag);
                lines.next_back().map(|(_, value)| value.clone())
            })
            .or_else(|| setting.default.map(str::to_owned))
    }

    /// Returns the value of a setting, or records an error if it is missing or invalid.
    pub fn value<T: FromStr>(&mut self, flag: &str) -> Option<T> {
        let setting = self.settings.iter().find(|setting| setting.flag == flag)?;
        let variable = variable_name(flag);
        let Some(text) = self.text(setting) else {
            self.errors.push(format!(
                "orioleroute-node: --{flag} or {variable} is missing: {}",
                setting.help
            ));
            return None;
        };
        let value = if is_empty_or_zero(&text) { None } else { text.parse().ok() };
        if value.is_none() {
            let hint = setting.hint;
            self.errors.push(format!(
                "orioleroute-node: --{flag} or {variable} is {text:?}, expected {hint}, neither empty nor 0"
            ));
        }
        value
    }

    /// Returns the value of a limit of the machine. It may be empty or 0 where the machine states none, and may have
    /// decimals; the default applies then, or they are cut off.
    pub fn machine_limit(&mut self, flag: &str) -> Option<usize> {
        self.number(flag, |stated| match stated {
            0.0 => None,
            stated => Some((stated >= 1.0).then_some(stated as usize)),
        })
    }

    /// Returns a figure that the deployment states. It may be 0 and may have decimals, which are cut off; the default applies if
    /// it is empty, as a template leaves it where nothing is stated.
    pub fn figure(&mut self, flag: &str) -> Option<u32> {
        self.number(flag, |stated| Some(Some(stated as u32)))
    }

    /// Returns the value of a setting, or its default if it is empty, as a template leaves it where nothing is stated.
    pub fn value_or_default<T: FromStr>(&mut self, flag: &str) -> Option<T> {
        let setting = self.settings.iter().find(|setting| setting.flag == flag)?;
        match self.text(setting).is_some_and(|text| text.trim().is_empty()) {
            true => setting.default?.parse().ok(),
            false => self.value(flag),
        }
    }

    /// Returns a setting that is a number, or records an error if it is none, is negative or is rejected. `read` returns
    /// `None` for a number that stands for the default, and `Some(None)` for one that is rejected.
    fn number<T: FromStr>(
        &mut self,
        flag: &str,
        read: impl FnOnce(f64) -> Option<Option<T>>,
    ) -> Option<T> {
        let setting = self.settings.iter().find(|setting| setting.flag == flag)?;
        let text = self.text(setting).unwrap_or_default();
        let text = text.trim();
        let stated = match text {
            "" => None,
            text => match text.parse::<f64>() {
                Ok(stated) if stated >= 0.0 && stated.is_finite() => read(stated),
                _ => Some(None),
            },
        };
        let value = match stated {
            Some(value) => value,
            None => setting.default.and_then(|default| default.parse().ok()),
        };
        if value.is_none() {
            let (variable, hint) = (variable_name(flag), setting.hint);
            self.errors.push(format!(
                "orioleroute-node: --{flag} or {variable} is {text:?}, expected {hint}"
            ));
        }
        value
    }

    /// Returns the value of a setting that is given in milliseconds.
    pub fn millis(&mut self, flag: &str) -> Option<Duration> {
        self.value(flag).map(Duration::from_millis)
    }

    /// Returns all settings, one per line, with tokens redacted.
    pub fn render(&self) -> String {
        let lines = self.settings.iter().map(|setting| {
            let is_secret = setting.flag.ends_with("-token");
            let text = self.text(setting).unwrap_or_default();
            let shown = if is_secret { "(secret)" } else { &text };
            format!("{} = {shown}", setting.flag)
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Returns whether a text is empty or zero, which no setting allows: a limit of 0 would reject every
/// request, and an empty token would authorize everybody.
fn is_empty_or_zero(text: &str) -> bool {
    text.is_empty() || text.bytes().all(|byte| byte == b'0')
}

fn variable_name(flag: &str) -> String {
    format!("ORIOLEROUTE_{}", flag.to_uppercase().replace('-', "_"))
}
