//! One process under test.

use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use tempfile::NamedTempFile;

/// Longest time that a program may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// How often a condition is polled.
const POLL_EVERY: Duration = Duration::from_millis(10);

/// A process under test. It is killed on drop; if the test failed, its log is printed.
pub struct Program {
    name: String,
    child: Child,
    ready: BTreeMap<String, String>,
    log: NamedTempFile,
}

impl Program {
    /// Starts one of the package's programs and waits for its line `ready name=value …`.
    pub fn start<A: AsRef<OsStr>>(name: &str, arguments: impl IntoIterator<Item = A>) -> Self {
        let log = NamedTempFile::new().unwrap();
        let mut child = Command::new(assert_cmd::cargo::cargo_bin(name))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(log.reopen().unwrap())
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let mut program = Program {
            name: name.to_owned(),
            child,
            ready: BTreeMap::new(),
            log,
        };
        program.ready = ready_fields(stdout)
            .unwrap_or_else(|| panic!("{name} is not ready:\n{}", program.log_text()));
        program
    }

    /// A value of the ready line.
    pub fn ready_value(&self, field: &str) -> &str {
        &self.ready[field]
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        signal::kill(pid, signal).unwrap();
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the process's own end; none if it still runs after `bound`.
    pub fn wait_exit(&mut self, bound: Duration) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(bound, || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status
    }

    /// What the process has logged.
    pub fn log_text(&self) -> String {
        let mut text = String::new();
        let mut file = self.log.reopen().unwrap();
        file.read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            eprintln!("--- log of {} ---\n{}", self.name, self.log_text());
        }
    }
}

/// Polls `condition` until it holds or `bound` has passed; whether it held.
pub fn wait_until(bound: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if condition() {
            return true;
        }
        if start.elapsed() > bound {
            return false;
        }
        thread::sleep(POLL_EVERY);
    }
}

/// Reads standard output up to the ready line, and goes on reading so that the pipe never fills.
fn ready_fields(stdout: ChildStdout) -> Option<BTreeMap<String, String>> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if let Some(fields) = line.strip_prefix("ready ") {
                // The test may have given up.
                let _ = sender.send(parse_fields(fields));
            }
        }
    });
    receiver.recv_timeout(READY_WITHIN).ok()
}

fn parse_fields(fields: &str) -> BTreeMap<String, String> {
    fields
        .split_whitespace()
        .filter_map(|field| field.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
