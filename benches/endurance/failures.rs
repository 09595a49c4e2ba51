//! The failures, each at a share of the requests that have ended, and some of them together.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::tester::Deployment;
use cedargauge::id::DataCentre;
use cedargauge::standin_faults::EngineFault;
use cedargauge::standin_outage::Outage;
use cedargauge::standin_outage::PlatformFault;
use cedargauge::standin_service::ServiceFault;

const POLL: Duration = Duration::from_millis(50);

/// A failure, with the length of those that end by themselves.
#[derive(Debug, Clone, Copy)]
enum Failure {
    KillHost(usize),
    TerminateHost(usize),
    FreezeHost(usize, Duration),
    LogDown(Duration),
    LoseAppendAnswers(u32),
    SlowPlatform(Duration),
    CutOff(usize, Duration),
    StallLinks(usize),
    ResetAfterStart(usize),
    RefuseAttempts(usize),
    ResetAfterRun(usize),
}

/// What happens, and at which permille of the requests.
const PLAN: [(usize, Failure); 18] = [
    (40, Failure::KillHost(0)),
    (90, Failure::LoseAppendAnswers(20)),
    (140, Failure::LogDown(Duration::from_secs(6))),
    (200, Failure::StallLinks(0)),
    (240, Failure::FreezeHost(1, Duration::from_secs(5))),
    (300, Failure::ResetAfterStart(1)),
    (330, Failure::ResetAfterRun(0)),
    (380, Failure::CutOff(1, Duration::from_secs(10))),
    (400, Failure::KillHost(4)),
    (460, Failure::TerminateHost(2)),
    (500, Failure::RefuseAttempts(2)),
    (540, Failure::SlowPlatform(Duration::from_secs(8))),
    (560, Failure::LoseAppendAnswers(20)),
    (580, Failure::KillHost(3)),
    (640, Failure::KillHost(5)),
    (700, Failure::LogDown(Duration::from_secs(3))),
    (705, Failure::FreezeHost(6, Duration::from_secs(8))),
    (800, Failure::TerminateHost(7)),
];

/// Brings about every failure of the plan as `ended` counts up to `requests`.
pub fn run(deployment: &mut Deployment, requests: usize, ended: impl Fn() -> usize) {
    let start = Instant::now();
    for (permille, failure) in PLAN {
        while ended() * 1_000 < requests * permille {
            thread::sleep(POLL);
        }
        println!("{:>6.1} s  {failure:?}", start.elapsed().as_secs_f64());
        bring_about(deployment, failure);
    }
}

fn bring_about(deployment: &mut Deployment, failure: Failure) {
    match failure {
        Failure::KillHost(host) => deployment.replace_host(host),
        Failure::TerminateHost(host) => deployment.replace_host_gracefully(host),
        Failure::FreezeHost(host, length) => freeze(deployment, host, length),
        Failure::LogDown(length) => {
            let down = PlatformFault::Down {
                outage: Outage::Refuse,
            };
            platform_fault(deployment, &down, length);
        }
        Failure::LoseAppendAnswers(count) => {
            deployment
                .platform
                .fault(&PlatformFault::LoseAppendAnswers {
                    count,
                    percent: 100,
                });
        }
        Failure::SlowPlatform(length) => {
            platform_fault(deployment, &PlatformFault::Slow { ms: 800 }, length);
        }
        Failure::CutOff(data_centre, length) => {
            let data_centres = vec![DataCentre::new(format!("dc-{data_centre}"))];
            platform_fault(
                deployment,
                &PlatformFault::Partition { data_centres },
                length,
            );
        }
        Failure::StallLinks(engine) => {
            deployment.engines[engine].fault(&EngineFault::StallLinks { ms: 4_000 });
        }
        Failure::ResetAfterStart(engine) => {
            deployment.engines[engine].fault(&EngineFault::ResetAfterStart { count: 20 });
        }
        Failure::RefuseAttempts(engine) => {
            deployment.engines[engine].fault(&EngineFault::Refuse {
                count: 20,
                reason: cedargauge::wire::EngineRefusalReason::QueueFull,
            });
        }
        Failure::ResetAfterRun(service) => {
            deployment.services[service].fault(&ServiceFault::ResetAfterRun { count: 20 });
        }
    }
}

fn freeze(deployment: &Deployment, host: usize, length: Duration) {
    deployment.hosts[host].program.freeze();
    thread::sleep(length);
    deployment.hosts[host].program.thaw();
}

fn platform_fault(deployment: &Deployment, fault: &PlatformFault, length: Duration) {
    deployment.platform.fault(fault);
    thread::sleep(length);
    deployment.platform.fault(&PlatformFault::Clear);
}
