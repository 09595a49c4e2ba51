//! Random interleavings of hosts, answers of the log, pauses, crashes and retention, by fixed
//! seeds: a key runs at most once, and a call that is told "did not run" did not.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Fate;
use super::Happened;
use super::What;
use super::World;
use super::won;
use cedargauge::claim::ClaimEnd;
use cedargauge::claim::Holding;
use cedargauge::claim::Summary;
use cedargauge::claimstep::ClaimAnswer;
use cedargauge::claimstep::ClaimOptionsBuilder;
use cedargauge::claimstep::Input;
use cedargauge::id::ClaimId;
use cedargauge::platform::ReadAnswer;
use cedargauge::refusal::Ran;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const SEEDS: u64 = 400;
const STEPS: usize = 400;
const DEADLINE_MS: u64 = 5_000;
const FRESH_KEY_MS: u64 = 500;

/// A world that chance drives, and what it has to hold.
struct Drive {
    world: World,
    rng: ChaCha8Rng,
    clocks_agree: bool,
    /// Claims that were won and neither sent nor given up.
    may_dispatch: Vec<ClaimId>,
    /// Claims that were sent and not concluded.
    running: Vec<ClaimId>,
    /// When a key was sent first, in wall-clock milliseconds.
    sent_ms: BTreeMap<String, u64>,
    told_not_run: Vec<ClaimId>,
    old_reads: Vec<(String, ReadAnswer)>,
    lost: usize,
}

impl Drive {
    fn new(seed: u64) -> Self {
        let mut world = World::new();
        world.options = ClaimOptionsBuilder::default()
            .window_ms(20_000_u64)
            .mark_interval_ms(4_000_u64)
            .build()
            .expect("must be there");
        let mut drive = Drive {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            clocks_agree: seed.is_multiple_of(2),
            may_dispatch: Vec::new(),
            running: Vec::new(),
            sent_ms: BTreeMap::new(),
            told_not_run: Vec::new(),
            old_reads: Vec::new(),
            lost: 0,
        };
        for host in HOSTS {
            drive.start(host);
        }
        drive
    }

    fn step(&mut self) {
        let host = HOSTS[self.rng.random_range(0..HOSTS.len())];
        match self.rng.random_range(0..100) {
            0..20 => self.ask(host),
            20..45 => self.append(host),
            45..70 => self.read(host),
            70..73 => self.read_again(),
            73..75 => self.world.arrive(host),
            75..83 => self.dispatch(),
            83..88 => self.conclude(),
            88..97 => self.advance(),
            97 => self.retain(),
            98 => self.world.log_is_up = !self.world.log_is_up,
            _ => self.kill(host),
        }
    }

    fn start(&mut self, host: &str) {
        let offset_ms = match self.clocks_agree {
            true => 0,
            false => self.rng.random_range(-4_000..=4_000),
        };
        self.world.start(host, offset_ms);
    }

    fn ask(&mut self, host: &str) {
        if self.world.keys.is_empty() || self.rng.random_ratio(1, 4) {
            let name = format!("k{}", self.world.keys.len());
            let age_ms = self.rng.random_range(-6_000..=12_000);
            let age_ms = if self.rng.random_ratio(1, 2) {
                0
            } else {
                age_ms
            };
            self.world.make_key(&name, age_ms);
        }
        let newest = self.world.keys.len();
        let key = self.rng.random_range(newest.saturating_sub(3)..newest);
        let (_, happened) = self.world.ask(host, &format!("k{key}"), DEADLINE_MS);
        self.check(&happened);
    }

    fn append(&mut self, host: &str) {
        let fate = match self.rng.random_range(0..10) {
            0 => Fate::Refused,
            1 => Fate::AnswerLost,
            2 => Fate::Dropped,
            3 => Fate::Late,
            4 => Fate::Doubled,
            _ => Fate::Settled,
        };
        let happened = self.world.append(host, fate);
        self.check(&happened);
    }

    fn read(&mut self, host: &str) {
        let mut read = self.world.read_answer(host);
        if self.rng.random_ratio(1, 4) {
            let count = read.records.len();
            read.records.truncate(self.rng.random_range(0..=count));
        }
        self.old_reads.push((host.to_owned(), read.clone()));
        let happened = self.world.step(host, Input::Read(read));
        self.check(&happened);
    }

    /// An answer arrives late, or again.
    fn read_again(&mut self) {
        if self.old_reads.is_empty() {
            return;
        }
        let first = self.old_reads.len().saturating_sub(8);
        let chosen = self.rng.random_range(first..self.old_reads.len());
        let (host, read) = self.old_reads[chosen].clone();
        let happened = self.world.step(&host, Input::Read(read));
        self.check(&happened);
    }

    /// A claimed request is sent, however long after it won, or given up.
    fn dispatch(&mut self) {
        if self.may_dispatch.is_empty() {
            return;
        }
        let chosen = self.rng.random_range(0..self.may_dispatch.len());
        let claim = self.may_dispatch.swap_remove(chosen);
        if self.rng.random_ratio(1, 4) {
            let happened = self.world.conclude(claim, ClaimEnd::Released);
            return self.check(&happened);
        }
        let key = self.world.claims[&claim].key.clone();
        self.world.dispatch(claim);
        assert_eq!(self.world.runs(&key), 1, "{key} ran twice");
        assert!(!self.told_not_run.contains(&claim));
        self.sent_ms.insert(key, self.world.wall_ms());
        self.running.push(claim);
    }

    fn conclude(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let chosen = self.rng.random_range(0..self.running.len());
        let claim = self.running.swap_remove(chosen);
        let end = match self.rng.random_ratio(1, 3) {
            true => ClaimEnd::Failed,
            false => ClaimEnd::Done(Summary::default()),
        };
        let happened = self.world.conclude(claim, end);
        self.check(&happened);
    }

    fn advance(&mut self) {
        let ms = match self.rng.random_range(0..20) {
            0 => 12_000,
            1..4 => 2_500,
            _ => 120,
        };
        let paused = HOSTS[self.rng.random_range(0..HOSTS.len())];
        let paused = self.rng.random_ratio(1, 2).then_some(paused);
        let happened = self.world.advance_but(ms, paused);
        self.check(&happened);
    }

    /// Retention drops anything, also what the window still needs.
    fn retain(&mut self) {
        let first = self.world.first_retained;
        self.world.first_retained = self.rng.random_range(first..=self.world.log.len());
    }

    /// The host dies and starts anew; an append under way may arrive all the same.
    fn kill(&mut self, host: &str) {
        let dead = self.world.hosts.remove(host).expect("must be there");
        self.start(host);
        let fresh = self.world.hosts.get_mut(host).expect("must be there");
        fresh.late = dead.late;
        fresh.late.extend(dead.append);
        let claims = &self.world.claims;
        self.may_dispatch.retain(|claim| claims[claim].host != host);
        self.running.retain(|claim| claims[claim].host != host);
        self.old_reads.retain(|(name, _)| name != host);
    }

    fn check(&mut self, happened: &[Happened]) {
        self.may_dispatch.extend(won(happened));
        for it in happened {
            if let What::Answers(claim, answer) = &it.what {
                self.check_answer(*claim, answer);
            }
        }
    }

    fn check_answer(&mut self, claim: ClaimId, answer: &ClaimAnswer) {
        let claimed = &self.world.claims[&claim];
        match answer {
            ClaimAnswer::Won => assert!(!self.told_not_run.contains(&claim)),
            ClaimAnswer::Lost(Holding::Held) => self.lost += 1,
            ClaimAnswer::Lost(_) => assert_eq!(self.world.runs(&claimed.key), 1),
            ClaimAnswer::Refused(refusal) if refusal.ran == Ran::No => {
                assert!(!self.world.dispatched.contains(&claim));
                let created_ms = claimed.claim_key.key.created_ms();
                let was_fresh = claimed.asked_ms.abs_diff(created_ms) <= FRESH_KEY_MS;
                if self.clocks_agree && !was_fresh {
                    let sent_ms = self.sent_ms.get(&claimed.key);
                    let sent_before = sent_ms.is_some_and(|sent_ms| *sent_ms < claimed.asked_ms);
                    assert!(!sent_before, "{} ran before it was asked for", claimed.key);
                }
                self.told_not_run.push(claim);
            }
            ClaimAnswer::Refused(_) => {}
        }
    }

    /// Once nothing fails any more, a new request runs.
    fn heal(&mut self) {
        self.world.log_is_up = true;
        self.exchange();
        // A host that found nothing in the log takes no key made until the clocks agree on it.
        self.world.advance(20_000);
        self.exchange();
        self.world.make_key("last", 0);
        let (claim, mut happened) = self.world.ask("a", "last", DEADLINE_MS);
        happened.extend(self.exchange());
        assert!(won(&happened).contains(&claim), "{happened:?}");
    }

    /// Every host appends and reads all it wants.
    fn exchange(&mut self) -> Vec<Happened> {
        let mut happened = Vec::new();
        for host in HOSTS.repeat(3) {
            happened.extend(self.world.append(host, Fate::Settled));
            happened.extend(self.world.read(host));
            happened.extend(self.world.advance(600));
        }
        happened
    }
}

#[test]
fn a_key_runs_at_most_once_and_no_refusal_is_false() {
    let mut ran = 0;
    let mut lost = 0;

    for seed in 0..SEEDS {
        let mut drive = Drive::new(seed);
        for _ in 0..STEPS {
            drive.step();
        }
        drive.heal();
        ran += drive.world.dispatched.len();
        lost += drive.lost;
    }

    println!("{ran} requests ran, {lost} repeats were told that the key is held");
    assert!(ran > 1_000);
    assert!(lost > 1_000);
}
