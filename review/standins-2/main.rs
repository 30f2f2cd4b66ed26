//! The stand-ins of the second review. `standin runner ...` is a runner; `standin CASE RECORD` plays a case.

mod base;
mod client;
mod deployment;
mod runner;
mod store;
mod rolling;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match words.first().map(String::as_str) {
        Some("runner") => {
            runner::run(runner::Options::parse(&words[1..]));
            0
        }
        Some("rolling") => rolling::run(&words[1], has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
