//! Generates load: either benchmarks one node in a system that it starts, or sends a steady load to
//! a system that is already running. `docs/FIGURES.md` explains the output.

mod figures;
mod steady;
mod stream;
mod system;

use std::net::SocketAddr;
use std::time::Duration;

use orioleroute_wire::runtime;

const USAGE: &str = "Usage: load figures
       load steady --address IP:PORT --model NAME [options]

figures starts a system and compares requests through its node with direct calls to the engine.
steady sends requests at a constant rate, without waiting for responses.";

fn main() -> std::io::Result<()> {
    let mut options = getopts::Options::new();
    options.optmulti("", "address", "caller address of a node; may be repeated", "IP:PORT");
    options.optmulti("", "model", "adapter to request; may be repeated", "NAME");
    options.optopt("", "rate", "requests per second", "COUNT");
    options.optopt("", "seconds", "seconds during which requests are started", "COUNT");
    options.optopt("", "tokens", "tokens per response", "COUNT");
    options.optopt("", "runs", "number of runs, of which the median is printed", "COUNT");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => fail(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(());
    }
    let number = |name: &str, default: u32| match matches.opt_get_default(name, default) {
        Ok(number) => number.max(1),
        Err(error) => fail(&format!("--{name}: {error}")),
    };
    match matches.free.first().map(String::as_str) {
        Some("figures") => figures::run(number("runs", 5)),
        Some("steady") => {
            let parsed: Result<Vec<SocketAddr>, _> =
                matches.opt_strs("address").iter().map(|text| text.parse()).collect();
            let models = matches.opt_strs("model");
            let addresses = parsed.unwrap_or_else(|error| fail(&format!("--address: {error}")));
            if addresses.is_empty() || models.is_empty() {
                fail("steady needs --address and --model");
            }
            runtime::block_on(steady::run(steady::Plan {
                addresses,
                models,
                requests_per_s: number("rate", 50),
                duration: Duration::from_secs(number("seconds", 10).into()),
                tokens: number("tokens", 20),
            }));
            Ok(())
        }
        _ => fail("expected the command `figures` or `steady`; see --help"),
    }
}

fn fail(message: &str) -> ! {
    eprintln!("load: {message}");
    std::process::exit(2);
}
