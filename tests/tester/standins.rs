//! The stand-ins as processes, and blocking HTTP calls.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use super::Program;
use cedargauge::platform::AppendAnswer;
use cedargauge::platform::AppendRequest;
use cedargauge::platform::HostList;
use cedargauge::platform::ReadAnswer;
use cedargauge::standin_faults::EngineFault;
use cedargauge::standin_generation::EngineCounters;
use cedargauge::standin_log::LogCounters;
use cedargauge::standin_outage::PlatformFault;
use cedargauge::standin_service::ServiceCounters;
use cedargauge::standin_service::ServiceFault;

const STANDIN: &str = "cedargauge-standin";

/// Longest time that a call of a test may take.
const CALL_WITHIN: Duration = Duration::from_secs(60);

/// A client that answers every status as a value.
pub fn http_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_WITHIN))
        .build()
        .new_agent()
}

/// Gets `http://{address}{path}` and decodes the answer.
pub fn get_json<T: DeserializeOwned>(address: &str, path: &str) -> T {
    let url = format!("http://{address}{path}");
    let mut answer = http_agent().get(&url).call().unwrap();
    assert!(answer.status().is_success(), "{url}: {}", answer.status());
    answer.body_mut().read_json().unwrap()
}

/// Posts `body` and answers the status.
pub fn post_json(address: &str, path: &str, body: &impl Serialize) -> u16 {
    let url = format!("http://{address}{path}");
    let answer = http_agent().post(&url).send_json(body).unwrap();
    answer.status().as_u16()
}

/// The body of `POST /v1/completions`.
pub fn completion_request(service: &str, prompt: &str, stream: bool) -> serde_json::Value {
    serde_json::json!({
        "model": service,
        "prompt": prompt,
        "max_tokens": 32_768,
        "stream": stream,
    })
}

/// The platform's stand-in.
pub struct Platform {
    /// Its process.
    pub program: Program,
    /// Where it listens.
    pub address: String,
}

impl Platform {
    /// Starts it with more flags.
    pub fn start(flags: &[&str]) -> Self {
        let program = start_standin("platform", flags);
        let address = program.ready_value("address").to_owned();
        Platform { program, address }
    }

    /// Arms a fault.
    pub fn fault(&self, fault: &PlatformFault) {
        assert_eq!(post_json(&self.address, "/admin/faults", fault), 204);
    }

    /// Sets the host list.
    pub fn set_hosts(&self, hosts: &HostList) {
        assert_eq!(post_json(&self.address, "/admin/hosts", hosts), 204);
    }

    /// What it was asked.
    pub fn counters(&self) -> LogCounters {
        get_json(&self.address, "/admin/counters")
    }

    /// Appends records and answers the first one's offset.
    pub fn append(&self, stream: &str, records: &[&str]) -> AppendAnswer {
        let url = format!("http://{}/v1/streams/{stream}/records", self.address);
        let records = records.iter().map(|record| (*record).to_owned()).collect();
        let mut answer = http_agent()
            .post(&url)
            .send_json(AppendRequest { records })
            .unwrap();
        answer.body_mut().read_json().unwrap()
    }

    /// Reads a stream from an offset without waiting.
    pub fn read(&self, stream: &str, from: u64) -> ReadAnswer {
        let path = format!("/v1/streams/{stream}/records?from={from}");
        get_json(&self.address, &path)
    }
}

/// An engine's stand-in.
pub struct Engine {
    /// Its process.
    pub program: Program,
    /// Where it listens.
    pub address: String,
}

impl Engine {
    /// Starts it with more flags.
    pub fn start(flags: &[&str]) -> Self {
        let program = start_standin("engine", flags);
        let address = program.ready_value("address").to_owned();
        Engine { program, address }
    }

    /// Arms a fault.
    pub fn fault(&self, fault: &EngineFault) {
        assert_eq!(post_json(&self.address, "/admin/faults", fault), 204);
    }

    /// What it ran.
    pub fn counters(&self) -> EngineCounters {
        get_json(&self.address, "/admin/counters")
    }
}

/// A plain service's stand-in.
pub struct Service {
    /// Its process.
    pub program: Program,
    /// Where it listens.
    pub address: String,
}

impl Service {
    /// Starts it.
    pub fn start() -> Self {
        let program = start_standin("service", &[]);
        let address = program.ready_value("address").to_owned();
        Service { program, address }
    }

    /// Arms a fault.
    pub fn fault(&self, fault: &ServiceFault) {
        assert_eq!(post_json(&self.address, "/admin/faults", fault), 204);
    }

    /// What it ran.
    pub fn counters(&self) -> ServiceCounters {
        get_json(&self.address, "/admin/counters")
    }
}

fn start_standin(kind: &str, flags: &[&str]) -> Program {
    let arguments = std::iter::once(kind).chain(flags.iter().copied());
    Program::start(STANDIN, arguments)
}
