//! The platform's stand-in as a process: its log, its host list and its faults.

mod tester;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::tester::Platform;
use crate::tester::get_json;
use crate::tester::http_agent;
use cedargauge::id::Offset;
use cedargauge::platform::AppendRequest;
use cedargauge::platform::HostKind;
use cedargauge::platform::HostList;
use cedargauge::platform::HostState;
use cedargauge::platform::ListedHost;
use cedargauge::platform::ReadAnswer;
use cedargauge::standin_outage::Outage;
use cedargauge::standin_outage::PlatformFault;

fn append_fails(platform: &Platform, record: &str) -> bool {
    let url = format!("http://{}/v1/streams/s/records", platform.address);
    let request = AppendRequest {
        records: vec![record.to_owned()],
    };
    match http_agent().post(&url).send_json(request) {
        Ok(answer) => !answer.status().is_success(),
        Err(_) => true,
    }
}

#[test]
fn a_batch_is_read_back_by_offset() {
    let platform = Platform::start(&[]);

    platform.append("s", &["a", "b"]);
    let second = platform.append("s", &["c"]);

    let read = platform.read("s", 1);
    let data: Vec<_> = read.records.iter().map(|r| r.data.as_str()).collect();
    assert_eq!(second.first_offset, Offset(2));
    assert_eq!(data, ["b", "c"]);
    assert_eq!(read.head, Offset(3));
}

#[test]
fn a_long_poll_ends_when_a_record_arrives() {
    let platform = Platform::start(&[]);
    let address = platform.address.clone();
    let start = Instant::now();

    let poll = thread::spawn(move || -> ReadAnswer {
        get_json(&address, "/v1/streams/s/records?from=0&wait_ms=20000")
    });
    platform.append("s", &["a"]);

    assert_eq!(poll.join().unwrap().records.len(), 1);
    assert!(start.elapsed() < Duration::from_secs(10));
}

#[test]
fn a_lost_answer_leaves_the_record_in_the_log() {
    let platform = Platform::start(&[]);
    let fault = PlatformFault::LoseAppendAnswers {
        count: 1,
        percent: 100,
    };

    platform.fault(&fault);
    let first_fails = append_fails(&platform, "lost");
    let second_fails = append_fails(&platform, "heard");

    assert!(first_fails);
    assert!(!second_fails);
    assert_eq!(platform.read("s", 0).records.len(), 2);
}

#[test]
fn an_outage_refuses_or_cuts_and_appends_nothing() {
    let platform = Platform::start(&[]);

    for outage in [Outage::Refuse, Outage::Reset] {
        platform.fault(&PlatformFault::Down { outage });
        assert!(append_fails(&platform, "never"));
    }
    platform.fault(&PlatformFault::Clear);

    assert!(platform.read("s", 0).records.is_empty());
}

#[test]
fn a_partition_silences_only_the_data_centre_that_is_cut_off() {
    let platform = Platform::start(&[]);
    let url = format!("http://{}/v1/hosts", platform.address);
    let call = |data_centre: &str| {
        http_agent()
            .get(&url)
            .config()
            .timeout_global(Some(Duration::from_millis(300)))
            .build()
            .header("x-data-centre", data_centre)
            .call()
            .is_ok()
    };

    platform.fault(&PlatformFault::Partition {
        data_centres: vec!["dc-1".into()],
    });

    assert!(call("dc-0"));
    assert!(!call("dc-1"));
    platform.fault(&PlatformFault::Clear);
    assert!(call("dc-1"));
}

#[test]
fn the_host_list_shows_changes_after_its_lag() {
    let platform = Platform::start(&[]);
    let list = HostList {
        hosts: vec![ListedHost {
            address: "127.0.0.1:1".to_owned(),
            kind: HostKind::Entry,
            data_centre: "dc-0".into(),
            state: HostState::Live,
        }],
    };

    platform.fault(&PlatformFault::ListLag { ms: 3_600_000 });
    platform.set_hosts(&list);

    let lagging: HostList = get_json(&platform.address, "/v1/hosts");
    platform.fault(&PlatformFault::ListLag { ms: 0 });
    let current: HostList = get_json(&platform.address, "/v1/hosts");
    assert!(lagging.hosts.is_empty());
    assert_eq!(current, list);
}

#[test]
fn appends_beyond_the_rate_are_refused() {
    let platform = Platform::start(&[]);

    platform.fault(&PlatformFault::AppendRate { per_s: 0.001 });
    let outcomes = [append_fails(&platform, "a"), append_fails(&platform, "b")];

    assert_eq!(outcomes, [false, true]);
    assert_eq!(platform.counters().refused, 1);
}
