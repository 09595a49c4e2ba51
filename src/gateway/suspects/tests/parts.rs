//! Tests of the evidence against parts of prompts, and a model of fleets in which parts crash engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::super::PartVerdict;
use super::super::Suspects;
use super::at;
use super::spread::Fleet;
use super::spread::STEP;
use super::upstream;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::id::ServiceId;

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&ServiceId::new("reports"), name)
}

/// A host at which requests with these parts crashed `crashes` upstreams, one per second.
fn with_part_crashes(parts: &[Fingerprint], crashes: usize) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..crashes {
        suspects.record_part_crashes(at(1_000 * number as u64), parts, &upstream(number));
    }
    suspects
}

fn verdict(suspects: &Suspects, now: Time, parts: &[Fingerprint]) -> Option<PartVerdict> {
    let assessment = suspects.assess_parts(now, parts);
    assessment.map(|assessment| assessment.verdict)
}

fn is_held_back(suspects: &Suspects, now: Time, parts: &[Fingerprint]) -> bool {
    matches!(
        verdict(suspects, now, parts),
        Some(PartVerdict::HeldBack(_))
    )
}

#[test]
fn requests_with_a_part_are_held_back_after_three_crashes_whatever_else_they_hold() {
    let mut suspects = Suspects::default();
    for number in 0..3 {
        let own = part(&format!("own-{number}"));
        let now = at(1_000 * number as u64);
        suspects.record_part_crashes(now, &[part("cause"), own], &upstream(number));
    }

    let with_cause = [part("first"), part("cause"), part("own")];
    assert!(is_held_back(&suspects, at(2_000), &with_cause));
    assert_eq!(verdict(&suspects, at(2_000), &[part("first")]), None);
}

#[test]
fn a_part_that_is_written_on_is_cleared_here_and_at_peers() {
    let parts = [part("first")];
    let mut suspects = with_part_crashes(&parts, 3);
    let mut other = with_part_crashes(&parts, 3);
    assert!(is_held_back(&other, at(2_000), &parts));

    suspects.record_sound(at(2_500), &parts);
    other.merge(at(2_501), &suspects.announce(at(2_501)));

    assert_eq!(verdict(&suspects, at(2_600), &parts), None);
    assert_eq!(verdict(&other, at(2_600), &parts), None);
}

#[test]
fn a_host_that_knows_a_part_as_sound_refutes_earlier_crashes() {
    let parts = [part("first")];
    let mut other = with_part_crashes(&parts, 3);
    let mut suspects = Suspects::default();

    suspects.record_sound(at(2_500), &parts);
    suspects.merge(at(2_501), &other.announce(at(2_501)));
    assert_eq!(verdict(&suspects, at(2_600), &parts), None);

    other.merge(at(2_502), &suspects.announce(at(2_502)));
    assert_eq!(verdict(&other, at(2_600), &parts), None);
}

#[test]
fn a_request_with_some_of_the_tied_parts_tells_them_apart() {
    let (cause, beside) = (part("cause"), part("beside"));
    let mut suspects = with_part_crashes(&[cause, beside], 3);
    let now = at(2_100);

    assert!(is_held_back(&suspects, now, &[cause, beside]));
    let assessment = suspects.assess_parts(now, &[beside]).unwrap();
    assert_eq!(assessment.verdict, PartVerdict::Probe);
    assert!(suspects.begin_probe(now, assessment.part));
    assert!(!suspects.begin_probe(now, assessment.part));

    suspects.record_sound(at(2_200), &[beside]);
    assert_eq!(verdict(&suspects, at(2_300), &[beside]), None);
    assert!(is_held_back(&suspects, at(2_300), &[cause]));
}

#[test]
fn a_part_is_tried_once_its_time_is_over() {
    let parts = [part("cause")];
    let suspects = with_part_crashes(&parts, 3);

    let due = at(17_000);

    assert_eq!(verdict(&suspects, due, &parts), Some(PartVerdict::Trial));
}

#[test]
fn parts_with_many_crashes_are_announced_before_others() {
    let mut suspects = with_part_crashes(&[part("cause")], 5);
    for number in 0..100 {
        let beside = part(&number.to_string());
        suspects.record_part_crashes(at(5_000), &[beside], &upstream(9));
    }

    let announced = suspects.announce(at(5_001));

    assert_eq!(announced[0].fingerprint, part("cause"));
}

/// Requests that arrive per second.
const REQUESTS_PER_S: f64 = 60.0;
/// Time from its arrival until an engine begins to write on a request.
const PROMPT_TIME: Duration = Duration::from_millis(300);
/// Time for which an engine writes before that proves anything.
const PROOF_TIME: Duration = Duration::from_millis(500);
/// Time until a host knows that its links are up, after a crash.
const CONFIRMATION_TIME: Duration = Duration::from_millis(100);
/// Time until a crashed engine is back.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Engines of a model.
const ENGINES: usize = 12;
/// First parts; each has as many second parts.
const BRANCHES: usize = 5;
/// Simulated time of a model.
const SIMULATED: Duration = Duration::from_secs(25);

/// Which parts crash engines.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// One second part.
    Second,
    /// Two second parts of one first part.
    TwoOfOne,
    /// Two second parts of different first parts.
    TwoApart,
    /// A first part.
    First,
}

impl Fault {
    /// The part of a request that crashes engines.
    fn deadly_part(self, first: usize, second: usize) -> Option<Fingerprint> {
        let is_deadly = match self {
            Fault::Second => (first, second) == (1, 2),
            Fault::TwoOfOne => first == 1 && matches!(second, 2 | 3),
            Fault::TwoApart => matches!((first, second), (1, 2) | (3, 0)),
            Fault::First => first == 1,
        };
        let name = match self {
            Fault::First => first_name(first),
            Fault::Second | Fault::TwoOfOne | Fault::TwoApart => second_name(first, second),
        };
        is_deadly.then(|| part(&name))
    }
}

fn first_name(first: usize) -> String {
    format!("first-{first}")
}

fn second_name(first: usize, second: usize) -> String {
    format!("second-{first}-{second}")
}

/// A request at an engine.
#[derive(Debug, Clone)]
struct Run {
    host: usize,
    engine: usize,
    parts: Vec<Fingerprint>,
    deadly_part: Option<Fingerprint>,
    begins_at: Time,
    is_proved: bool,
}

/// A fleet whose engines crash under some parts.
struct Model {
    fleet: Fleet,
    fault: Fault,
    runs: Vec<Run>,
    /// The instance at each engine's place, and from when it runs.
    engines: Vec<(usize, Time)>,
    instances: usize,
    /// When each engine crashed, and of which part.
    crashes: Vec<(Time, Fingerprint)>,
    /// Observations that hosts hold back until they are confirmed.
    unconfirmed: Vec<(Time, Run, usize)>,
    /// When each deadly request reached an engine, and its part.
    deadly_sent: Vec<(Time, Fingerprint)>,
    /// When each sound request arrived, and whether it was held back.
    sound: Vec<(Time, bool)>,
}

impl Model {
    fn new(fleet: Fleet, fault: Fault) -> Self {
        Model {
            fleet,
            fault,
            runs: Vec::new(),
            engines: (0..ENGINES).map(|engine| (engine, at(0))).collect(),
            instances: ENGINES,
            crashes: Vec::new(),
            unconfirmed: Vec::new(),
            deadly_sent: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut now = at(0);
        let steps = SIMULATED.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            now = now + STEP;
            self.confirm(now);
            let count = REQUESTS_PER_S * STEP.as_secs_f64();
            for _ in 0..count as usize {
                self.arrive(now);
            }
            self.write(now);
            (0..self.fleet.hosts.len()).for_each(|host| self.fleet.send_due(now, host));
        }
    }

    fn arrive(&mut self, now: Time) {
        let random = &mut self.fleet.random;
        // Some first parts are far more frequent than others.
        let first = random
            .random_range(0..BRANCHES)
            .min(random.random_range(0..BRANCHES));
        let second = random.random_range(0..BRANCHES);
        let own = random.next_u64();
        let host = random.random_range(0..self.fleet.hosts.len());
        let engine = random.random_range(0..ENGINES);
        let parts = vec![
            part(&first_name(first)),
            part(&second_name(first, second)),
            part(&format!("own-{own}")),
        ];
        let deadly_part = self.fault.deadly_part(first, second);
        let suspects = &mut self.fleet.hosts[host].suspects;
        let is_allowed = match suspects.assess_parts(now, &parts) {
            None => true,
            Some(assessment) => match assessment.verdict {
                PartVerdict::Probe => suspects.begin_probe(now, assessment.part),
                PartVerdict::Trial => suspects.begin_trial(now, assessment.part),
                PartVerdict::HeldBack(_) => false,
            },
        };
        if deadly_part.is_none() {
            self.sound.push((now, !is_allowed));
        }
        let (_, up_from) = self.engines[engine];
        if !is_allowed || now < up_from {
            return;
        }
        self.deadly_sent.extend(deadly_part.map(|part| (now, part)));
        self.runs.push(Run {
            host,
            engine,
            parts,
            deadly_part,
            begins_at: now + PROMPT_TIME,
            is_proved: false,
        });
    }

    /// Lets engines write, or crash.
    fn write(&mut self, now: Time) {
        let begun = self.runs.iter().filter(|run| run.begins_at <= now);
        let crashed = begun.filter_map(|run| Some((run.engine, run.deadly_part?)));
        let crashed: BTreeMap<usize, Fingerprint> = crashed.collect();
        for (engine, part) in crashed {
            self.crash(now, engine, part);
        }
        for run in &mut self.runs {
            if !run.is_proved && run.begins_at + PROOF_TIME <= now {
                run.is_proved = true;
                let suspects = &mut self.fleet.hosts[run.host].suspects;
                suspects.record_sound(run.begins_at, &run.parts);
            }
        }
        self.runs.retain(|run| !run.is_proved);
    }

    fn crash(&mut self, now: Time, engine: usize, part: Fingerprint) {
        let (instance, _) = self.engines[engine];
        self.crashes.push((now, part));
        self.engines[engine] = (self.instances, now + RESTART_TIME);
        self.instances += 1;
        let (ended, others): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.engine == engine);
        self.runs = others;
        let unconfirmed = ended.into_iter().map(|run| (now, run, instance));
        self.unconfirmed.extend(unconfirmed);
    }

    fn confirm(&mut self, now: Time) {
        let (confirmed, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition(|(crashed_at, _, _)| *crashed_at + CONFIRMATION_TIME <= now);
        self.unconfirmed = waiting;
        for (crashed_at, run, instance) in confirmed {
            let suspects = &mut self.fleet.hosts[run.host].suspects;
            suspects.record_part_crashes(crashed_at, &run.parts, &upstream(instance));
            self.fleet.announce_observed(now, run.host);
        }
    }

    /// The most requests with one part that reached engines later than 3 s after its fifth crash.
    fn late_deadly(&self) -> usize {
        let parts: BTreeSet<Fingerprint> = self.crashes.iter().map(|(_, part)| *part).collect();
        let late = parts.into_iter().filter_map(|part| {
            let mut crashes = self.crashes.iter().filter(|(_, of)| *of == part);
            let (fifth, _) = crashes.nth(4)?;
            let bound = *fifth + Duration::from_secs(3);
            let sent = self.deadly_sent.iter();
            Some(sent.filter(|(at, of)| *of == part && *at > bound).count())
        });
        late.max().unwrap_or(0)
    }

    /// Sound requests held back from 6 s after the fifth crash on, and all of that time.
    fn late_sound(&self) -> (usize, usize) {
        let fifth = self.crashes.get(4).map_or(at(0), |(at, _)| *at);
        let from = fifth + Duration::from_secs(6);
        let late = self.sound.iter().filter(|(at, _)| *at >= from);
        let held_back = late.clone().filter(|(_, is_held_back)| *is_held_back);
        (held_back.count(), late.count())
    }
}

#[test]
fn crashing_parts_are_held_back_in_time_and_sound_requests_are_not() {
    let mut failures = Vec::new();
    for (hosts, data_centres) in [(4, 1), (24, 3), (300, 5)] {
        for fault in [
            Fault::Second,
            Fault::TwoOfOne,
            Fault::TwoApart,
            Fault::First,
        ] {
            for seed in 0..3 {
                let mut model = Model::new(Fleet::start(hosts, data_centres, seed), fault);
                model.run();
                let late = model.late_deadly();
                let (held_back, sound) = model.late_sound();
                let outcome = format!(
                    "{hosts} hosts, {fault:?}, seed {seed}: {} crashes, {late} late, \
                     {held_back} of {sound} held back",
                    model.crashes.len()
                );
                println!("{outcome}");
                if late > 3 || held_back * 50 > sound {
                    failures.push(outcome);
                }
            }
        }
    }

    assert!(failures.is_empty(), "{failures:#?}");
}
