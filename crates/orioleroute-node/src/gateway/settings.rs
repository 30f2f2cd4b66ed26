//! Settings from flags, environment variables and a file, validated at the start and at each reload.

use std::net::SocketAddr;
use std::time::Duration;

use crate::room::Machine;
use crate::settings::{DEFAULT_MEMORY_MIB, Setting, Source, setting};

pub use crate::settings::LogFormat;

/// The result of reading the settings.
pub enum Outcome {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print a text and exit.
    Print(String),
    /// Exit with an error message.
    Fail(String),
}

/// The settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
    /// All availability zones and their regions.
    pub zones: Vec<(String, String)>,
    /// The address on which clients connect.
    pub caller_address: SocketAddr,
    /// The address on which the platform queries the readiness of this instance.
    pub ready_address: SocketAddr,
    /// The address on which clients resolve the addresses of instances.
    pub directory_address: SocketAddr,
    /// The address on which other instances connect (TCP) and to which they send heartbeats (UDP).
    pub peer_address: SocketAddr,
    /// The address on which metrics are served.
    pub metrics_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The grace period: the longest time from a termination signal to the exit of the process.
    pub grace: Duration,
    /// How long clients may cache the result of an address resolution.
    pub resolution_life: Duration,
    /// The share of a processor core available to this instance, its weight in the election of
    /// schedulers.
    pub processor_share: f64,
    /// Whether engines refuse orders whose fencing token is lower than one that they have seen.
    pub engines_check_fencing: bool,
    /// The retries that all instances together may make in ten seconds beyond their share of the
    /// requests.
    pub retry_allowance: u32,
    /// The maximum number of open connections of clients.
    pub connections: usize,
    /// The maximum memory for request bodies, in bytes.
    pub body_memory: usize,
    /// The memory of the machine for this process, in MiB.
    pub memory_mib: usize,
    /// The descriptors of the machine for this process.
    pub descriptors: usize,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: slog::Level,
    /// The maximum number of log lines per second; further ones are dropped and counted.
    pub log_lines: u32,
}

const SETTINGS: &[Setting] = &[
    setting("backend", "platform", "where configurations come from", Some("documents")),
    setting("config", "FILE", "settings file, one NAME = VALUE per line", None),
    setting("name", "NAME", "unique name of this instance", None),
    setting("region", "NAME", "region of this instance", None),
    setting("zone", "NAME", "availability zone of this instance", None),
    setting("zones", "ZONE=REGION,...", "all availability zones", None),
    setting("caller-address", "IP:PORT", "where clients connect", None),
    setting("ready-address", "IP:PORT", "where the readiness probe connects", None),
    setting("directory-address", "IP:PORT", "where clients resolve addresses of instances", None),
    setting("peer-address", "IP:PORT", "where other instances connect", None),
    setting("metrics-address", "IP:PORT", "where metrics are served", None),
    setting("store-address", "IP:PORT", "the platform's store", None),
    setting(
        "grace-ms",
        "MILLISECONDS",
        "longest time from a termination signal to the exit",
        Some("8000"),
    ),
    setting(
        "resolution-life-ms",
        "MILLISECONDS",
        "how long clients may cache addresses",
        Some("2000"),
    ),
    setting("processor-share", "SHARE", "share of a processor core", Some("1")),
    setting(
        "engines-check-fencing",
        "true|false",
        "whether engines refuse orders with an outdated fencing token",
        Some("true"),
    ),
    setting(
        "retry-allowance",
        "COUNT",
        "retries of all instances in 10 s beyond their share of the requests",
        Some("50"),
    ),
    setting("connections", "COUNT", "maximum number of open connections of clients", Some("2000")),
    setting("body-memory", "BYTES", "maximum memory for request bodies", Some("67108864")),
    setting("memory-mb", "MIB", "memory of the machine for this process", Some(DEFAULT_MEMORY_MIB)),
    setting("descriptors", "COUNT", "descriptors of the machine for this process", Some("4096")),
    setting("log-format", "json|text", "format of log lines", Some("json")),
    setting("log-level", "LEVEL", "least severe level that is logged", Some("info")),
    setting("log-lines", "COUNT", "maximum number of log lines per second", Some("400")),
];

impl Settings {
    /// Returns what the settings say of the machine.
    pub fn machine(&self) -> Machine {
        let Self { memory_mib, descriptors, connections, .. } = *self;
        Machine { memory_mib, descriptors, connections }
    }

    /// Reads the settings of this process.
    pub fn from_environment() -> Outcome {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let mut source = match Source::read(SETTINGS, &arguments) {
            Ok(source) => source,
            Err(crate::settings::Outcome::Print(text)) => return Outcome::Print(text),
            Err(crate::settings::Outcome::Fail(text)) => return Outcome::Fail(text),
            Err(crate::settings::Outcome::Run(_)) => return Outcome::Fail("no settings".into()),
        };
        let settings = Self::from_source(&mut source);
        match settings {
            _ if !source.errors.is_empty() => Outcome::Fail(source.errors.join("\n")),
            _ if source.print_requested() => Outcome::Print(source.render()),
            Some(settings) => Outcome::Run(Box::new(settings)),
            None => Outcome::Fail("orioleroute-node: the settings are incomplete".into()),
        }
    }

    fn from_source(source: &mut Source) -> Option<Self> {
        let name = source.value("name");
        let region = source.value("region");
        let zone = source.value("zone");
        let zones = source.value::<Zones>("zones");
        let caller_address = source.value("caller-address");
        let ready_address = source.value("ready-address");
        let directory_address = source.value("directory-address");
        let peer_address = source.value("peer-address");
        let metrics_address = source.value("metrics-address");
        let store_address = source.value("store-address");
        let grace = source.millis("grace-ms");
        let resolution_life = source.millis("resolution-life-ms");
        let processor_share = source.value("processor-share");
        let engines_check_fencing = source.value_or_default("engines-check-fencing");
        let retry_allowance = source.figure("retry-allowance");
        let connections = source.value("connections");
        let body_memory = source.value("body-memory");
        let memory_mib = source.machine_limit("memory-mb");
        let descriptors = source.machine_limit("descriptors");
        let log_format = source.value("log-format");
        let log_level = source.value("log-level");
        let log_lines = source.value("log-lines");
        Some(Self {
            name: name?,
            region: region?,
            zone: zone?,
            zones: zones?.0,
            caller_address: caller_address?,
            ready_address: ready_address?,
            directory_address: directory_address?,
            peer_address: peer_address?,
            metrics_address: metrics_address?,
            store_address: store_address?,
            grace: grace?,
            resolution_life: resolution_life?,
            processor_share: processor_share?,
            engines_check_fencing: engines_check_fencing?,
            retry_allowance: retry_allowance?,
            connections: connections?,
            body_memory: body_memory?,
            memory_mib: memory_mib?,
            descriptors: descriptors?,
            log_format: log_format?,
            log_level: log_level?,
            log_lines: log_lines?,
        })
    }
}

/// Availability zones with their regions, as `ZONE=REGION,...`.
struct Zones(Vec<(String, String)>);

impl std::str::FromStr for Zones {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let pairs = text.split(',').map(|pair| pair.split_once('=').ok_or(()));
        let zones: Result<Vec<_>, ()> = pairs
            .map(|pair| pair.map(|(zone, region)| (zone.trim().into(), region.trim().into())))
            .collect();
        zones.map(Self)
    }
}
