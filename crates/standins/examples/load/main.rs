//! The load of callers: figures of one node in a system of its own, or a steady load on a system
//! that runs already. `docs/FIGURES.md` tells how to read what it prints.

mod figures;
mod steady;
mod stream;
mod system;

use std::net::SocketAddr;
use std::time::Duration;

use orioleroute_wire::runtime;

const BRIEF: &str = "Usage: load figures
       load steady --address IP:PORT --model NAME [options]

figures starts a system of its own and compares it with calling the engine directly.
steady sends requests at a constant rate, whether answers come or not.";

fn main() -> std::io::Result<()> {
    let mut options = getopts::Options::new();
    options.optmulti("", "address", "caller address of a node; may be repeated", "IP:PORT");
    options.optmulti("", "model", "adapter to ask for; may be repeated", "NAME");
    options.optopt("", "rate", "requests a second", "COUNT");
    options.optopt("", "seconds", "how long", "COUNT");
    options.optopt("", "tokens", "tokens of an answer", "COUNT");
    options.optopt("", "runs", "runs of which the median is taken", "COUNT");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => fail(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
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
                rate: number("rate", 50),
                time: Duration::from_secs(number("seconds", 10).into()),
                tokens: number("tokens", 20),
            }));
            Ok(())
        }
        _ => fail("name figures or steady; --help tells more"),
    }
}

fn fail(message: &str) -> ! {
    eprintln!("load: {message}");
    std::process::exit(2);
}
