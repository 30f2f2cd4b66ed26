//! Runs the engine stand-in as a process: `engine [options]`.

use std::time::Duration;

use standins::engine::Settings;

fn main() -> std::io::Result<()> {
    let mut options = getopts::Options::new();
    options.optopt("", "listen", "address to listen on", "ADDRESS");
    options.optopt("", "slots", "adapters loaded at the same time", "COUNT");
    options.optopt("", "load-ms", "time of a load", "MILLISECONDS");
    options.optopt("", "token-ms", "time between two tokens", "MILLISECONDS");
    options.optflag("", "ignore-fencing", "accept orders with outdated fencing tokens");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("engine [options]"));
            std::process::exit(2);
        }
    };
    let number = |name: &str, default: u64| match matches.opt_get_default(name, default) {
        Ok(number) => number,
        Err(error) => {
            eprintln!("--{name}: {error}");
            std::process::exit(2);
        }
    };
    let settings = Settings {
        slots: number("slots", 8) as usize,
        load_time: Duration::from_millis(number("load-ms", 250)),
        token_interval: Duration::from_millis(number("token-ms", 10)),
        checks_fencing: !matches.opt_present("ignore-fencing"),
    };
    let address = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".into());
    orioleroute_wire::runtime::block_on(async {
        let (listener, _) = standins::bind(&address)?;
        standins::engine::run(listener, settings).await
    })
}
