//! A whole deployment as processes: platform, engines, services and entry hosts.

use std::fs;
use std::time::Duration;

use derive_builder::Builder;
use serde_json::Value;
use tempfile::TempDir;

use super::Engine;
use super::Platform;
use super::Program;
use super::Service;
use super::http_agent;
use super::wait_until;
use cedargauge::id::DataCentre;
use cedargauge::id::UpstreamId;
use cedargauge::platform::HostKind;
use cedargauge::platform::HostList;
use cedargauge::platform::HostState;
use cedargauge::platform::ListedHost;
use cedargauge::record::RowKey;
use cedargauge::row::Row;
use cedargauge::row::UpstreamRow;
use cedargauge::standin_table::small_table;

/// Longest time that an entry host may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// Longest time that a graceful shutdown may take under the load of a bench.
const SHUTDOWN_WITHIN: Duration = Duration::from_secs(120);

const ANY_PORT: &str = "127.0.0.1:0";

/// What a deployment consists of. Everything is spread evenly over the data centres.
#[derive(Debug, Clone, Builder)]
#[builder(default)]
pub struct DeploymentOptions {
    /// Data centres, named `dc-0` and so on.
    pub data_centres: usize,
    /// Engines of the service `inspection`.
    pub engines: usize,
    /// Upstreams of the service `crew-app`.
    pub services: usize,
    /// Entry hosts, named `entry-0` and so on.
    pub hosts: usize,
    /// Flags for every engine.
    pub engine_flags: Vec<String>,
    /// Flags for the platform.
    pub platform_flags: Vec<String>,
    /// Rows that are added to the small table; a row of the same name replaces.
    pub extra_rows: Vec<Row>,
    /// Settings of the entry hosts beside names and addresses, as a JSON object.
    pub entry_settings: Value,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        DeploymentOptions {
            data_centres: 1,
            engines: 2,
            services: 1,
            hosts: 1,
            engine_flags: Vec::new(),
            platform_flags: Vec::new(),
            extra_rows: Vec::new(),
            entry_settings: serde_json::json!({ "shutdown": { "drain_accept_ms": 100 } }),
        }
    }
}

/// An entry host.
pub struct EntryHost {
    /// Its process.
    pub program: Program,
    /// Its name.
    pub host: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub caller: String,
    /// Where other entry hosts reach it.
    pub peer: String,
}

/// A running deployment. Its processes end on drop.
pub struct Deployment {
    /// The platform.
    pub platform: Platform,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The plain service's upstreams.
    pub services: Vec<Service>,
    /// The entry hosts.
    pub hosts: Vec<EntryHost>,
    data_centres: usize,
    entry_settings: Value,
    directory: TempDir,
    hosts_started: usize,
}

impl Deployment {
    /// Starts everything and registers it in the host list.
    pub fn start(options: &DeploymentOptions) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let engine_flags = as_strs(&options.engine_flags);
        let engines: Vec<Engine> = (0..options.engines)
            .map(|_| Engine::start(&engine_flags))
            .collect();
        let services: Vec<Service> = (0..options.services).map(|_| Service::start()).collect();
        let mut rows = small_table(
            upstreams(engines.iter().map(|e| e.address.as_str()), options),
            upstreams(services.iter().map(|s| s.address.as_str()), options),
        );
        for row in &options.extra_rows {
            rows.retain(|other| RowKey::of(other) != RowKey::of(row));
            rows.push(row.clone());
        }
        let table = directory.path().join("table.json");
        fs::write(&table, serde_json::to_string(&rows).unwrap()).unwrap();
        let mut platform_flags = as_strs(&options.platform_flags);
        platform_flags.extend(["--table", table.to_str().unwrap()]);
        let mut deployment = Deployment {
            platform: Platform::start(&platform_flags),
            engines,
            services,
            hosts: Vec::new(),
            data_centres: options.data_centres,
            entry_settings: options.entry_settings.clone(),
            directory,
            hosts_started: 0,
        };
        for index in 0..options.hosts {
            deployment.add_host(data_centre(index, options.data_centres));
        }
        deployment
    }

    /// Starts one more entry host and registers it; answers its index.
    pub fn add_host(&mut self, data_centre: DataCentre) -> usize {
        let host = format!("entry-{}", self.hosts_started);
        self.hosts_started += 1;
        let host = self.start_entry(host, data_centre, ANY_PORT);
        self.hosts.push(host);
        self.register_hosts();
        self.hosts.len() - 1
    }

    /// Kills an entry host and starts another, with a name of its own, at the same caller address.
    pub fn replace_host(&mut self, index: usize) {
        self.hosts[index].program.kill();
        self.succeed(index);
    }

    /// The same after the host has shut down gracefully, which must end with exit code 0.
    pub fn replace_host_gracefully(&mut self, index: usize) {
        let program = &mut self.hosts[index].program;
        program.terminate();
        let status = program.wait_exit(SHUTDOWN_WITHIN);
        assert!(
            status.is_some_and(|status| status.success()),
            "shutdown ended with {status:?}"
        );
        self.succeed(index);
    }

    fn succeed(&mut self, index: usize) {
        let name = format!("entry-{}", self.hosts_started);
        self.hosts_started += 1;
        let data_centre = self.hosts[index].data_centre.clone();
        let caller = self.hosts[index].caller.clone();
        self.hosts[index] = self.start_entry(name, data_centre, &caller);
        self.register_hosts();
    }

    /// Waits until every entry host is ready.
    pub fn wait_ready(&self) {
        for host in &self.hosts {
            let url = format!("http://{}/readyz", host.caller);
            let is_ready = || {
                http_agent()
                    .get(&url)
                    .call()
                    .is_ok_and(|a| a.status() == 200)
            };
            assert!(
                wait_until(READY_WITHIN, is_ready),
                "{} is not ready",
                host.host
            );
        }
    }

    /// Ends an entry host's process and takes the host off the list.
    pub fn remove_host(&mut self, index: usize) {
        let mut host = self.hosts.remove(index);
        host.program.kill();
        self.register_hosts();
    }

    /// Sets the platform's host list to what runs.
    pub fn register_hosts(&self) {
        let entries = self
            .hosts
            .iter()
            .map(|host| listed(&host.peer, HostKind::Entry, host.data_centre.clone()));
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            let data_centre = data_centre(index, self.data_centres);
            listed(&engine.address, HostKind::Upstream, data_centre)
        });
        let services = self.services.iter().enumerate().map(|(index, service)| {
            let data_centre = data_centre(index, self.data_centres);
            listed(&service.address, HostKind::Upstream, data_centre)
        });
        self.platform.set_hosts(&HostList {
            hosts: entries.chain(engines).chain(services).collect(),
        });
    }

    /// How often all engines together started the prompt that is counted under `key`.
    pub fn times_started(&self, key: &str) -> u64 {
        self.engines
            .iter()
            .filter_map(|engine| engine.counters().keys.get(key).copied())
            .map(|counters| counters.started)
            .sum()
    }

    /// Peer addresses of the running entry hosts of a data centre.
    fn peers_in(&self, data_centre: &DataCentre) -> Value {
        self.hosts
            .iter()
            .filter(|host| host.data_centre == *data_centre)
            .map(|host| host.peer.as_str())
            .collect()
    }

    fn start_entry(&self, host: String, data_centre: DataCentre, caller: &str) -> EntryHost {
        let mut settings = self.entry_settings.clone();
        settings["host"] = host.as_str().into();
        settings["data_centre"] = data_centre.as_str().into();
        settings["caller_address"] = caller.into();
        settings["peer_address"] = ANY_PORT.into();
        settings["platform_address"] = self.platform.address.as_str().into();
        settings["peers"] = self.peers_in(&data_centre);
        let path = self.directory.path().join(format!("{host}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let program = Program::start(
            "cedargauge-entry",
            ["--settings".as_ref(), path.as_os_str()],
        );
        EntryHost {
            caller: program.ready_value("caller").to_owned(),
            peer: program.ready_value("peer").to_owned(),
            program,
            host,
            data_centre,
        }
    }
}

fn data_centre(index: usize, data_centres: usize) -> DataCentre {
    DataCentre::new(format!("dc-{}", index % data_centres))
}

fn upstreams<'a>(
    addresses: impl Iterator<Item = &'a str>,
    options: &DeploymentOptions,
) -> Vec<UpstreamRow> {
    addresses
        .enumerate()
        .map(|(index, address)| UpstreamRow {
            upstream: UpstreamId::new(address),
            data_centre: data_centre(index, options.data_centres),
            checks_fence: true,
        })
        .collect()
}

fn listed(address: &str, kind: HostKind, data_centre: DataCentre) -> ListedHost {
    ListedHost {
        address: address.to_owned(),
        kind,
        data_centre,
        state: HostState::Live,
    }
}

fn as_strs(flags: &[String]) -> Vec<&str> {
    flags.iter().map(String::as_str).collect()
}
