//! Instances of the system as separate processes, started as the deploy file says.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// An instance. Dropping it ends its process.
pub struct Node {
    child: Child,
    folder: PathBuf,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

/// Returns an address without a listener, for TCP and UDP.
fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Starts an instance in the zone `a` of the region `r`, and waits until it is ready.
    pub fn start(name: &str, store: SocketAddr) -> Result<Self, String> {
        let [callers, ready, directory, peers, metrics] = [(); 5].map(|()| free_address());
        let folder = std::env::temp_dir().join(format!("review-3-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let template = std::fs::read_to_string("deploy/settings.conf").map_err(|error| error.to_string())?;
        let values = [
            ("node", name.to_owned()),
            ("region", "r".to_owned()),
            ("zone", "a".to_owned()),
            ("#zones}}{{@}}={{.}}{{,}}{{/zones", "a=r".to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.directory", directory.to_string()),
            ("ip}}:{{portRange.0", peers.to_string()),
            ("ip}}:{{portRange.1", metrics.to_string()),
            ("platform.address", store.to_string()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("bounds.requireFence", "true".to_owned()),
            ("bounds.budgetSlack", "54".to_owned()),
        ];
        let mut settings = template;
        for (name, value) in values {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if settings.contains("{{") {
            return Err("the template of the settings has a field that this script does not know".into());
        }
        let file = folder.join("boot.json");
        std::fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(folder.join("log")).map_err(|error| error.to_string())?;
        let child = Command::new("target/release/orioleroute-node")
            .args(["--backend", "platform"])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("ORIOLEROUTE_CONFIG", &file)
            .env("ORIOLEROUTE_LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("target/release/orioleroute-node: {error}"))?;
        let mut node = Self { child, folder, callers, ready };
        let started = Instant::now();
        while !node.is_ready() {
            if !node.is_running() || started.elapsed() > Duration::from_secs(15) {
                return Err(format!("{name} did not become ready"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(node)
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let mut answer = [0; 64];
            let read = stream.read(&mut answer)?;
            Ok(answer[..read].starts_with(b"HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    /// Returns whether the process has not ended by itself.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
