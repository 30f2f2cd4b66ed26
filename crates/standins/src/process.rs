//! Child processes of a demonstration or test.

use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// The interval at which [`Process::wait`] polls the exit status.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts a program and waits for the first line of its output, which lists its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or exits without printing a line.
    pub fn start(program: &Path, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| Error::other(format!("{}: {error}", program.display())))?;
        let output =
            child.stdout.take().ok_or_else(|| Error::other("the child has no standard output"))?;
        let mut first_line = String::new();
        BufReader::new(output).read_line(&mut first_line)?;
        if first_line.is_empty() {
            let status = child.wait()?;
            return Err(Error::other(format!(
                "{} exited before printing its addresses: {status}",
                program.display()
            )));
        }
        Ok(Self { child, first_line })
    }

    /// Returns the address that the first line gives as `name=address`. An empty name matches an address
    /// that has no name.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let words = self.first_line.split_whitespace();
        let mut values = words
            .filter_map(|word| word.strip_prefix(name).map(|rest| rest.trim_start_matches('=')));
        values.find_map(|value| value.parse().ok())
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process no longer exists.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(Error::from)
    }

    /// Waits up to `limit` for the process to exit by itself.
    ///
    /// # Errors
    ///
    /// Fails if it is still running after that time.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                return Err(Error::other("the process did not exit in time"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a binary of the workspace. The caller has to be an example or test of it.
///
/// # Errors
///
/// Fails if the path of the current executable cannot be determined.
pub fn binary_path(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let target_dir = own
        .ancestors()
        .nth(2)
        .ok_or_else(|| Error::other("the executable is not in a target directory"))?;
    Ok(target_dir.join(name))
}
