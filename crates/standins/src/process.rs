//! Processes started for a demonstration or test, and ended with it.

use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Between two looks whether a process has ended.
const POLL: Duration = Duration::from_millis(10);

/// A process, killed when dropped.
pub struct Process {
    child: Child,
    line: String,
}

impl Process {
    /// Starts a program and waits for the first line that it prints, which tells its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or ends without a line.
    pub fn start(program: &Path, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| Error::other(format!("{}: {error}", program.display())))?;
        let output = child.stdout.take().ok_or_else(|| Error::other("no standard output"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        if line.is_empty() {
            let status = child.wait()?;
            return Err(Error::other(format!("{} ended at once: {status}", program.display())));
        }
        Ok(Self { child, line })
    }

    /// Returns the address that the first line gives under a name, or its only address.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let words = self.line.split_whitespace();
        let mut values = words
            .filter_map(|word| word.strip_prefix(name).map(|rest| rest.trim_start_matches('=')));
        values.find_map(|value| value.parse().ok())
    }

    /// Returns the identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(Error::from)
    }

    /// Waits for the process to end by itself, for at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if it has not ended by then.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                return Err(Error::other("the process did not end in time"));
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a binary of the workspace, from an example or a test of it.
///
/// # Errors
///
/// Fails if the running program's own path is not known.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.ancestors().nth(2).ok_or_else(|| Error::other("no target folder"))?;
    Ok(folder.join(name))
}
