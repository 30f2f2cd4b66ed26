//! The cases. Each starts a small deployment, disturbs it, and checks one rule by what clients and runners have seen.

use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, request};
use crate::engine::{Capacity, Engine};
use crate::http::Connection;
use crate::node::Node;
use crate::record::Record;
use crate::runner::Runner;
use crate::settings::{configuration, models, plain, route};
use crate::store::Store;

/// How long the machines are left alone before the disruption: `stableMs`, and a second.
const CALM: Duration = Duration::from_secs(5);

const CONFIG: Duration = Duration::from_millis(2_500);
const ORDER_DEADLINE: Duration = Duration::from_millis(1_500);

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn start_nodes(count: usize, store: &Store) -> Result<Vec<Node>, String> {
    (1..=count).map(|number| Node::start(&format!("n{number}"), store.address)).collect()
}

/// Sends orders from one client for each instance until the flag is set, and returns what became of them.
fn send_orders(
    nodes: &[Node],
    record: &Arc<Record>,
    is_over: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<Vec<(String, Result<u16, String>)>>> {
    let clients = nodes.iter().enumerate().map(|(number, node)| {
        let (record, is_over, address) = (record.clone(), is_over.clone(), node.callers);
        std::thread::spawn(move || {
            let mut client = Client::new(address);
            let mut ends = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let attempt = format!("order-{number}-{}", ends.len());
                let body = b"{\"transmitter\":1}";
                let sent = request("POST", "/order/1", &attempt, ms(ORDER_DEADLINE), "", body);
                record.add(format!("client {number} sends {attempt}"));
                let end = client.call(&sent, ORDER_DEADLINE * 2).map(|answer| answer.status);
                record.add(format!("client {number} gets {end:?} for {attempt}"));
                ends.push((attempt, end));
                std::thread::sleep(Duration::from_millis(40));
            }
            ends
        })
    });
    clients.collect()
}

/// The configuration grows by many routes, each with a rank of its own, and moves one of the old ones to another service.
pub fn ranked_routes(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    const NEW_ROUTES: u64 = 290;
    let store = Store::start();
    let services = || vec![plain("desk"), plain("desk-2")];
    let routes = |service: &str| vec![route("order", "non_idempotent", service, 1, ms(ORDER_DEADLINE))];
    store.put("op", "", "config", &configuration(1, routes("desk"), services()));
    let work = Duration::from_millis(30);
    let old = Runner::start("i-1", "desk", work, 0, &store, record);
    let new = Runner::start("i-2", "desk-2", work, 0, &store, record);
    let nodes = start_nodes(2, &store)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = send_orders(&nodes, record, &is_over);
    std::thread::sleep(CALM);
    let mut grown = routes("desk-2");
    for rank in 2..2 + if has_trouble { NEW_ROUTES } else { 0 } {
        let mut added = route(&format!("r{rank}"), "idempotent", "desk", 2, ms(ORDER_DEADLINE));
        added.set("priority", rank);
        grown.push(added);
    }
    let count = grown.len();
    let configuration = configuration(2, grown, services());
    let length = configuration.write().len();
    store.put("op", "", "config", &configuration);
    let acknowledged = Instant::now();
    record.say(format!(
        "the store has acknowledged version 2 with {count} routes, {length} bytes; it moves the orders to desk-2"
    ));
    std::thread::sleep(CONFIG + Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    let ends: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    // An order is run at most its deadline after it was sent.
    let bound = CONFIG + ORDER_DEADLINE;
    let stale = old.runs().iter().filter(|run| run.at > acknowledged + bound).count();
    record.say(format!(
        "{} orders; {} ran at desk, {stale} of them later than {} ms after the acknowledgement; {} ran at desk-2",
        ends.len(),
        old.runs().len(),
        ms(bound),
        new.runs().len()
    ));
    if old.runs().is_empty() {
        return Err("no order ran before the change".into());
    }
    Ok(match stale {
        0 => Verdict::Held("the orders ran at the new service after configMs".into()),
        _ => Verdict::Broken(format!(
            "CONFIG: {stale} orders that were sent later than configMs after the acknowledgement were run by the old service"
        )),
    })
}

/// More rare adapters are asked for at once than the runners have memory for.
pub fn adapter_weights(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let capacity =
        Capacity { weights_mb: 66_500.0, model_mb: 65_100.0, adapter_mb: 300.0, adapter_slots: 6 };
    let store = Store::start();
    let routes = vec![route("draft", "stream", "models", 2, 4_000)];
    let service = models(capacity.weights_mb, capacity.model_mb, capacity.adapter_mb);
    store.put("op", "", "config", &configuration(1, routes, vec![service]));
    let engines = [1, 2].map(|number| Engine::start(&format!("e{number}"), capacity, &store, record));
    let nodes = start_nodes(2, &store)?;
    let deadline = Duration::from_secs(4);
    let draft = |client: &mut Client, attempt: &str, adapter: u64| {
        let own = attempt.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte)) >> 8;
        let fields = format!(
            "Orioleroute-Model: m/a{adapter}\r\nOrioleroute-Token-Count: 1000,24\r\n\
             Orioleroute-Prompt-Prefix: 5c1e07a2:568,{own:x}:432\r\n"
        );
        record.add(format!("a client sends {attempt} for a{adapter}"));
        let sent = request("POST", "/draft/1", attempt, ms(deadline), &fields, b"{}");
        let end = client.call(&sent, deadline + Duration::from_secs(1));
        let end = end.map(|answer| (answer.status, answer.retry_after, answer.body.len()));
        record.add(format!("it gets {end:?} for {attempt}"));
        end
    };
    // The usual adapters, until they are served.
    let mut client = Client::new(nodes[0].callers);
    let started = Instant::now();
    for number in 0.. {
        let served = draft(&mut client, &format!("first-{number}"), 1 + number % 3);
        if number >= 9 && matches!(served, Ok((200, ..))) {
            break;
        }
        if started.elapsed() > Duration::from_secs(20) {
            return Err("no draft was served".into());
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    std::thread::sleep(CALM);
    if engines.iter().any(|engine| !engine.crashes().is_empty()) {
        return Err("a runner has crashed before the burst".into());
    }
    record.say(format!("{} adapters are asked for at once", if has_trouble { 12 } else { 3 }));
    let ends = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for number in 0..12_u64 {
            let (ends, draft, nodes) = (&ends, &draft, &nodes);
            scope.spawn(move || {
                let mut client = Client::new(nodes[number as usize % 2].callers);
                for round in 0..12 {
                    let adapter = if has_trouble { 1 + number } else { 1 + number % 3 };
                    let end = draft(&mut client, &format!("draft-{number}-{round}"), adapter);
                    let pause = match &end {
                        Ok((_, Some(retry_after), _)) => (*retry_after).min(deadline / 3),
                        _ => Duration::from_millis(100),
                    };
                    ends.lock().unwrap().push(end);
                    std::thread::sleep(pause);
                }
            });
        }
    });
    let ends = ends.into_inner().unwrap_or_default();
    let served = ends.iter().filter(|end| matches!(end, Ok((200, ..)))).count();
    let crashes: Vec<String> = engines.iter().flat_map(Engine::crashes).collect();
    let broken_off: usize = engines.iter().map(|engine| engine.broken_off().len()).sum();
    record.say(format!("{} drafts, {served} served; {broken_off} runs broken off by crashes", ends.len()));
    Ok(match crashes.first() {
        Some(first) => {
            Verdict::Broken(format!("LIMIT: {} overloads of runners; the first: {first}", crashes.len()))
        }
        None if served == 0 => return Err("no draft of the burst was served".into()),
        None => Verdict::Held("no runner was ordered to load more than it holds".into()),
    })
}

/// Clients read long answers slowly, but without a pause and in time.
pub fn slow_readers(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    const CLIENTS: usize = 6;
    const ANSWER_BYTES: usize = 6_500_000;
    const SLOW_BYTES_PER_S: f64 = 400_000.0;
    let deadline = Duration::from_secs(20);
    let store = Store::start();
    let routes = vec![route("order", "non_idempotent", "desk", 1, ms(deadline))];
    store.put("op", "", "config", &configuration(1, routes, vec![plain("desk")]));
    let work = Duration::from_millis(30);
    let runner = Runner::start("i-1", "desk", work, ANSWER_BYTES, &store, record);
    let nodes = start_nodes(1, &store)?;
    std::thread::sleep(CALM);
    let cut = Mutex::new(Vec::new());
    let whole = Mutex::new(0);
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (cut, whole, address) = (&cut, &whole, nodes[0].callers);
            scope.spawn(move || {
                let read = || -> std::io::Result<(usize, Duration)> {
                    let mut connection = Connection::connect(address, deadline)?;
                    // The connection is kept: it has carried a request before.
                    connection.send(&request("POST", "/order/1", &format!("first-{number}"), ms(deadline), "", b"{}"))?;
                    let head = connection.head()?.unwrap_or_default();
                    connection.body(&head)?;
                    let attempt = format!("long-{number}");
                    record.add(format!("client {number} sends {attempt}"));
                    connection.send(&request("POST", "/order/big", &attempt, ms(deadline), "", b"{}"))?;
                    let started = Instant::now();
                    let head = connection.head()?.unwrap_or_default();
                    record.add(format!("client {number} gets the head of the answer: {}", head.line));
                    let mut received = connection.input.len();
                    let mut buffer = [0; 8 << 10];
                    while received < ANSWER_BYTES {
                        let read = connection.stream.read(&mut buffer)?;
                        if read == 0 {
                            break;
                        }
                        received += read;
                        let due = Duration::from_secs_f64(received as f64 / SLOW_BYTES_PER_S);
                        if has_trouble {
                            std::thread::sleep(due.saturating_sub(started.elapsed()));
                        }
                    }
                    Ok((received, started.elapsed()))
                };
                let end = read();
                record.say(format!("client {number} has read {end:?} of {ANSWER_BYTES} bytes"));
                match end {
                    Ok((ANSWER_BYTES, _)) => *whole.lock().unwrap() += 1,
                    end => cut.lock().unwrap().push(format!("{end:?}")),
                }
            });
        }
    });
    let ran = runner.runs().iter().filter(|run| run.attempt.starts_with("long") && run.is_answered).count();
    let (cut, whole) = (cut.into_inner().unwrap_or_default(), whole.into_inner().unwrap_or_default());
    record.say(format!("{ran} of {CLIENTS} orders were run and answered in full by the runner; {whole} clients have the whole answer"));
    if ran < CLIENTS {
        return Err("the runner has not answered all orders".into());
    }
    Ok(match cut.len() {
        0..=3 => Verdict::Held(format!("{} connections were closed without the whole answer", cut.len())),
        count => Verdict::Broken(format!(
            "LOST: {count} kept connections were closed without the whole answer of a sound runner, in less than the deadline"
        )),
    })
}
