//! Case 7: runners crash, and some seconds later the instances are stopped and started in turn. Streams that go by way of
//! another instance are cut when that one ends.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::base::{Random, SIGTERM, signal, sleep_until, unix_ms};
use crate::client::{Client, generation};
use crate::deployment::{Deployment, ZONES, configuration};
use crate::runner::Options;

/// How many runners crash at once: share 0.25 of 18.
const CRASHING: usize = 5;

/// How long they are down.
const DOWN: Duration = Duration::from_secs(2);

/// The time from the return of the runners to the first stop. Only streams that begin `STABLE_MS` after that return are judged.
const PAUSE: Duration = Duration::from_millis(1_000);

/// `stableMs`
const STABLE_MS: u64 = 4_000;

/// The time between two stops.
const GAP: Duration = Duration::from_millis(1_300);

const GRACE_MS: u64 = 8_000;

/// How long clients use an answer of the directory, which names the instance until it stops (`ttlS` of the answers).
const TTL_MS: u64 = 2_000;

/// The time from the start of a stop to the end of the process, at which it is killed.
const KILL_AFTER: Duration = Duration::from_secs(8);

/// A stream that a client asked for.
struct Sent {
    at: u64,
    node: usize,
    attempt: String,
    ended: u64,
    status: u16,
    bytes: usize,
}

pub fn run(record: &str, has_trouble: bool) -> i32 {
    let mut deployment = Deployment::new(record);
    let mut engines = Vec::new();
    for (zone, _, _) in ZONES {
        for number in 0..6 {
            let options = Options {
                id: format!("i-{zone}-{number}"),
                address: crate::base::free_address(),
                store: deployment.store.address,
                zone: zone.into(),
                service: "notice-models".into(),
                record: deployment.folder.join(format!("i-{zone}-{number}.txt")).display().to_string(),
                has_model: true,
                load_ms: 1_200,
                slots: 64,
                adapter_slots: 6,
                work_ms: 0,
                event_ms: 200,
            };
            engines.push(deployment.start_runner(options));
        }
    }
    deployment.store.put("op", "config", &configuration(10));
    for (zone, region, count) in ZONES {
        (1..=count).for_each(|number| deployment.start_node(zone, region, number));
    }
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        deployment.note("the instances are not ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = start_clients(&deployment, &is_over, &sent);
    let begun = Instant::now();
    let mut random = Random::new(7);
    // Which instance got SIGTERM when, and when runners crashed and were back.
    let mut stops: Vec<(usize, u64)> = Vec::new();
    let mut calm: Vec<(u64, u64)> = Vec::new();
    let mut at = begun + Duration::from_secs(3);
    for round in 0..5 {
        sleep_until(at);
        let zone = [1, 0, 1, 0, 1][round];
        let mut hit: Vec<usize> = engines[zone * 6..zone * 6 + 6].to_vec();
        hit.remove(random.below(6) as usize);
        hit.truncate(CRASHING);
        if let Some(last) = calm.last_mut() {
            last.1 = unix_ms();
        }
        if has_trouble {
            let ids: Vec<String> = hit.iter().map(|index| deployment.runners[*index].options.id.clone()).collect();
            hit.iter().for_each(|index| deployment.crash_runner(*index));
            deployment.note(&format!("crashed for 2 s: {}", ids.join(" ")));
        }
        std::thread::sleep(DOWN);
        if has_trouble {
            hit.iter().for_each(|index| deployment.restart_runner(*index));
        }
        calm.push((unix_ms(), u64::MAX));
        std::thread::sleep(PAUSE);
        // The instances of the zone, in turn.
        let nodes: Vec<usize> = (0..deployment.nodes.len()).filter(|index| deployment.nodes[*index].zone == ZONES[zone].0).collect();
        let rolled = Instant::now();
        for (number, index) in nodes.iter().enumerate() {
            sleep_until(rolled + GAP * number as u32);
            let (name, process) = (deployment.nodes[*index].name.clone(), deployment.nodes[*index].child.id());
            deployment.note(&format!("SIGTERM to {name}"));
            stops.push((*index, unix_ms()));
            signal(process, SIGTERM);
        }
        let mut waiting = nodes.clone();
        let until = rolled + GAP * nodes.len() as u32 + KILL_AFTER;
        while !waiting.is_empty() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
            let mut ended = Vec::new();
            for index in &waiting {
                if deployment.nodes[*index].child.try_wait().ok().flatten().is_some() {
                    ended.push(*index);
                }
            }
            for index in ended {
                let name = deployment.nodes[index].name.clone();
                deployment.note(&format!("{name} has ended and is started again"));
                waiting.retain(|other| *other != index);
                deployment.restart_node(index);
            }
        }
        at = Instant::now() + Duration::from_secs(3);
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    judge(&mut deployment, &sent.lock().unwrap(), &stops, &calm)
}

fn start_clients(
    deployment: &Deployment,
    is_over: &Arc<AtomicBool>,
    sent: &Arc<Mutex<Vec<Sent>>>,
) -> Vec<std::thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for (number, node) in deployment.nodes.iter().enumerate() {
        for copy in 0..28_u64 {
            let (address, is_over, sent) = (node.front, is_over.clone(), sent.clone());
            let seed = number as u64 * 100 + copy + 1;
            clients.push(std::thread::spawn(move || {
                let mut random = Random::new(seed);
                let mut client = Client::new(address);
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let adapter = (24.0 * random.part().powi(2)) as u64;
                    let attempt = format!("{seed:04x}{count:08x}");
                    let fields = generation(adapter, seed * 100_000 + count);
                    let at = unix_ms();
                    let got = client.call("POST", "/leap-notice-nl/2f", &attempt, &fields, "x", Duration::from_secs(12));
                    let ended = unix_ms();
                    let bytes = match &got {
                        crate::client::Got::Answer(answer) => answer.body.len(),
                        _ => 0,
                    };
                    let entry = Sent { at, node: number, attempt, ended, status: got.status(), bytes };
                    if !matches!(got, crate::client::Got::Unreachable) {
                        sent.lock().unwrap().push(entry);
                    }
                    let pause = if got.status() == 200 { 20 } else { 150 };
                    std::thread::sleep(Duration::from_millis(pause + random.below(80)));
                }
            }));
        }
    }
    clients
}

/// Looks for streams that a stopping instance had read and a runner had begun, and that ended without a whole answer although
/// the runner went on.
fn judge(deployment: &mut Deployment, sent: &[Sent], stops: &[(usize, u64)], calm: &[(u64, u64)]) -> i32 {
    let mut runs: HashMap<String, (String, u64)> = HashMap::new();
    for (runner, lines) in deployment.runner_records() {
        for (at, line) in lines {
            if let Some(rest) = line.strip_prefix("run attempt=") {
                let attempt = rest.split(' ').next().unwrap_or_default().to_owned();
                runs.insert(attempt, (runner.clone(), at));
            }
        }
    }
    let begun = deployment.begun_ms;
    let seconds = |at: u64| (at - begun) as f64 / 1_000.0;
    let mut breaches = Vec::new();
    let (mut during_stops, mut served) = (0, 0);
    for entry in sent {
        served += u32::from(entry.status == 200);
        let stop = stops.iter().filter(|(node, at)| *node == entry.node && entry.at >= *at && entry.at <= at + GRACE_MS + 1_000);
        let Some((_, stopped)) = stop.max_by_key(|(_, at)| *at) else { continue };
        // A client that keeps its addresses no longer than the answer says sends nothing later than this.
        if entry.at > stopped + TTL_MS {
            continue;
        }
        let is_calm = calm.iter().any(|(from, to)| entry.at >= from + STABLE_MS && entry.ended < *to);
        let Some((runner, run_at)) = runs.get(&entry.attempt).filter(|_| is_calm) else { continue };
        during_stops += 1;
        // In the last sixth of the grace time a runner may be at work too long.
        let is_late = entry.ended >= stopped + GRACE_MS * 5 / 6;
        if entry.status == 0 && !is_late {
            breaches.push(format!(
                "{:9.3} LOST: {} got SIGTERM at {:.3} and the request {} at {:.3}, which {runner} began to run at {:.3}; its \
                 connection ended at {:.3} with {} bytes of the events and without the end of the answer",
                seconds(entry.ended), deployment.nodes[entry.node].name, seconds(*stopped), entry.attempt,
                seconds(entry.at), seconds(*run_at), seconds(entry.ended), entry.bytes
            ));
        }
    }
    for line in deployment.log_lines(&["path to upstreams", "\"msg\":\"stopping", "\"msg\":\"stopped", "\"msg\":\"upstream lost", "answer lost"]) {
        deployment.write_line(&line);
    }
    for entry in sent.iter().filter(|entry| entry.status != 200) {
        let line = format!("{:9.3} {} to {}: status {} at {:.3}", seconds(entry.at), entry.attempt,
            deployment.nodes[entry.node].name, entry.status, seconds(entry.ended));
        deployment.write_line(&line);
    }
    breaches.iter().for_each(|breach| deployment.write_line(breach));
    deployment.write_line(&format!("streams: {} whole, {} others; run while their instance was stopping: {during_stops}; breaches: {}",
        served, sent.len() - served as usize, breaches.len()));
    match (during_stops, breaches.is_empty()) {
        (0, _) => 2,
        (_, true) => 0,
        (_, false) => 1,
    }
}
