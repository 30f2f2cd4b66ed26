//! A small deployment on loopback addresses: instances of the project, started by the command of the deploy file, a store and
//! runners. All processes are ended when it is dropped.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::base::{Connection, free_address, signal, unix_ms};
use crate::runner::Options;
use crate::store::Store;

/// The zones, which are regions as well, with the number of instances of each.
pub const ZONES: [(&str, &str, usize); 3] =
    [("brabant-a", "brabant", 3), ("flanders-west-a", "flanders-west", 4), ("wallonia-south-a", "wallonia-south", 2)];

pub const HOST: &str = "ficu95.example";

pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub child: Child,
    settings: PathBuf,
    pub log: PathBuf,
}

pub struct Process {
    pub options: Options,
    pub child: Option<Child>,
}

pub struct Deployment {
    pub folder: PathBuf,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub runners: Vec<Process>,
    record: File,
    pub begun: Instant,
    pub begun_ms: u64,
    starts: u32,
}

impl Deployment {
    /// Returns a deployment without instances and runners that writes to `record.txt` in this folder.
    pub fn new(record: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            folder,
            store: Store::start(),
            nodes: Vec::new(),
            runners: Vec::new(),
            record: File::create(record).unwrap(),
            begun: Instant::now(),
            begun_ms: unix_ms(),
            starts: 0,
        }
    }

    pub fn note(&mut self, line: &str) {
        let _ = writeln!(self.record, "{:9.3} {line}", self.begun.elapsed().as_secs_f64());
    }

    pub fn write_line(&mut self, line: &str) {
        let _ = writeln!(self.record, "{line}");
    }

    /// Starts an instance in a zone, with settings as the template of the deploy file gives them.
    pub fn start_node(&mut self, zone: &str, region: &str, number: usize) {
        let name = format!("front-{zone}-{number}");
        let [front, ready, directory, peer, metrics] = [(); 5].map(|()| free_address());
        let zones: Vec<String> = ZONES.iter().map(|(zone, region, _)| format!("{zone}={region}")).collect();
        let text = format!(
            "name = {name}\nregion = {region}\nzone = {zone}\nzones = {}\ncaller-address = {front}\n\
             ready-address = {ready}\ndirectory-address = {directory}\npeer-address = {peer}\n\
             metrics-address = {metrics}\nstore-address = {}\nprocessor-share = 0.25\nmemory-mb = 260\n\
             descriptors = 4100\nengines-check-fencing = true\nretry-allowance = 58\n",
            zones.join(","), self.store.address
        );
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).unwrap();
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn_node(&settings, &log);
        self.nodes.push(Node { name, zone: zone.into(), front, ready, directory, child, settings, log });
    }

    /// Starts an instance again that has ended, with the same settings.
    pub fn restart_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let _ = node.child.wait();
        node.child = spawn_node(&node.settings, &node.log);
    }

    /// Starts a runner.
    pub fn start_runner(&mut self, options: Options) -> usize {
        let child = Some(spawn_runner(&options));
        self.runners.push(Process { options, child });
        self.runners.len() - 1
    }

    /// Ends a runner, as a crash does.
    pub fn crash_runner(&mut self, index: usize) {
        if let Some(mut child) = self.runners[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a crashed runner again at its address: a new incarnation with a new id, and empty.
    pub fn restart_runner(&mut self, index: usize) {
        self.starts += 1;
        let starts = self.starts;
        let process = &mut self.runners[index];
        let first = process.options.id.split('.').next().unwrap_or_default().to_owned();
        process.options.id = format!("{first}.{starts}");
        process.options.has_model = false;
        process.child = Some(spawn_runner(&process.options));
    }

    /// Waits until all instances are ready.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes.iter().all(|node| is_ready(node.ready)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the lines of an instance's log that contain one of these texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for node in &self.nodes {
            let log = std::fs::read_to_string(&node.log).unwrap_or_default();
            let wanted = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
            lines.extend(wanted.map(|line| format!("{} {line}", node.name)));
        }
        lines
    }

    /// Returns what the runners have recorded, in order of time, by runner.
    pub fn runner_records(&self) -> BTreeMap<String, Vec<(u64, String)>> {
        let mut records: BTreeMap<String, Vec<(u64, String)>> = BTreeMap::new();
        let mut files: Vec<&String> = self.runners.iter().map(|runner| &runner.options.record).collect();
        files.sort();
        files.dedup();
        for file in files {
            for line in std::fs::read_to_string(file).unwrap_or_default().lines() {
                let mut words = line.splitn(3, ' ');
                let (Some(at), Some(id), Some(rest)) = (words.next(), words.next(), words.next()) else { continue };
                let Ok(at) = at.parse() else { continue };
                records.entry(id.into()).or_default().push((at, rest.into()));
            }
        }
        records
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            signal(node.child.id(), crate::base::SIGCONT);
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        for index in 0..self.runners.len() {
            self.crash_runner(index);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn spawn_node(settings: &PathBuf, log: &PathBuf) -> Child {
    let output = File::options().create(true).append(true).open(log).unwrap();
    // The program and its arguments as the deploy file has them; the platform names the settings file.
    Command::new("target/release/orioleroute-node")
        .args(["--backend", "platform"])
        .env("ORIOLEROUTE_CONFIG", settings)
        .env("ORIOLEROUTE_LOG_LEVEL", "info")
        .stdin(Stdio::null())
        .stderr(output.try_clone().unwrap())
        .stdout(output)
        .spawn()
        .expect("target/release/orioleroute-node has to be built first")
}

fn spawn_runner(options: &Options) -> Child {
    let program = std::env::current_exe().unwrap();
    Command::new(program).args(options.arguments()).stdin(Stdio::null()).spawn().unwrap()
}

pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut connection) = Connection::open(address, Duration::from_secs(1)) else { return false };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
    connection.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n").is_ok()
        && connection.read().ok().flatten().is_some_and(|answer| answer.status == 200)
}

/// Returns a configuration like that of the small deployment.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, target: u32, attempts: u32, priority: u32, resumable: bool| {
        let more = if kind == "stream" {
            format!(",\"sticky\":true,\"resumable\":{resumable},\"gapTargetMs\":300")
        } else {
            String::new()
        };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"routeType\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":{priority},\"service\":\"{service}\",\
             \"attempts\":{attempts}{more}}}"
        )
    };
    let routes = [
        route("leap-notice-fr", "stream", "notice-models", 4_000, 800, 2, 1, true),
        route("leap-notice-nl", "stream", "notice-models", 12_000, 1_000, 1, 1, false),
        route("txlog-summary", "stream", "notice-models", 15_000, 1_000, 2, 0, true),
        route("tx-adjust-order", "non_idempotent", "franchise-desk", 800, 150, 1, 2, false),
        route("schedule-read", "idempotent", "franchise-desk", 800, 150, 2, 2, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"notice-models\",\"healthPath\":\"/health\",\"maxConns\":370,\"engine\":{{\"slots\":64,\
         \"kvCapacity\":149868,\"weightsMb\":66500,\"adapterSlots\":6,\"loadsPerS\":5.2,\"models\":[{{\"name\":\"m0\",\
         \"weightsMb\":65100,\"loadS\":2.9,\"adapters\":3000,\"adapterMb\":12}}]}}}},\
         {{\"name\":\"franchise-desk\",\"healthPath\":\"/health\",\"maxConns\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
