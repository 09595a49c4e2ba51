//! The stand-ins' protocol: JSON throughout, and header names in the product's words.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use cedargauge::error::Error;
use cedargauge::error::Result;
use cedargauge::gateway::configuration::CallerLimits;
use cedargauge::gateway::configuration::Configuration;
use cedargauge::gateway::configuration::Customer;
use cedargauge::gateway::configuration::EngineSpec;
use cedargauge::gateway::configuration::ServiceSpec;
use cedargauge::gateway::directory::Upstream;
use cedargauge::gateway::evacuations::EvacuationRecord;
use cedargauge::gateway::instance::InstanceId;
use cedargauge::gateway::protocol::EngineReport;
use cedargauge::gateway::protocol::GenerationSize;
use cedargauge::gateway::protocol::HeaderNames;
use cedargauge::gateway::protocol::InternalRequest;
use cedargauge::gateway::protocol::MemoryCopy;
use cedargauge::gateway::protocol::NewestPage;
use cedargauge::gateway::protocol::PromptPart;
use cedargauge::gateway::protocol::Protocol;
use cedargauge::gateway::protocol::ReadBatch;
use cedargauge::gateway::protocol::Record;
use cedargauge::gateway::protocol::RolloutState;
use cedargauge::gateway::protocol::RolloutStatus;
use cedargauge::gateway::protocol::Topic;
use cedargauge::gateway::reportedloads::ReportedLoad;
use cedargauge::gateway::rollouts::RolloutOrder;
use cedargauge::gateway::rollouts::RolloutRecord;
use cedargauge::gateway::route::Route;
use cedargauge::gateway::route::RouteKind;
use cedargauge::gateway::route::RouteTable;
use cedargauge::gateway::route::Target;
use cedargauge::id::CustomerId;
use cedargauge::id::DataCentre;
use cedargauge::id::RegionId;
use cedargauge::id::ServiceId;
use cedargauge::id::UpstreamId;
use cedargauge::id::VersionId;

/// Speaks with the stand-ins of these tests.
#[derive(Debug)]
pub struct ProductProtocol {
    headers: HeaderNames,
}

impl Default for ProductProtocol {
    fn default() -> Self {
        let name = HeaderName::from_static;
        ProductProtocol {
            headers: HeaderNames {
                request_id: name("request-id"),
                deadline_ms: name("deadline-ms"),
                customer: name("customer"),
                expected_instance: name("instance"),
                not_run: name("not-run"),
                priority: name("rank"),
                continue_from: name("continue-from"),
                last_event: name("last-event-id"),
                log_era: name("log-era"),
                reserved: vec![name("reserved")],
                key_scheme: "Key",
            },
        }
    }
}

fn bad(reason: &str) -> Error {
    Error::Remote {
        peer: "stand-in".to_owned(),
        reason: reason.to_owned(),
    }
}

fn records(values: &Value) -> Vec<Record> {
    let values = values.as_array().unwrap();
    let record = |value: &Value| Record {
        key: value["key"].as_str().unwrap().to_owned(),
        value: (!value["value"].is_null()).then(|| Bytes::from(value["value"].to_string())),
        offset: value["offset"].as_u64().unwrap(),
    };
    values.iter().map(record).collect()
}

impl Protocol for ProductProtocol {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn newest_request(&self, topic: Topic, _after: Option<&str>) -> InternalRequest {
        InternalRequest::get(format!("/newest/{}", topic.name()))
    }

    fn decode_newest(&self, body: &[u8]) -> Result<NewestPage> {
        let page: Value = serde_json::from_slice(body)?;
        Ok(NewestPage {
            records: records(&page["records"]),
            has_more: false,
            end: page["end"].as_u64().unwrap(),
        })
    }

    fn read_request(&self, topic: Topic, from: u64, wait: Duration) -> InternalRequest {
        let wait_ms = wait.as_millis();
        InternalRequest::get(format!("/read/{}/{from}/{wait_ms}", topic.name()))
    }

    fn decode_read(&self, _from: u64, body: &Bytes) -> Result<ReadBatch> {
        let page: Value = serde_json::from_slice(body)?;
        Ok(ReadBatch {
            records: records(&page["records"]),
            next: page["end"].as_u64().unwrap(),
        })
    }

    fn append_request(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        only_at: Option<u64>,
    ) -> InternalRequest {
        // Keys name one part of the path.
        let key = key.replace('/', "-");
        let path = format!("/append/{}/{key}", topic.name());
        InternalRequest {
            method: Method::POST,
            path: only_at.map_or(path.clone(), |end| format!("{path}/{end}")),
            body: Bytes::copy_from_slice(value),
            content_type: None,
        }
    }

    fn decode_configuration(&self, key: &str, value: &[u8]) -> Result<Option<Configuration>> {
        if key != "table" {
            return Ok(None);
        }
        let document: Value = serde_json::from_slice(value)?;
        let version = document["version"].as_u64().ok_or_else(|| bad("version"))?;
        let routes: Vec<Route> = document["routes"]
            .as_array()
            .unwrap()
            .iter()
            .map(route)
            .collect();
        let keys = document["keys"].as_object().unwrap();
        let customers = keys.iter().map(|(key, name)| {
            let customer = Customer {
                name: CustomerId::new(name.as_str().unwrap()),
                priority: None,
                weight: 1,
                regions: regions(&document["customer_regions"]),
            };
            (key.clone(), Arc::new(customer))
        });
        let engine = EngineSpec {
            slots: 8,
            memory_tokens: 30_000,
            moves: true,
            tokens_per_event: 1,
            copy_tokens_per_s: None,
        };
        let service = |engine: Option<EngineSpec>| ServiceSpec {
            connections_max: 100,
            cold_requests_per_s: Some(5.0),
            engine,
        };
        Ok(Some(Configuration {
            version,
            routes: RouteTable::new(routes),
            services: HashMap::from([
                (ServiceId::new("nets"), service(None)),
                (ServiceId::new("reports"), service(Some(engine))),
            ]),
            limits: CallerLimits {
                header_bytes_max: 16_384,
                body_bytes_max: 100_000,
                header_timeout: Duration::from_secs(60),
                idle_timeout: Duration::from_secs(120),
            },
            customers: Some(customers.collect()),
        }))
    }

    fn decode_evacuation(&self, key: &str, value: Option<&[u8]>) -> Option<EvacuationRecord> {
        let name = key
            .strip_prefix("evacuate/")
            .filter(|name| !name.is_empty())?;
        let is_object = value.is_none_or(|value| value.starts_with(b"{"));
        Some(EvacuationRecord {
            data_centre: DataCentre::new(name),
            is_evacuated: value.is_some(),
            flaw: (!is_object).then(|| "not an object".to_owned()),
        })
    }

    fn decode_rollout(&self, key: &str, value: Option<&[u8]>) -> Option<RolloutRecord> {
        let service = key.strip_prefix("rollout/")?;
        let order: Option<Value> = value.and_then(|value| serde_json::from_slice(value).ok());
        let order = order.map(|order| RolloutOrder {
            to: VersionId::new(order["to"].as_str().unwrap()),
            duration: Duration::from_millis(order["duration_ms"].as_u64().unwrap()),
        });
        Some(RolloutRecord {
            service: ServiceId::new(service),
            order,
            flaw: None,
        })
    }

    fn rollout_status_key(&self, service: &ServiceId) -> String {
        format!("rollout-{service}")
    }

    fn encode_rollout_status(&self, status: &RolloutStatus) -> Vec<u8> {
        let state = match status.state {
            RolloutState::Running => "running",
            RolloutState::Complete => "complete",
            RolloutState::Reverted => "reverted",
        };
        let status = json!({"to": status.to, "state": state, "order": status.ordered_at});
        status.to_string().into_bytes()
    }

    fn decode_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus> {
        let status: Value = serde_json::from_slice(value)?;
        let state = match status["state"].as_str() {
            Some("running") => RolloutState::Running,
            Some("complete") => RolloutState::Complete,
            Some("reverted") => RolloutState::Reverted,
            _ => return Err(bad("state")),
        };
        Ok(RolloutStatus {
            to: serde_json::from_value(status["to"].clone())?,
            state,
            ordered_at: serde_json::from_value(status["order"].clone())?,
        })
    }

    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<Upstream> {
        let entry: Value = serde_json::from_slice(value)?;
        let id = UpstreamId::new(key);
        Ok(Upstream {
            id: InstanceId::new(id, entry["born_ms"].as_u64()),
            service: serde_json::from_value(entry["service"].clone())?,
            address: serde_json::from_value(entry["address"].clone())?,
            data_centre: serde_json::from_value(entry["data_centre"].clone())?,
            state: serde_json::from_value(entry["state"].clone())?,
            slots: serde_json::from_value(entry["slots"].clone())?,
            cold_left_ms: entry["cold_left_ms"].as_u64().unwrap_or(0) as u32,
            version: VersionId::new(entry["version"].as_str().unwrap_or("v1")),
            sequence: entry["sequence"].as_u64().unwrap_or(0),
        })
    }

    fn reported_load(&self, _headers: &HeaderMap) -> Option<ReportedLoad> {
        None
    }

    fn requested_rest(&self, status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
        let seconds = headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
        (status == StatusCode::SERVICE_UNAVAILABLE).then_some(Duration::from_secs_f64(seconds))
    }

    fn says_leaving(&self, headers: &HeaderMap) -> bool {
        headers.contains_key("leaving")
    }

    fn request_limit(&self, headers: &HeaderMap) -> Option<f64> {
        headers.get("request-limit")?.to_str().ok()?.parse().ok()
    }

    fn rejection_limit(&self, headers: &HeaderMap) -> Option<f64> {
        headers.get("rejection-limit")?.to_str().ok()?.parse().ok()
    }

    fn generation_size(&self, headers: &HeaderMap) -> Option<GenerationSize> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse().ok();
        Some(GenerationSize {
            prompt_tokens: number("prompt-tokens").unwrap_or(100),
            output_tokens_max: number("tokens")?,
            output_tokens_hint: None,
        })
    }

    fn prompt_parts(&self, headers: &HeaderMap) -> Vec<PromptPart> {
        let parts = headers
            .get("prompt-parts")
            .map(|value| value.to_str().unwrap());
        let parts = parts.map(|parts| parts.split(',').map(prompt_part).collect());
        parts.unwrap_or_default()
    }

    fn copy_request(&self, request_id: &str, to: SocketAddr, is_final: bool) -> InternalRequest {
        let body = json!({"run": request_id, "to": to, "last": is_final});
        InternalRequest {
            method: Method::POST,
            path: "/copy".to_owned(),
            body: Bytes::from(body.to_string()),
            content_type: None,
        }
    }

    fn decode_copy(&self, body: &[u8]) -> Result<MemoryCopy> {
        let done: Value = serde_json::from_slice(body)?;
        Ok(MemoryCopy {
            handle: done["handle"]
                .as_str()
                .ok_or_else(|| bad("handle"))?
                .to_owned(),
            events: done["events"].as_u64().unwrap_or(0),
        })
    }

    fn continue_value(&self, source: SocketAddr, handle: &str) -> HeaderValue {
        HeaderValue::from_str(&format!("{source}#{handle}")).unwrap()
    }

    fn report_request(&self) -> InternalRequest {
        InternalRequest::get("/report")
    }

    fn decode_report(&self, body: &[u8]) -> Result<EngineReport> {
        let report: Value = serde_json::from_slice(body)?;
        Ok(EngineReport {
            born_ms: report["born_ms"].as_u64(),
            leaving: report["leaving"].as_bool().unwrap_or(false),
        })
    }
}

fn prompt_part(text: &str) -> PromptPart {
    let (id, tokens) = text.split_once(':').unwrap();
    PromptPart {
        id: id.to_owned(),
        tokens: tokens.parse().unwrap(),
    }
}

fn regions(value: &Value) -> Option<BTreeSet<RegionId>> {
    let names = value.as_array()?.iter().map(|name| name.as_str().unwrap());
    Some(names.map(RegionId::new).collect())
}

fn route(value: &Value) -> Route {
    let ms = |name: &str| Duration::from_millis(value[name].as_u64().unwrap());
    Route {
        name: value["name"].as_str().unwrap().to_owned(),
        host: value["host"].as_str().unwrap().to_owned(),
        path_prefix: value["prefix"].as_str().unwrap().to_owned(),
        kind: match value["kind"].as_str().unwrap() {
            "idempotent" => RouteKind::Idempotent,
            "stream" => RouteKind::Stream,
            _ => RouteKind::Once,
        },
        timeout: ms("timeout_ms"),
        objective: ms("objective_ms"),
        priority: 0,
        targets: vec![Target {
            service: ServiceId::new(value["service"].as_str().unwrap()),
            weight: 1,
        }],
        attempts: value["attempts"].as_u64().unwrap() as u32,
        public: false,
        regions: regions(&value["regions"]),
    }
}
