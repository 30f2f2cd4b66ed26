//! What a case has sent, answered and run, with the time since its start.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The lines of a case, which are written to `record.txt` at its end.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default() }
    }

    pub fn add(&self, line: String) {
        let at = self.started.elapsed();
        self.lines.lock().unwrap().push((at, line));
    }

    /// Adds a line that is also printed.
    pub fn say(&self, line: String) {
        println!("{:8.3} s  {line}", self.started.elapsed().as_secs_f64());
        self.add(line);
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for (at, line) in self.lines.lock().unwrap().iter() {
            writeln!(file, "{:8.3} s  {line}", at.as_secs_f64())?;
        }
        Ok(())
    }
}
