//! Parts of prompts in fleets of three sizes, in which VMs are linked to a few others, and on days
//! on which engines end for other reasons. Simulated time, no network.

use std::time::{Duration, Instant};

use quarantine::{
    CrashCursor, LifetimeHash, LifetimeId, Quarantine, RequestDigest, RequestParts, Rules, Suspect,
};

const RULES: Rules = Rules { crashes: 3, duration: Duration::from_secs(600) };
/// The part that all requests share.
const SHARED: Suspect = Suspect::PromptPart(1);
/// The part that crashes engines.
const FATAL: Suspect = Suspect::PromptPart(2);
/// First id of the parts that only some requests have.
const FIRST_RARE: u64 = 100;
/// Simulated time between two exchanges over links.
const TICK: Duration = Duration::from_millis(5);
/// Links of each VM.
const LINKS: usize = 8;
/// Time within which all VMs must know a part.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from the start of a request to the crash of its engine.
const CRASH_DELAY: Duration = Duration::from_millis(80);
/// Time for which an engine is down.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Time from the start of a sound request until its engine has survived it.
const SURVIVAL: Duration = Duration::from_millis(400);

fn request(number: u64) -> Suspect {
    let body = number.to_le_bytes();
    let parts = RequestParts { method: "POST", host: "h", path: "/", customer: None, body: &body };
    Suspect::Request(RequestDigest::of(&parts))
}

/// A pseudorandom sequence.
struct Draws(u64);

impl Draws {
    fn below(&mut self, count: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) as usize % count.max(1)
    }
}

/// A request that an engine runs.
struct Running {
    vm: usize,
    engine: usize,
    suspects: Vec<Suspect>,
    is_fatal: bool,
    started: Instant,
}

struct Fleet {
    vms: Vec<Quarantine>,
    /// Links of each VM, with what was already sent on each.
    links: Vec<Vec<(usize, CrashCursor)>>,
    /// Lifetimes of each engine so far, and until when it is down.
    engines: Vec<(u64, Option<Instant>)>,
    running: Vec<Running>,
    draws: Draws,
    now: Instant,
    requests: u64,
    /// When each crash came.
    crashes: Vec<Instant>,
    /// When a request with the fatal part reached an engine.
    reached: Vec<Instant>,
    /// When a sound request was refused.
    sound_refused: Vec<Instant>,
    /// Changes that VMs told each other.
    told: usize,
}

impl Fleet {
    fn new(vms: usize, engines: usize, seed: u64) -> Self {
        let mut draws = Draws(seed);
        let mut links = vec![Vec::new(); vms];
        let mut link = |one: usize, other: usize| {
            let is_known = links[one].iter().any(|(linked, _)| *linked == other);
            if one != other && !is_known {
                links[one].push((other, CrashCursor::default()));
                links[other].push((one, CrashCursor::default()));
            }
        };
        for vm in 0..vms {
            link(vm, (vm + 1) % vms);
            (0..LINKS / 2 - 1).for_each(|_| link(vm, draws.below(vms)));
        }
        Fleet {
            vms: (0..vms).map(|_| Quarantine::new(RULES)).collect(),
            links,
            engines: vec![(0, None); engines],
            running: Vec::new(),
            draws,
            now: Instant::now(),
            requests: 0,
            crashes: Vec::new(),
            reached: Vec::new(),
            sound_refused: Vec::new(),
            told: 0,
        }
    }

    fn lifetime(&self, engine: usize) -> LifetimeId {
        let number = engine as u64 * 1_000_000 + self.engines[engine].0;
        LifetimeId { lifetime_hash: LifetimeHash(number), ends_before: 0 }
    }

    /// Sends a new request with these parts from a random VM to a random engine that is up.
    fn send(&mut self, parts: &[Suspect], is_fatal: bool) {
        let vm = self.draws.below(self.vms.len());
        self.requests += 1;
        let suspects: Vec<Suspect> =
            [request(self.requests)].into_iter().chain(parts.iter().copied()).collect();
        if self.vms[vm].refusal(&suspects, self.now).is_some() {
            if !is_fatal {
                self.sound_refused.push(self.now);
            }
            return;
        }
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|engine| self.engines[*engine].1.is_none()).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.draws.below(up.len())];
        if is_fatal {
            self.reached.push(self.now);
        }
        self.running.push(Running { vm, engine, suspects, is_fatal, started: self.now });
    }

    /// Ends an engine: all requests on it break off at their VMs.
    fn end_engine(&mut self, engine: usize) {
        let lifetime = self.lifetime(engine);
        let broken: Vec<Running> =
            self.running.extract_if(.., |running| running.engine == engine).collect();
        for running in &broken {
            self.vms[running.vm].connection_lost(running.suspects.clone(), lifetime, self.now);
        }
        for running in &broken {
            self.vms[running.vm].lifetime_ended(lifetime, self.now);
        }
        self.engines[engine].0 += 1;
        self.engines[engine].1 = Some(self.now + DOWNTIME);
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        for (_, down_until) in &mut self.engines {
            *down_until = down_until.filter(|until| *until > now);
        }
        let crashing: Vec<usize> = self
            .running
            .iter()
            .filter(|running| running.is_fatal && now >= running.started + CRASH_DELAY)
            .map(|running| running.engine)
            .collect();
        for engine in crashing {
            if self.engines[engine].1.is_none() {
                self.crashes.push(now);
                self.end_engine(engine);
            }
        }
        let survived: Vec<Running> =
            self.running.extract_if(.., |running| now >= running.started + SURVIVAL).collect();
        for running in survived {
            for suspect in running.suspects {
                self.vms[running.vm].survived(suspect, now);
            }
        }
        self.exchange();
    }

    /// Each VM sends its linked peers what it has not sent them yet.
    fn exchange(&mut self) {
        let mut messages = Vec::new();
        for (vm, links) in self.links.iter_mut().enumerate() {
            for (peer, cursor) in links {
                let (changes, up_to) = self.vms[vm].changes_after(*cursor);
                *cursor = up_to;
                if !changes.is_empty() {
                    messages.push((*peer, changes));
                }
            }
        }
        for (peer, changes) in messages {
            self.told += changes.len();
            self.vms[peer].merge(&changes, self.now);
        }
    }

    fn run(&mut self, time: Duration, per_tick: impl Fn(&mut Fleet, u32)) {
        let ticks = u32::try_from(time.as_millis() / TICK.as_millis()).unwrap_or(u32::MAX);
        for tick in 0..ticks {
            per_tick(self, tick);
            self.tick();
        }
    }
}

/// Sends a sound request every 25 ms: the shared part and one of ten rare ones.
fn send_sound(fleet: &mut Fleet, tick: u32) {
    if tick.is_multiple_of(5) {
        let rare = Suspect::PromptPart(FIRST_RARE + fleet.draws.below(10) as u64);
        fleet.send(&[SHARED, rare], false);
    }
}

#[test]
fn a_fatal_part_is_known_in_time_in_fleets_of_all_sizes() {
    for (vms, engines) in [(7, 9), (83, 40), (985, 200)] {
        let mut fleet = Fleet::new(vms, engines, vms as u64);
        fleet.run(Duration::from_secs(1), send_sound);

        fleet.run(Duration::from_secs(5), |fleet, tick| {
            send_sound(fleet, tick);
            if tick.is_multiple_of(10) {
                fleet.send(&[SHARED, FATAL], true);
            }
        });

        let fifth = *fleet.crashes.get(4).or(fleet.crashes.last()).unwrap_or(&fleet.now);
        let later = fleet.reached.iter().filter(|at| **at > fifth + CONTACT).count();
        let refused = fleet.sound_refused.iter().filter(|at| **at > fifth + CONTACT).count();
        println!(
            "{vms} VMs: {} crashes, {} sent, {} sound ones refused",
            fleet.crashes.len(),
            fleet.reached.len(),
            fleet.sound_refused.len()
        );
        assert!(later <= 3, "{vms} VMs: {later} reached engines later");
        assert_eq!(refused, 0, "{vms} VMs: sound requests refused");
    }
}

/// Days on which up to three engines of nine end at the same moment, six times a day.
const DAYS: u64 = 60;

#[test]
fn no_part_is_refused_for_engines_that_end_for_other_reasons() {
    for day in 0..DAYS {
        let mut fleet = Fleet::new(7, 9, day);
        fleet.run(Duration::from_secs(20), |fleet, tick| {
            send_sound(fleet, tick);
            if tick % 600 == 599 {
                let count = 1 + fleet.draws.below(3);
                let first = fleet.draws.below(9);
                (first..first + count).for_each(|engine| fleet.end_engine(engine % 9));
            }
        });

        let refused: Vec<String> = fleet
            .vms
            .iter()
            .flat_map(|vm| vm.refused(fleet.now))
            .map(|refused| refused.suspect.to_string())
            .collect();
        assert!(refused.is_empty(), "day {day}: {refused:?}");
        assert!(fleet.sound_refused.is_empty(), "day {day}");
    }
}

/// Engines that end at the same moment.
const ENDED_ENGINES: usize = 400;

/// Guards against crashes that VMs tell each other without end: a part that some VM survived was
/// present when many engines ended.
#[test]
fn vms_stop_exchanging_crashes_after_many_engines_ended_under_a_sound_part() {
    let mut fleet = Fleet::new(7, ENDED_ENGINES, 1);
    let now = fleet.now;
    fleet.vms[0].survived(SHARED, now);
    for engine in 0..ENDED_ENGINES {
        let lifetime = fleet.lifetime(engine);
        let vm = 1 + engine % 6;
        fleet.vms[vm].connection_lost(vec![SHARED], lifetime, now);
        fleet.vms[vm].lifetime_ended(lifetime, now);
    }

    (0..50).for_each(|_| fleet.exchange());
    let told_before = fleet.told;
    (0..50).for_each(|_| fleet.exchange());

    println!("{told_before} told, then {}", fleet.told - told_before);
    assert_eq!(fleet.told, told_before, "changes are still told");
    assert!(fleet.vms.iter().all(|vm| vm.refused_for(&SHARED, now).is_none()));
}

/// Engines that end at the same moment, each under parts of its own.
const ENGINES_WITH_PARTS: usize = 50;
/// Parts of the requests at each of them.
const PARTS_PER_ENGINE: usize = 40;

/// Ends engines at the same moment, under more parts than a VM keeps.
fn end_engines_under_many_parts(fleet: &mut Fleet) {
    let (vms, now) = (fleet.vms.len(), fleet.now);
    for engine in 0..ENGINES_WITH_PARTS {
        let lifetime = fleet.lifetime(engine);
        let first = FIRST_RARE + (engine * PARTS_PER_ENGINE) as u64;
        let parts = (first..first + PARTS_PER_ENGINE as u64).map(Suspect::PromptPart);
        let vm = &mut fleet.vms[engine % vms];
        vm.connection_lost(parts.collect(), lifetime, now);
        vm.lifetime_ended(lifetime, now);
    }
}

fn exchange_for(fleet: &mut Fleet, ticks: u32) {
    for _ in 0..ticks {
        fleet.now += TICK;
        fleet.exchange();
    }
}

/// Guards against VMs that tell each other without end of more suspects than they keep.
#[test]
fn vms_stop_exchanging_crashes_when_more_parts_are_suspect_than_are_kept() {
    let mut fleet = Fleet::new(7, ENGINES_WITH_PARTS, 1);
    end_engines_under_many_parts(&mut fleet);

    exchange_for(&mut fleet, 15);
    let told_before = fleet.told;
    exchange_for(&mut fleet, 15);

    println!("{told_before} changes told, then {}", fleet.told - told_before);
    assert_eq!(fleet.told, told_before, "changes are still told");
}

#[test]
fn all_vms_hear_of_a_fatal_part_while_more_parts_are_suspect_than_are_kept() {
    let mut fleet = Fleet::new(24, ENGINES_WITH_PARTS + 3, 1);
    end_engines_under_many_parts(&mut fleet);
    exchange_for(&mut fleet, 15);

    for number in 0..3 {
        let lifetime = fleet.lifetime(ENGINES_WITH_PARTS + number);
        let (vm, now) = (&mut fleet.vms[number * 8], fleet.now);
        vm.connection_lost(vec![FATAL], lifetime, now);
        vm.lifetime_ended(lifetime, now);
    }
    exchange_for(&mut fleet, 10);

    let refusing = fleet.vms.iter().filter(|vm| vm.refused_for(&FATAL, fleet.now).is_some());
    assert_eq!(refusing.count(), 24);
}
