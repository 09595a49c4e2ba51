//! What a host logs, kept for its test.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;

/// The lines of a host's log; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// The entries of events of this name, in their order.
    pub fn of(&self, name: &str) -> Vec<Value> {
        let bytes = self.0.lock().unwrap();
        let entries = bytes.split(|byte| *byte == b'\n');
        entries
            .filter_map(|line| serde_json::from_slice(line).ok())
            .filter(|entry: &Value| entry["name"] == name)
            .collect()
    }

    /// The last `count` lines.
    pub fn last(&self, count: usize) -> String {
        let bytes = self.0.lock().unwrap();
        let text = String::from_utf8_lossy(&bytes);
        let last: Vec<&str> = text.lines().rev().take(count).collect();
        last.into_iter().rev().collect::<Vec<_>>().join("\n")
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
