//! Owners among real processes: one is killed with a full queue, and all hosts of a data centre are
//! replaced one by one under load.

mod tester;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::tester::Deployment;
use crate::tester::DeploymentOptions;
use crate::tester::completion_request;
use crate::tester::get_json;
use crate::tester::http_agent;
use crate::tester::wait_until;
use cedargauge::id::HostId;
use cedargauge::standin::output_text;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::INSPECTION;
use cedargauge::status::HostStatus;

const BOUND: Duration = Duration::from_secs(60);
const TOKENS: u32 = 30;

fn deploy(engine_flags: &[&str]) -> Deployment {
    let deployment = Deployment::start(&DeploymentOptions {
        engines: 6,
        hosts: 3,
        engine_flags: engine_flags.iter().map(|flag| (*flag).to_owned()).collect(),
        entry_settings: json!({"shutdown": {"drain_accept_ms": 300}}),
        ..DeploymentOptions::default()
    });
    deployment.wait_ready();
    assert!(wait_until(BOUND, || sees_all(&deployment)));
    deployment
}

/// Whether every host knows of every other one.
fn sees_all(deployment: &Deployment) -> bool {
    let others = deployment.hosts.len() - 1;
    let mut hosts = deployment.hosts.iter();
    hosts.all(|host| {
        let status = status(&host.caller);
        let live = status
            .peers
            .iter()
            .filter(|peer| peer.state.name() == "live");
        live.count() == others && !status.upstreams.is_empty()
    })
}

fn status(caller: &str) -> HostStatus {
    get_json(caller, "/status")
}

/// The host that owns most engines, by its place in the deployment.
fn greatest_owner(deployment: &Deployment) -> usize {
    let mut owned: BTreeMap<HostId, usize> = BTreeMap::new();
    for upstream in status(&deployment.hosts[0].caller).upstreams {
        if upstream.service.as_str() == INSPECTION {
            *owned.entry(upstream.owner.expect("an owner")).or_default() += 1;
        }
    }
    let greatest = owned.into_iter().max_by_key(|(_, count)| *count);
    let (name, _) = greatest.expect("an owner");
    let mut hosts = deployment.hosts.iter();
    hosts
        .position(|host| host.host == name.as_str())
        .expect("the owner runs")
}

/// The answer's text, or what was said instead.
fn complete(caller: &str, prompt: &str) -> String {
    let answer = http_agent()
        .post(format!("http://{caller}/v1/completions"))
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .send_json(completion_request(INSPECTION, prompt, false));
    let body: Value = match answer {
        Ok(mut answer) => answer.body_mut().read_json().expect("JSON"),
        Err(error) => return error.to_string(),
    };
    let text = body["choices"][0]["text"].as_str();
    text.map_or_else(|| body.to_string(), str::to_owned)
}

/// Asks for an answer in the background; the handle tells what was wrong with it, if anything.
fn ask(caller: &str, prompt: String) -> JoinHandle<Option<String>> {
    let caller = caller.to_owned();
    thread::spawn(move || {
        let text = complete(&caller, &prompt);
        (text != output_text(&prompt, TOKENS)).then_some(text)
    })
}

#[test]
fn an_owner_killed_with_a_full_queue_loses_no_request_of_the_other_hosts() {
    let mut deployment = deploy(&["--memory-tokens", "2048"]);
    let victim = greatest_owner(&deployment);
    let callers: Vec<String> = (0..deployment.hosts.len())
        .filter(|index| *index != victim)
        .map(|index| deployment.hosts[index].caller.clone())
        .collect();

    let asked: Vec<JoinHandle<Option<String>>> = (0..80)
        .map(|n| {
            let prompt = format!("barrier {n} #tokens={TOKENS}");
            ask(&callers[n % callers.len()], prompt)
        })
        .collect();
    let queued = wait_until(BOUND, || {
        callers
            .iter()
            .any(|caller| status(caller).requests_waiting > 5)
    });
    deployment.remove_host(victim);
    let wrong: Vec<String> = asked
        .into_iter()
        .filter_map(|asked| asked.join().expect("an answer"))
        .collect();

    assert!(queued, "no queue built up");
    assert!(wrong.is_empty(), "{wrong:?}");
    let owners_moved = wait_until(BOUND, || {
        let upstreams = status(&callers[0]).upstreams;
        let owners = upstreams.iter().map(|upstream| upstream.owner.clone());
        let left = deployment.hosts.iter().map(|host| HostId::new(&*host.host));
        let left: Vec<HostId> = left.collect();
        owners.flatten().all(|owner| left.contains(&owner))
    });
    assert!(owners_moved);
}

/// Callers that go on asking whichever hosts the balancer offers.
struct Load {
    offered: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
    asked: Arc<AtomicU64>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(deployment: &Deployment, callers: usize) -> Self {
        let offered = deployment.hosts.iter().map(|host| host.caller.clone());
        let mut load = Load {
            offered: Arc::new(Mutex::new(offered.collect())),
            stop: Arc::default(),
            asked: Arc::default(),
            callers: Vec::new(),
        };
        load.callers = (0..callers).map(|caller| load.caller(caller)).collect();
        load
    }

    fn caller(&self, caller: usize) -> JoinHandle<Vec<String>> {
        let (offered, stop) = (self.offered.clone(), self.stop.clone());
        let asked = self.asked.clone();
        thread::spawn(move || {
            let mut wrong = Vec::new();
            let mut turn = caller;
            while !stop.load(Ordering::Relaxed) {
                turn += 1;
                let host = {
                    let offered = offered.lock().expect("the offered hosts");
                    offered[turn % offered.len()].clone()
                };
                let prompt = format!("caller {caller} turn {turn} #tokens={TOKENS}");
                let text = complete(&host, &prompt);
                if text != output_text(&prompt, TOKENS) {
                    wrong.push(format!("{host}: {text}"));
                }
                asked.fetch_add(1, Ordering::Relaxed);
            }
            wrong
        })
    }

    /// The balancer offers what runs, without the first host if that is about to leave.
    fn offer(&self, deployment: &Deployment, without_first: bool) {
        let hosts = deployment.hosts.iter().skip(usize::from(without_first));
        let hosts = hosts.map(|host| host.caller.clone()).collect();
        *self.offered.lock().expect("the offered hosts") = hosts;
    }

    fn wait_for_answers(&self, count: u64) {
        let goal = self.asked.load(Ordering::Relaxed) + count;
        assert!(wait_until(BOUND, || self.asked.load(Ordering::Relaxed) >= goal));
    }

    fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let callers = self.callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("a caller"))
            .collect()
    }
}

#[test]
fn all_hosts_of_a_data_centre_are_replaced_under_load_and_no_request_fails() {
    let mut deployment = deploy(&["--speed", "4"]);
    let data_centre = deployment.hosts[0].data_centre.clone();
    let load = Load::start(&deployment, 12);
    load.wait_for_answers(20);

    let mut exits = Vec::new();
    for _ in 0..3 {
        deployment.add_host(data_centre.clone());
        deployment.wait_ready();
        load.offer(&deployment, true);
        deployment.hosts[0].program.terminate();
        let exit = deployment.hosts[0].program.wait_exit(BOUND);
        exits.push(exit.map(|status| status.success()));
        deployment.hosts.remove(0);
        deployment.register_hosts();
        load.wait_for_answers(20);
    }
    let wrong = load.end();

    assert_eq!(exits, vec![Some(true); 3]);
    assert!(wrong.is_empty(), "{wrong:?}");
}
