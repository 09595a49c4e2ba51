//! Eight entry hosts in three data centres as processes: all serve, also while one is replaced.

mod tester;

use std::thread;

use serde_json::Value;

use crate::tester::Deployment;
use crate::tester::DeploymentOptions;
use crate::tester::completion_request;
use crate::tester::http_agent;
use cedargauge::standin::output_text;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::INSPECTION;

const HOSTS: usize = 8;
const TOKENS: u32 = 12;

fn deploy() -> Deployment {
    let deployment = Deployment::start(&DeploymentOptions {
        data_centres: 3,
        engines: 6,
        services: 3,
        hosts: HOSTS,
        engine_flags: vec!["--speed".to_owned(), "5".to_owned()],
        ..DeploymentOptions::default()
    });
    deployment.wait_ready();
    deployment
}

/// Asks every host at once and answers the hosts whose answer was not whole.
fn hosts_that_fail(deployment: &Deployment, round: u32) -> Vec<String> {
    let asked: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| {
            let (caller, name) = (host.caller.clone(), host.host.clone());
            thread::spawn(move || {
                let prompt = format!("{name} round {round} #tokens={TOKENS}");
                let text = complete(&caller, &prompt);
                (name, text == output_text(&prompt, TOKENS))
            })
        })
        .collect();
    asked
        .into_iter()
        .map(|asked| asked.join().expect("an answer"))
        .filter(|(_, is_whole)| !is_whole)
        .map(|(name, _)| name)
        .collect()
}

fn complete(caller: &str, prompt: &str) -> String {
    let mut answer = http_agent()
        .post(format!("http://{caller}/v1/completions"))
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .send_json(completion_request(INSPECTION, prompt, false))
        .expect("an answer");
    let body: Value = answer.body_mut().read_json().expect("JSON");
    let text = body["choices"][0]["text"].as_str();
    text.map_or_else(|| body.to_string(), str::to_owned)
}

#[test]
fn every_host_serves_also_after_one_is_replaced() {
    let mut deployment = deploy();
    let data_centre = deployment.hosts[0].data_centre.clone();

    let before = hosts_that_fail(&deployment, 1);
    deployment.remove_host(0);
    deployment.add_host(data_centre);
    deployment.wait_ready();
    let after = hosts_that_fail(&deployment, 2);

    assert!(before.is_empty(), "{before:?}");
    assert!(after.is_empty(), "{after:?}");
    assert_eq!(deployment.hosts.len(), HOSTS);
}
