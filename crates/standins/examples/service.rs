//! Runs the stand-in of a plain service as a process: `service [ADDRESS]`.

fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".into());
    orioleroute_wire::runtime::block_on(async {
        let (listener, _) = standins::bind(&address)?;
        standins::service::run(listener).await
    })
}
