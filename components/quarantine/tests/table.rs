//! Who is refused, whatever the order in which VMs hear of it; no network, time as it is given.

use std::time::{Duration, Instant};

use proptest::prelude::{Strategy, any, prop, proptest};
use quarantine::{Birth, Crash, Cursor, Lifetime, Quarantine, RequestDigest, RequestParts, Rules};

const RULES: Rules = Rules { crashes: 3, duration: Duration::from_secs(600) };
/// Time within which peers hear of each other's changes: a heartbeat and its way.
const HEARD: Duration = Duration::from_millis(250);

fn content(number: usize) -> RequestDigest {
    let path = format!("/{number}");
    RequestDigest::of(&RequestParts {
        method: "POST",
        host: "h",
        path: &path,
        customer: None,
        body: b"",
    })
}

fn vm() -> Quarantine {
    Quarantine::new(RULES)
}

/// The first lifetime of a birth.
fn lifetime(birth: u64) -> Lifetime {
    Lifetime { birth: Birth(birth), ends_before: 0 }
}

/// A target ends under one request.
fn crash(vm: &mut Quarantine, of: RequestDigest, birth: u64, now: Instant) -> Vec<Crash> {
    vm.connection_lost(of, lifetime(birth), now);
    vm.lifetime_ended(lifetime(birth), now)
}

/// Tells one VM all that another one knows.
fn tell(to: &mut Quarantine, from: &Quarantine, now: Instant) {
    to.merge(&from.changes_after(Cursor::default()).0, now);
}

#[test]
fn three_targets_are_enough_and_two_are_not() {
    let (mut vm, fatal, now) = (vm(), content(0), Instant::now());

    crash(&mut vm, fatal, 1, now);
    crash(&mut vm, fatal, 2, now);
    let after_two = vm.refused_for(&fatal, now);
    crash(&mut vm, fatal, 2, now);
    let same_again = vm.refused_for(&fatal, now);
    crash(&mut vm, fatal, 3, now);

    assert_eq!((after_two, same_again), (None, None));
    assert_eq!(vm.refused_for(&fatal, now), Some(RULES.duration));
    assert_eq!(vm.refused_for(&content(1), now), None);
}

#[test]
fn a_broken_connection_alone_is_no_crash() {
    let (mut vm, cut, now) = (vm(), content(0), Instant::now());

    (1..=5).for_each(|birth| vm.connection_lost(cut, lifetime(birth), now));

    assert_eq!(vm.refused_for(&cut, now), None);
    assert!(vm.changes_after(Cursor::default()).0.is_empty());
    let late = now + Duration::from_secs(7);
    assert!(
        vm.lifetime_ended(lifetime(1), late).is_empty(),
        "it ended long after it broke off the answer"
    );
}

#[test]
fn three_vms_that_saw_one_end_each_refuse_it_once_they_have_told_each_other() {
    let (fatal, now) = (content(0), Instant::now());
    let mut vms = [vm(), vm(), vm()];
    for (number, vm) in (1..).zip(&mut vms) {
        crash(vm, fatal, number, now);
    }

    // A chain of links: the first hears of the last by way of the second.
    let [first, second, third] = &mut vms;
    tell(second, third, now);
    tell(first, second, now);
    tell(second, first, now);
    tell(third, second, now);

    assert!(vms.iter().all(|vm| vm.refused_for(&fatal, now).is_some()));
}

#[test]
fn a_target_that_takes_work_after_its_end_is_another_lifetime() {
    let (mut vm, mut peer, fatal, now) = (vm(), vm(), content(0), Instant::now());

    for _ in 0..3 {
        let sent_to = vm.current_lifetime(Birth(7));
        vm.connection_lost(fatal, sent_to, now);
        vm.connection_lost(fatal, sent_to, now);
        vm.lifetime_ended(sent_to, now);
    }
    tell(&mut peer, &vm, now);

    assert!(vm.refused_for(&fatal, now).is_some());
    assert!(peer.refused_for(&fatal, now).is_some());
    assert_eq!(peer.current_lifetime(Birth(7)).ends_before, 3);
}

#[test]
fn a_good_end_anywhere_clears_what_was_at_work_beside_it() {
    let (hot, now) = (content(0), Instant::now());
    let (mut one, mut other) = (vm(), vm());
    (1..=3).for_each(|lifetime| drop(crash(&mut one, hot, lifetime, now)));
    assert!(one.refused_for(&hot, now).is_some());
    tell(&mut other, &one, now);

    other.request_completed(hot, now);
    tell(&mut one, &other, now);
    // The store, or a VM that did not hear of it, tells of them once more.
    one.merge(&[Crash { digest: hot, lifetime: lifetime(2), cleared: false }], now);

    assert_eq!(one.refused_for(&hot, now), None);
    assert_eq!(other.refused_for(&hot, now), None);
}

#[test]
fn a_request_that_ends_well_all_the_time_is_spared_when_many_targets_end_at_once() {
    let (mut vm, hot, now) = (vm(), content(0), Instant::now());
    vm.request_completed(hot, now);

    let later = now + Duration::from_secs(5);
    (1..=8).for_each(|lifetime| drop(crash(&mut vm, hot, lifetime, later)));
    let spared = vm.refused_for(&hot, later);
    let much_later = now + Duration::from_secs(60);
    (11..=13).for_each(|lifetime| drop(crash(&mut vm, hot, lifetime, much_later)));

    assert_eq!(spared, None);
    assert!(vm.refused_for(&hot, much_later).is_some(), "it ended well long ago");
}

#[test]
fn a_request_is_kept_for_as_long_as_it_returns_and_then_forgotten() {
    let (mut vm, fatal, now) = (vm(), content(0), Instant::now());
    (1..=3).for_each(|lifetime| drop(crash(&mut vm, fatal, lifetime, now)));

    let before_end = now + RULES.duration - Duration::from_secs(1);
    vm.note_refusal(&fatal, before_end);
    let kept = now + RULES.duration + Duration::from_secs(1);
    vm.remove_expired(kept);
    let still = vm.refused_for(&fatal, kept);
    let over = before_end + RULES.duration + Duration::from_secs(1);
    vm.remove_expired(over);

    assert!(still.is_some());
    assert_eq!(vm.refused_for(&fatal, over), None);
    assert!(vm.changes_after(Cursor::default()).0.is_empty());
}

#[test]
fn what_a_peer_was_told_is_not_told_again_until_something_is_new() {
    let (mut vm, fatal, now) = (vm(), content(0), Instant::now());
    crash(&mut vm, fatal, 1, now);

    let (first, told) = vm.changes_after(Cursor::default());
    let (nothing, told) = vm.changes_after(told);
    crash(&mut vm, fatal, 2, now);
    let (second, _) = vm.changes_after(told);

    assert_eq!((first.len(), nothing.len(), second.len()), (1, 0, 1));
}

#[test]
fn a_flood_of_suspects_pushes_no_refused_request_out() {
    let (mut vm, fatal, now) = (vm(), content(0), Instant::now());
    (1..=3).for_each(|lifetime| drop(crash(&mut vm, fatal, lifetime, now)));

    for number in 1..5000 {
        let at = now + Duration::from_millis(number as u64);
        crash(&mut vm, content(number), 100 + number as u64, at);
    }

    assert!(vm.refused_for(&fatal, now).is_some());
    assert!(vm.suspect_count() <= 1024);
}

/// What happens next in a fleet: (what, VM, request, target).
type Step = (u8, usize, usize, usize);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((any::<u8>(), 0..5usize, 0..6usize, 0..4usize), 1..120)
}

/// A fleet of five VMs on a ring before four targets; request 0 ends whatever runs it, the others end with
/// it when they are at work there and else end well.
struct Fleet {
    vms: Vec<Quarantine>,
    /// Births of the targets so far.
    births: [u64; 4],
    at_work: Vec<(usize, RequestDigest, usize)>,
    now: Instant,
    crashes: usize,
    /// Sends of request 0 by a VM that had had time to hear of its third end.
    late_sends: usize,
    third_end: Option<Instant>,
    refused_others: usize,
}

impl Fleet {
    fn new() -> Self {
        Fleet {
            vms: (0..5).map(|_| vm()).collect(),
            births: [0; 4],
            at_work: Vec::new(),
            now: Instant::now(),
            crashes: 0,
            late_sends: 0,
            third_end: None,
            refused_others: 0,
        }
    }

    fn lifetime(&self, target: usize) -> Lifetime {
        lifetime(target as u64 * 1000 + self.births[target])
    }

    fn step(&mut self, (what, vm, request, target): Step) {
        match what % 4 {
            0 | 1 => self.send(vm, request, target),
            2 => self.finish(target),
            _ => self.beat(),
        }
    }

    fn send(&mut self, vm: usize, request: usize, target: usize) {
        let of = content(request);
        if self.vms[vm].refused_for(&of, self.now).is_some() {
            self.refused_others += usize::from(request != 0);
            return;
        }
        self.at_work.push((vm, of, target));
        if request == 0 {
            // Word goes half round the ring, a heartbeat for each link.
            let heard = self.third_end.is_some_and(|at| self.now > at + HEARD * 3);
            self.late_sends += usize::from(heard);
            self.end(target);
        }
    }

    fn end(&mut self, target: usize) {
        let lifetime = self.lifetime(target);
        let (ended, others) = self.at_work.drain(..).partition(|(_, _, at)| *at == target);
        self.at_work = others;
        let ended: Vec<(usize, RequestDigest, usize)> = ended;
        for (vm, of, _) in &ended {
            self.vms[*vm].connection_lost(*of, lifetime, self.now);
        }
        for (vm, _, _) in &ended {
            self.vms[*vm].lifetime_ended(lifetime, self.now);
        }
        self.births[target] += 1;
        self.crashes += 1;
        if self.crashes == RULES.crashes {
            self.third_end = Some(self.now);
        }
    }

    /// What is at work at a target ends well.
    fn finish(&mut self, target: usize) {
        let (done, others) = self.at_work.drain(..).partition(|(_, _, at)| *at == target);
        self.at_work = others;
        let done: Vec<(usize, RequestDigest, usize)> = done;
        for (vm, of, _) in done {
            self.vms[vm].request_completed(of, self.now);
        }
    }

    /// A heartbeat: each VM tells both neighbours all that it knows.
    fn beat(&mut self) {
        self.now += HEARD;
        let told: Vec<Vec<Crash>> =
            self.vms.iter().map(|vm| vm.changes_after(Cursor::default()).0).collect();
        let count = self.vms.len();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            vm.merge(&told[(index + 1) % count], self.now);
            vm.merge(&told[(index + count - 1) % count], self.now);
        }
    }
}

proptest! {
    #[test]
    fn once_the_word_is_out_nothing_reaches_a_target(steps in steps()) {
        let mut fleet = Fleet::new();

        steps.into_iter().for_each(|step| fleet.step(step));

        assert_eq!(fleet.late_sends, 0, "{} ended", fleet.crashes);
    }

    #[test]
    fn in_whatever_order_it_is_told_the_same_comes_out(
        told in prop::collection::vec((0..3usize, 0..6u64, any::<bool>()), 0..40),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let crashes: Vec<Crash> = told
            .iter()
            .map(|(of, birth, cleared)| Crash {
                digest: content(*of),
                lifetime: lifetime(*birth),
                cleared: *cleared,
            })
            .collect();
        let mut shuffled = crashes.clone();
        for index in (1..shuffled.len()).rev() {
            let other = (seed.rotate_left(index as u32) % (index as u64 + 1)) as usize;
            shuffled.swap(index, other);
        }
        let (mut one, mut other) = (vm(), vm());

        one.merge(&crashes, now);
        crashes.iter().for_each(|crash| drop(other.merge(&[*crash], now)));
        let mut third = vm();
        third.merge(&shuffled, now);
        third.merge(&shuffled, now);

        for number in 0..3 {
            let refused = one.refused_for(&content(number), now);
            assert_eq!(refused, other.refused_for(&content(number), now));
            assert_eq!(refused, third.refused_for(&content(number), now));
        }
    }
}
