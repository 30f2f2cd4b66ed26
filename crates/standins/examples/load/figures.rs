//! Figures of one node, each compared with calling the engine directly in the same run.

use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use orioleroute_wire::client::Pool;
use orioleroute_wire::runtime;

use crate::stream;
use crate::system::{PACED, System, UNPACED};

/// The streams at a time of a light load.
const LIGHT: usize = 4;

/// The requests of each stream of a light load.
const REQUESTS: usize = 4;

/// The tokens of an answer under light load.
const TOKENS: u32 = 40;

/// The streams at a time whose throughput is measured, with the tokens of each.
const THROUGHPUT: [(usize, u32); 3] = [(1, 100_000), (64, 3_000), (512, 400)];

/// The idle connections whose memory is measured.
const IDLE: usize = 2_000;

/// The running streams whose memory is measured.
const STREAMS: usize = 512;

/// Prints all figures, as medians of `runs` paired runs.
///
/// # Errors
///
/// Fails if the system does not start.
pub fn run(runs: u32) -> Result<()> {
    let system = System::start()?;
    for model in [PACED, UNPACED] {
        let warm = runtime::block_on(batch(system.callers, model, 1, 1, 5));
        if warm.failed > 0 {
            return Err(Error::other(format!("{model} is not answered")));
        }
    }
    latency(&system, runs);
    throughput(&system, runs)?;
    memory(&system)
}

/// What some streams came to.
struct Batch {
    first_us: Histogram<u64>,
    delay_us: Histogram<u64>,
    tokens: u64,
    failed: u64,
    time: Duration,
}

/// Runs `streams` streams at a time, each making `requests` requests.
async fn batch(
    address: SocketAddr,
    model: &'static str,
    streams: usize,
    requests: usize,
    tokens: u32,
) -> Batch {
    let start = Instant::now();
    let pool = Rc::new(Pool::new());
    let tasks: Vec<_> = (0..streams)
        .map(|_| {
            let pool = pool.clone();
            monoio::spawn(async move {
                let mut outcomes = Vec::new();
                for _ in 0..requests {
                    outcomes.push(stream::run(&pool, address, model, tokens).await);
                }
                outcomes
            })
        })
        .collect();
    let histogram = || Histogram::new(3).expect("three digits are allowed");
    let mut batch = Batch {
        first_us: histogram(),
        delay_us: histogram(),
        tokens: 0,
        failed: 0,
        time: Duration::ZERO,
    };
    for task in tasks {
        for outcome in task.await {
            batch.failed += u64::from(outcome.error.is_some());
            batch.tokens += outcome.tokens;
            let first = outcome.first.unwrap_or_default();
            let _ = batch.first_us.record(first.as_micros() as u64);
            for delay in outcome.delays_us {
                let _ = batch.delay_us.record(delay);
            }
        }
    }
    batch.time = start.elapsed();
    batch
}

fn latency(system: &System, runs: u32) {
    let mut added = vec![Vec::new(); 4];
    let mut failed = 0;
    for run in 1..=runs {
        eprintln!("latency, run {run} of {runs}");
        let light = |address| runtime::block_on(batch(address, PACED, LIGHT, REQUESTS, TOKENS));
        let (direct, through) = (light(system.paced), light(system.callers));
        failed += direct.failed + through.failed;
        let pairs = [
            (&direct.first_us, &through.first_us, 0.5),
            (&direct.first_us, &through.first_us, 0.99),
            (&direct.delay_us, &through.delay_us, 0.5),
            (&direct.delay_us, &through.delay_us, 0.99),
        ];
        for (index, (direct, through, quantile)) in pairs.into_iter().enumerate() {
            let at = |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile) as f64;
            added[index].push((at(through) - at(direct)) / 1e3);
        }
    }
    println!("light load: {LIGHT} streams of {TOKENS} tokens, medians of {runs} paired runs");
    println!("failed requests                   {failed}");
    let names = ["first token, p50", "first token, p99", "each token, p50", "each token, p99"];
    for (name, values) in names.iter().zip(added) {
        println!("added to {name:<17}        {:.3} ms", median(values));
    }
}

fn throughput(system: &System, runs: u32) -> Result<()> {
    println!("unpaced streams through the node, medians of {runs} runs");
    for (streams, tokens) in THROUGHPUT {
        let (mut rates, mut per_cpu, mut direct_rates, mut failed) = (vec![], vec![], vec![], 0);
        for run in 1..=runs {
            eprintln!("{streams} streams, run {run} of {runs}");
            let load = |address| runtime::block_on(batch(address, UNPACED, streams, 1, tokens));
            let direct = load(system.unpaced);
            let before = cpu_seconds(system)?;
            let through = load(system.callers);
            let cpu = cpu_seconds(system)? - before;
            failed += direct.failed + through.failed;
            direct_rates.push(direct.tokens as f64 / direct.time.as_secs_f64());
            rates.push(through.tokens as f64 / through.time.as_secs_f64());
            per_cpu.push(through.tokens as f64 / cpu);
        }
        println!(
            "{streams:>4} streams  {:>9.0} tokens/s  {:>9.0} tokens per CPU second  \
             {:>9.0} tokens/s directly  {failed} failed",
            median(rates),
            median(per_cpu),
            median(direct_rates)
        );
    }
    Ok(())
}

fn memory(system: &System) -> Result<()> {
    let before = resident_bytes(system)?;
    let mut idle = Vec::new();
    for _ in 0..IDLE {
        let mut stream = TcpStream::connect(system.callers)?;
        stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n")?;
        let mut part = [0_u8; 2048];
        let _ = stream.read(&mut part)?;
        idle.push(stream);
    }
    let with_idle = resident_bytes(system)?;
    drop(idle);
    let address = system.callers;
    let streaming = std::thread::spawn(move || {
        runtime::block_on(batch(address, PACED, STREAMS, 1, 300)).failed
    });
    std::thread::sleep(Duration::from_millis(1_500));
    let with_streams = resident_bytes(system)?;
    let failed = streaming.join().unwrap_or(u64::MAX);
    println!("resident memory of the node       {} KiB", before >> 10);
    println!("for each idle connection          {} bytes", (with_idle - before) / IDLE as u64);
    let added = with_streams.saturating_sub(before) / STREAMS as u64;
    println!("for each stream, at most          {added} bytes, {failed} failed");
    Ok(())
}

fn proc_file(system: &System, name: &str) -> Result<String> {
    std::fs::read_to_string(format!("/proc/{}/{name}", system.node.id()))
}

/// Returns the processor time that the node has used.
fn cpu_seconds(system: &System) -> Result<f64> {
    const TICKS_A_SECOND: f64 = 100.0;
    let stat = proc_file(system, "stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    // User and system time are the fields 14 and 15; the first after the name is field 3.
    let ticks: f64 = fields[12..14].iter().filter_map(|text| text.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_A_SECOND)
}

fn resident_bytes(system: &System) -> Result<u64> {
    let status = proc_file(system, "status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib << 10).ok_or_else(|| Error::other("no resident size"))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
