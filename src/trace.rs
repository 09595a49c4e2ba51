//! Traces: recorded or synthesised arrivals as JSON lines, with the outcomes that must come out.
//!
//! The first line is the header `{"trace": {…}}`; `{"request": {…}}` lines follow in the order of
//! arrival, and `{"outcome": {…}}` lines may end the file.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;
use crate::error::Result;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::model::ModelOptions;
use crate::outcome::StatedOutcome;
use crate::schedule::Weights;

/// A whole trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// What the trace was made from, and the engines to serve it.
    pub header: TraceHeader,
    /// Requests in the order of arrival.
    pub requests: Vec<TraceRequest>,
    /// What must come out of a replay.
    pub outcomes: Vec<StatedOutcome>,
}

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Preset or recording it came from.
    pub name: String,
    /// Seed of the trace and of the engines that serve it.
    pub seed: u64,
    /// Share of the engines' memory-time that the requests need, if known; 1 is all of it.
    pub load: f64,
    /// Requests arrive in this time, in milliseconds.
    pub duration_ms: u64,
    /// Weights of classes and customers.
    pub weights: Weights,
    /// Services with their engines.
    pub services: Vec<TraceService>,
}

/// A service of a trace with its engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceService {
    /// The service.
    pub service: ServiceId,
    /// Number of engines.
    pub engines: u32,
    /// Predicted memory may rise to this share of an engine's memory, in percent.
    pub high_water_percent: u32,
    /// Size and speed of each engine.
    pub engine: ModelOptions,
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Arrival after the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
    /// The priority class.
    pub class: ClassId,
    /// Prompt length.
    pub prompt_tokens: u32,
    /// True output length. Policies don't see it.
    pub output_tokens: u32,
    /// The caller's own bound on the output, in tokens.
    pub max_output_tokens: u32,
    /// Whether it may be started again elsewhere.
    pub repeatable: bool,
    /// Shared parts that the prompt begins with.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefix: Vec<PrefixPart>,
}

/// A part of a prompt that others may share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrefixPart {
    /// Names the content.
    pub content: u64,
    /// Length in blocks of memory.
    pub blocks: u32,
}

impl TraceRequest {
    /// One hash for each block of the shared parts, longest prefix last.
    pub fn prefix_hashes(&self) -> Vec<u64> {
        let mut hashes = Vec::new();
        let mut previous = 0;
        for part in &self.prefix {
            for block in 0..part.blocks {
                previous = chained_hash(previous, part.content, block);
                hashes.push(previous);
            }
        }
        hashes
    }
}

fn chained_hash(previous: u64, content: u64, block: u32) -> u64 {
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&previous.to_le_bytes());
    bytes[8..16].copy_from_slice(&content.to_le_bytes());
    bytes[16..].copy_from_slice(&block.to_le_bytes());
    xxh3_64(&bytes)
}

/// One line of a trace file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum TraceLine {
    Trace(TraceHeader),
    Request(TraceRequest),
    Outcome(StatedOutcome),
}

impl Trace {
    /// Reads a trace file.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if it cannot be read; [`Error::Invalid`] naming the first bad line.
    pub fn read(path: &Path) -> Result<Self> {
        let file = File::open(path).map_err(|source| file_error(path, source))?;
        let mut lines = Vec::new();
        for (number, line) in BufReader::new(file).lines().enumerate() {
            let text = line.map_err(|source| file_error(path, source))?;
            if !text.trim().is_empty() {
                lines.push(parse_line(number + 1, &text)?);
            }
        }
        Trace::from_lines(lines)
    }

    /// Writes a trace file.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if it cannot be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        let file = File::create(path).map_err(|source| file_error(path, source))?;
        let mut writer = BufWriter::new(file);
        for line in self.lines() {
            let text = serde_json::to_string(&line)?;
            writeln!(writer, "{text}").map_err(|source| file_error(path, source))?;
        }
        writer.flush().map_err(|source| file_error(path, source))
    }

    /// The requests of one service.
    pub fn requests_of<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a TraceRequest> {
        self.requests
            .iter()
            .filter(move |request| request.service == *service)
    }

    fn from_lines(lines: Vec<TraceLine>) -> Result<Self> {
        let mut header = None;
        let mut requests = Vec::new();
        let mut outcomes = Vec::new();
        for line in lines {
            match line {
                TraceLine::Trace(value) => header = Some(value),
                TraceLine::Request(value) => requests.push(value),
                TraceLine::Outcome(value) => outcomes.push(value),
            }
        }
        let header = header.ok_or_else(|| invalid("no line holds the trace's header"))?;
        let known = |request: &TraceRequest| {
            let mut services = header.services.iter();
            services.any(|service| service.service == request.service)
        };
        if let Some(request) = requests.iter().find(|request| !known(request)) {
            return Err(invalid(format!(
                "service {} is not in the header",
                request.service
            )));
        }
        requests.sort_by_key(|request: &TraceRequest| request.at_ms);
        Ok(Trace {
            header,
            requests,
            outcomes,
        })
    }

    fn lines(&self) -> impl Iterator<Item = TraceLine> {
        let header = TraceLine::Trace(self.header.clone());
        let requests = self.requests.iter().cloned().map(TraceLine::Request);
        let outcomes = self.outcomes.iter().cloned().map(TraceLine::Outcome);
        std::iter::once(header).chain(requests).chain(outcomes)
    }
}

fn parse_line(number: usize, text: &str) -> Result<TraceLine> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        invalid(format!(
            "line {number}: {}: {}",
            error.path(),
            error.inner()
        ))
    })
}

fn invalid(fault: impl Into<String>) -> Error {
    Error::Invalid {
        faults: vec![fault.into()],
    }
}

fn file_error(path: &Path, source: std::io::Error) -> Error {
    Error::File {
        path: path.display().to_string(),
        source,
    }
}

#[cfg(test)]
mod tests;
