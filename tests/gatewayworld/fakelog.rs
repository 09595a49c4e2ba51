//! A keyed log that can go away, fall silent and forget its history, for each of its addresses apart.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::Link;

#[derive(Default)]
struct Topic {
    first: usize,
    records: Vec<(String, Value)>,
}

/// Calls that the log takes and never answers; their connections stay open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Silence {
    #[default]
    None,
    /// Those that arrive now. A read that waits already is answered.
    NewCalls,
    /// All. A read that waits already is answered when the silence ends.
    AllCalls,
}

/// What those meet who call at one address of the log.
#[derive(Default)]
struct Door {
    down: bool,
    silence: Silence,
    lost_paths: Vec<String>,
    reads: usize,
    /// Over which answers go out.
    link: Option<Link>,
}

#[derive(Default)]
struct State {
    /// Rises by one each time that the log returns from an older copy.
    era: u64,
    topics: HashMap<String, Topic>,
    doors: Vec<Door>,
    truncated_reads: usize,
}

/// A handle on the log at one of its addresses; clones share it.
#[derive(Clone)]
pub struct FakeLog {
    address: SocketAddr,
    door: usize,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl FakeLog {
    /// Listens at a port from the system.
    pub fn start(address: IpAddr) -> Self {
        FakeLog::open(address, Arc::default())
    }

    /// The same log at an address more, with faults of its own.
    pub fn another_door(&self) -> Self {
        FakeLog::open(self.address.ip(), self.state.clone())
    }

    fn open(address: IpAddr, state: Arc<(Mutex<State>, Condvar)>) -> Self {
        let listener = TcpListener::bind((address, 0)).unwrap();
        let door = {
            let doors = &mut state.0.lock().unwrap().doors;
            doors.push(Door::default());
            doors.len() - 1
        };
        let log = FakeLog {
            address: listener.local_addr().unwrap(),
            door,
            state,
        };
        let serving = log.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = serving.clone();
                std::thread::spawn(move || log.serve(&stream));
            }
        });
        log
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
        result
    }

    /// Appends a record; null removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.with(|state| {
            let topic = state.topics.entry(topic.to_owned()).or_default();
            topic.records.push((key.to_owned(), value.clone()));
        });
    }

    /// Appends a record if the topic ends there; whether it did.
    fn put_only_at(&self, topic: &str, key: &str, value: &Value, end: usize) -> bool {
        self.with(|state| {
            let topic = state.topics.entry(topic.to_owned()).or_default();
            let is_there = topic.records.len() == end;
            if is_there {
                topic.records.push((key.to_owned(), value.clone()));
            }
            is_there
        })
    }

    /// All values that were written under a key of a topic, in order.
    pub fn written(&self, topic: &str, key: &str) -> Vec<Value> {
        self.with(|state| {
            let topic = state.topics.entry(topic.to_owned()).or_default();
            let of_key = topic.records.iter().filter(|(other, _)| other == key);
            of_key.map(|(_, value)| value.clone()).collect()
        })
    }

    /// From now on every call is refused, or no longer.
    pub fn set_down(&self, down: bool) {
        self.with(|state| state.doors[self.door].down = down);
    }

    /// From now on these calls are never answered.
    pub fn set_silence(&self, silence: Silence) {
        self.with(|state| state.doors[self.door].silence = silence);
    }

    /// From now on answers go out over `link`.
    pub fn set_link(&self, link: &Link) {
        self.with(|state| state.doors[self.door].link = Some(link.clone()));
    }

    /// Whether a read of a topic arrived here that is never answered.
    pub fn has_lost_read(&self, topic: &str) -> bool {
        let read = format!("/read/{topic}/");
        self.with(|state| {
            let mut lost = state.doors[self.door].lost_paths.iter();
            lost.any(|path| path.starts_with(&read))
        })
    }

    /// Reads that have arrived here.
    pub fn reads(&self) -> usize {
        self.with(|state| state.doors[self.door].reads)
    }

    /// Returns from a copy that lacks the last `lost` records of a topic.
    pub fn return_from_copy(&self, topic: &str, lost: usize) {
        self.with(|state| {
            state.era += 1;
            let topic = state.topics.entry(topic.to_owned()).or_default();
            let kept = topic.records.len() - lost;
            topic.records.truncate(kept);
        });
    }

    /// Forgets all records of a topic but the newest of each key.
    pub fn truncate(&self, topic: &str) {
        self.with(|state| {
            let topic = state.topics.entry(topic.to_owned()).or_default();
            topic.first = topic.records.len();
        });
    }

    /// Reads that asked for records which are gone.
    pub fn truncated_reads(&self) -> usize {
        self.with(|state| state.truncated_reads)
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 || header == "\r\n" {
                    break;
                }
                if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap();
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let path = line.split(' ').nth(1).unwrap_or("").to_owned();
            if self.loses_call(&path) {
                // The caller hears nothing, and ends the connection itself.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
            let (status, answer) = self.answer(&path, &body);
            let answer = answer.to_string();
            let era = self.with(|state| state.era);
            let head = format!(
                "HTTP/1.1 {status} X\r\nlog-era: {}\r\ncontent-length: {}\r\n\r\n",
                era + 1,
                answer.len()
            );
            let answer = head + &answer;
            let link = self.with(|state| state.doors[self.door].link.clone());
            let written = match link {
                Some(link) => link.write(&mut writer, answer.as_bytes()),
                None => writer.write_all(answer.as_bytes()),
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn loses_call(&self, path: &str) -> bool {
        self.with(|state| {
            let door = &mut state.doors[self.door];
            let is_lost = door.silence != Silence::None;
            if is_lost {
                door.lost_paths.push(path.to_owned());
            }
            is_lost
        })
    }

    fn answer(&self, path: &str, body: &[u8]) -> (u16, Value) {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        if self.with(|state| state.doors[self.door].down) {
            return (503, json!({}));
        }
        match parts[..] {
            ["newest", topic] => (200, self.newest(topic)),
            ["read", topic, from, wait_ms] => {
                let wait = Duration::from_millis(wait_ms.parse().unwrap());
                self.read(topic, from.parse().unwrap(), wait)
            }
            ["append", topic, key, end] => {
                let value = serde_json::from_slice(body).unwrap();
                match self.put_only_at(topic, key, &value, end.parse().unwrap()) {
                    true => (200, json!({})),
                    false => (412, json!({})),
                }
            }
            ["append", topic, key] => {
                // A record without a value removes its key; hosts list themselves by their bare names.
                let value = match body {
                    [] => Value::Null,
                    _ => serde_json::from_slice(body)
                        .unwrap_or_else(|_| String::from_utf8_lossy(body).into()),
                };
                self.put(topic, key, &value);
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn newest(&self, topic: &str) -> Value {
        self.with(|state| {
            let topic = state.topics.entry(topic.to_owned()).or_default();
            let mut newest: HashMap<&str, (usize, &Value)> = HashMap::new();
            for (offset, (key, value)) in topic.records.iter().enumerate() {
                newest.insert(key, (offset, value));
            }
            let records = newest
                .into_iter()
                .filter(|(_, (_, value))| !value.is_null())
                .map(|(key, (offset, value))| record(key, offset, value));
            json!({"records": records.collect::<Vec<Value>>(), "end": topic.records.len()})
        })
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Value) {
        let ends = Instant::now() + wait;
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.doors[self.door].reads += 1;
        loop {
            if state.doors[self.door].down {
                return (503, json!({}));
            }
            if state.doors[self.door].silence == Silence::AllCalls {
                state = changed.wait(state).unwrap();
                continue;
            }
            let topic = state.topics.entry(topic.to_owned()).or_default();
            let (first, end) = (topic.first, topic.records.len());
            if from < first || from > end {
                state.truncated_reads += 1;
                return (410, json!({"first": first}));
            }
            let left = ends.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let records = topic.records.iter().enumerate().skip(from);
                let records = records.map(|(offset, (key, value))| record(key, offset, value));
                return (
                    200,
                    json!({"records": records.collect::<Vec<Value>>(), "end": end}),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn record(key: &str, offset: usize, value: &Value) -> Value {
    json!({"key": key, "offset": offset, "value": value})
}
