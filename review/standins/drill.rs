//! The store comes back from a copy in which an earlier holder of a zone is named.

mod engine;
mod kit;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use engine::{breaches, Engine, MODEL, SERVICE};
use kit::{wait_until, Deployment, Instance, Mode, Random, Record, Store, Wire};

const ZONES: [(&str, &str); 3] = [("levis-a", "quebec-est"), ("laval-a", "montreal"), ("jonquiere-a", "saguenay")];
const MACHINES: [(&str, usize); 3] = [("levis-a", 4), ("laval-a", 2), ("jonquiere-a", 2)];
const ENGINES_PER_ZONE: usize = 2;
const HOST: &str = "tournee.example";
/// `leaseMs` of the deployment.
const LEASE: Duration = Duration::from_millis(3_000);
/// How long the killed machine is down.
const DOWN: Duration = Duration::from_millis(3_500);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1_000);
const CLIENTS_PER_MACHINE: usize = 4;
const ADAPTERS: u64 = 200;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"feuille\",\"host\":\"{HOST}\",\"pathPrefix\":\"/feuille/\",\
         \"routeType\":\"stream\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"attempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":250}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":360,\"engine\":{{\"slots\":64,\
         \"kvCapacity\":243672,\"weightsMb\":66000,\"adapterSlots\":{},\"loadsPerS\":2.8,\"models\":[{{\
         \"name\":\"{MODEL}\",\"weightsMb\":65100,\"loadS\":1.9,\"adapters\":3000,\"adapterMb\":12}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":1000,\"idleTimeoutMs\":15000}}}}",
        engine::ADAPTER_SLOTS
    )
}

/// Sends requests for adapters one after another until the end of the case.
fn drive(record: Record, callers: SocketAddr, seed: u64, ends: Arc<AtomicBool>, statuses: Arc<[AtomicU64; 6]>) {
    let mut random = Random(seed * 7_919 + 13);
    let mut number = 0_u64;
    let mut connection: Option<Wire> = None;
    while !ends.load(Ordering::Relaxed) {
        number += 1;
        let adapter = 1 + random.next() % ADAPTERS;
        let id = format!("{seed:04x}{number:08x}");
        let request = format!(
            "GET /feuille/1 HTTP/1.1\r\nHost: {HOST}\r\nOrioleroute-Attempt-Id: {id}\r\nOrioleroute-Model: {MODEL}/a{adapter}\r\n\
             Orioleroute-Token-Count: 600,20\r\nOrioleroute-Prompt-Prefix: {:x}:600\r\nOrioleroute-Deadline-Ms: 5000\r\n\r\n",
            random.next()
        );
        let mut wire = match connection.take() {
            Some(wire) => wire,
            None => match TcpStream::connect_timeout(&callers, Duration::from_secs(1)) {
                Ok(stream) => {
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                    Wire::new(stream)
                }
                Err(_) => {
                    std::thread::sleep(Duration::from_millis(200));
                    continue;
                }
            },
        };
        wire.send(request.as_bytes());
        let answer = wire.message(false);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.add(format!("client: {id} a{adapter} sent to {callers}, answered {status}"));
        statuses[usize::from(status / 100).min(5)].fetch_add(1, Ordering::Relaxed);
        if answer.is_some_and(|answer| answer.field("connection").is_none()) {
            connection = Some(wire);
        }
        std::thread::sleep(Duration::from_millis(40 + random.next() % 60));
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, folder, output) = (Path::new(&arguments[1]), Path::new(&arguments[2]), Path::new(&arguments[3]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let store = Store::start(&record);
    store.put("op", "config", Some(&configuration()));
    let mut engines = Vec::new();
    for (zone, _) in ZONES {
        for number in 1..=ENGINES_PER_ZONE {
            engines.push(Engine::start(&format!("i-{zone}-{number}"), zone, &store, &record));
        }
    }
    let deployment = Deployment {
        root,
        folder,
        store: store.address,
        zones: &ZONES,
        engines_check_fencing: false,
        retry_allowance: 54,
    };
    let mut instances = Vec::new();
    for (zone, count) in MACHINES {
        for number in 1..=count {
            instances.push(Instance::start(&deployment, &record, &format!("front-{zone}-{number}"), zone));
        }
    }
    let give_up = |what: &str| -> ! {
        record.add(format!("could not run: {what}"));
        record.write(output);
        println!("could not run: {what}");
        exit(2)
    };
    if !wait_until(Duration::from_secs(15), || instances.iter().all(Instance::is_ready)) {
        drop(instances);
        give_up("the instances did not become ready");
    }
    let ends = Arc::new(AtomicBool::new(false));
    let statuses: Arc<[AtomicU64; 6]> = Arc::default();
    for (number, instance) in instances.iter().enumerate() {
        for client in 0..CLIENTS_PER_MACHINE {
            let (record, callers, ends, statuses) = (record.clone(), instance.callers, ends.clone(), statuses.clone());
            let seed = (number * CLIENTS_PER_MACHINE + client + 1) as u64;
            std::thread::spawn(move || drive(record, callers, seed, ends, statuses));
        }
    }
    let holder = |zone: &str| store.get("cluster", &format!("scheduler/{zone}")).map(|row| row.get("holder").text().to_owned());
    let zone = ZONES[0].0;
    std::thread::sleep(Duration::from_secs(10));
    let Some(first) = holder(zone) else {
        drop(instances);
        give_up("the zone has no holder")
    };
    if has_trouble {
        let position = instances.iter().position(|instance| instance.name == first).unwrap();
        // The copy from which the store will come back.
        let come_back = store.copy();
        std::thread::sleep(Duration::from_millis(300));
        instances[position].kill();
        std::thread::sleep(DOWN);
        instances[position].launch(root);
        if !wait_until(Duration::from_secs(3), || instances[position].is_ready()) {
            drop(instances);
            give_up("the killed instance did not become ready again");
        }
        match holder(zone) {
            Some(second) if second != first => record.add(format!("the zone {zone} has passed from {first} to {second}")),
            _ => {
                drop(instances);
                give_up("nobody has taken the zone over")
            }
        }
        std::thread::sleep(Duration::from_millis(1_000));
        store.set_mode(Mode::Closes);
        std::thread::sleep(AWAY);
        come_back(&store);
    } else {
        std::thread::sleep(Duration::from_secs(6));
    }
    std::thread::sleep(Duration::from_secs(8));
    ends.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(300));
    let has_ended = instances.iter_mut().any(Instance::has_ended);
    drop(instances);
    let mut found = Vec::new();
    let mut holders: HashMap<String, u64> = HashMap::new();
    for engine in &engines {
        let orders = engine.orders();
        orders.iter().for_each(|order| *holders.entry(order.holder.clone()).or_default() += 1);
        found.extend(breaches(&orders, LEASE).into_iter().map(|line| format!("{}: {line}", engine.id)));
    }
    let counts: Vec<u64> = statuses.iter().map(|count| count.load(Ordering::Relaxed)).collect();
    let summary = format!("answers by class {counts:?}, orders by holder {holders:?}");
    record.add(&summary);
    found.iter().for_each(|line| record.add(format!("ONE broken: {line}")));
    record.write(output);
    println!("{summary}");
    found.iter().take(6).for_each(|line| println!("ONE broken: {line}"));
    if has_ended || counts[2] < 100 {
        println!("could not run: too few answers, or an instance has ended");
        exit(2);
    }
    println!("{} breaches of ONE", found.len());
    exit(if found.is_empty() { 0 } else { 1 });
}
