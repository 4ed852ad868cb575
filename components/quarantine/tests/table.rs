//! Which requests are refused, whatever the order in which VMs learn of crashes. The tests use
//! simulated time and no network.

use std::time::{Duration, Instant};

use proptest::prelude::{Strategy, any, prop, proptest};
use quarantine::{
    Crash, CrashCursor, LifetimeHash, LifetimeId, Quarantine, RequestDigest, RequestParts, Rules,
    Suspect,
};

const RULES: Rules = Rules { crashes: 3, duration: Duration::from_secs(600) };
/// Time after which a peer has received a change: one heartbeat and its transmission.
const PROPAGATION: Duration = Duration::from_millis(250);

fn digest(number: usize) -> Suspect {
    let path = format!("/{number}");
    let digest = RequestDigest::of(&RequestParts {
        method: "POST",
        host: "h",
        path: &path,
        customer: None,
        body: b"",
    });
    Suspect::Request(digest)
}

fn vm() -> Quarantine {
    Quarantine::new(RULES)
}

/// The first lifetime with a hash.
fn lifetime(lifetime_hash: u64) -> LifetimeId {
    LifetimeId { lifetime_hash: LifetimeHash(lifetime_hash), ends_before: 0 }
}

/// Crashes a target during one request.
fn crash(
    vm: &mut Quarantine,
    request_digest: Suspect,
    lifetime_hash: u64,
    now: Instant,
) -> Vec<Crash> {
    vm.connection_lost(vec![request_digest], lifetime(lifetime_hash), now);
    vm.lifetime_ended(lifetime(lifetime_hash), now)
}

/// Sends one VM all changes of another one.
fn send_changes(to: &mut Quarantine, from: &Quarantine, now: Instant) {
    to.merge(&from.changes_after(CrashCursor::default()).0, now);
}

#[test]
fn request_is_refused_after_three_crashes_and_not_after_two() {
    let (mut vm, fatal, now) = (vm(), digest(0), Instant::now());

    crash(&mut vm, fatal, 1, now);
    crash(&mut vm, fatal, 2, now);
    let after_two = vm.refused_for(&fatal, now);
    crash(&mut vm, fatal, 2, now);
    let same_again = vm.refused_for(&fatal, now);
    crash(&mut vm, fatal, 3, now);

    assert_eq!((after_two, same_again), (None, None));
    assert_eq!(vm.refused_for(&fatal, now), Some(RULES.duration));
    assert_eq!(vm.refused_for(&digest(1), now), None);
}

#[test]
fn lost_connection_alone_is_not_a_crash() {
    let (mut vm, request, now) = (vm(), digest(0), Instant::now());

    (1..=5)
        .for_each(|lifetime_hash| vm.connection_lost(vec![request], lifetime(lifetime_hash), now));

    assert_eq!(vm.refused_for(&request, now), None);
    assert!(vm.changes_after(CrashCursor::default()).0.is_empty());
    let late = now + Duration::from_secs(7);
    assert!(
        vm.lifetime_ended(lifetime(1), late).is_empty(),
        "the target ended long after the connection was lost"
    );
}

#[test]
fn vms_that_saw_one_crash_each_refuse_the_request_after_exchanging_them() {
    let (fatal, now) = (digest(0), Instant::now());
    let mut vms = [vm(), vm(), vm()];
    for (number, vm) in (1..).zip(&mut vms) {
        crash(vm, fatal, number, now);
    }

    // The VMs are linked in a chain: the first learns of the third through the second.
    let [first, second, third] = &mut vms;
    send_changes(second, third, now);
    send_changes(first, second, now);
    send_changes(second, first, now);
    send_changes(third, second, now);

    assert!(vms.iter().all(|vm| vm.refused_for(&fatal, now).is_some()));
}

#[test]
fn target_that_accepts_requests_after_its_end_is_another_lifetime() {
    let (mut vm, mut peer, fatal, now) = (vm(), vm(), digest(0), Instant::now());

    for _ in 0..3 {
        let sent_to = vm.current_lifetime(LifetimeHash(7));
        vm.connection_lost(vec![fatal], sent_to, now);
        vm.connection_lost(vec![fatal], sent_to, now);
        vm.lifetime_ended(sent_to, now);
    }
    send_changes(&mut peer, &vm, now);

    assert!(vm.refused_for(&fatal, now).is_some());
    assert!(peer.refused_for(&fatal, now).is_some());
    assert_eq!(peer.current_lifetime(LifetimeHash(7)).ends_before, 3);
}

#[test]
fn completion_at_any_vm_clears_a_bystander() {
    let (bystander, now) = (digest(0), Instant::now());
    let (mut one, mut other) = (vm(), vm());
    (1..=3).for_each(|lifetime| drop(crash(&mut one, bystander, lifetime, now)));
    assert!(one.refused_for(&bystander, now).is_some());
    send_changes(&mut other, &one, now);

    other.survived(bystander, now);
    send_changes(&mut one, &other, now);
    // The store, or a VM that did not learn of the completion, reports a crash again.
    let again = Crash { suspect: bystander, lifetime: lifetime(2), cleared: false, at: Some(now) };
    one.merge(&[again], now);

    assert_eq!(one.refused_for(&bystander, now), None);
    assert_eq!(other.refused_for(&bystander, now), None);
}

#[test]
fn recently_completed_request_is_not_refused_when_many_targets_crash() {
    let (mut vm, bystander, now) = (vm(), digest(0), Instant::now());
    vm.survived(bystander, now);

    let later = now + Duration::from_secs(5);
    (1..=8).for_each(|lifetime| drop(crash(&mut vm, bystander, lifetime, later)));
    let spared = vm.refused_for(&bystander, later);
    let much_later = now + Duration::from_secs(60);
    (11..=13).for_each(|lifetime| drop(crash(&mut vm, bystander, lifetime, much_later)));

    assert_eq!(spared, None);
    assert!(vm.refused_for(&bystander, much_later).is_some(), "its completion was long ago");
}

#[test]
fn request_is_kept_while_it_is_retried_and_then_removed() {
    let (mut vm, fatal, now) = (vm(), digest(0), Instant::now());
    (1..=3).for_each(|lifetime| drop(crash(&mut vm, fatal, lifetime, now)));

    let before_end = now + RULES.duration - Duration::from_secs(1);
    vm.record_refusal(&[fatal], before_end);
    let later = now + RULES.duration + Duration::from_secs(1);
    vm.remove_expired(later);
    let still = vm.refused_for(&fatal, later);
    let over = before_end + RULES.duration + Duration::from_secs(1);
    vm.remove_expired(over);

    assert!(still.is_some());
    assert_eq!(vm.refused_for(&fatal, over), None);
    assert!(vm.changes_after(CrashCursor::default()).0.is_empty());
}

#[test]
fn changes_after_a_cursor_are_only_the_new_ones() {
    let (mut vm, fatal, now) = (vm(), digest(0), Instant::now());
    crash(&mut vm, fatal, 1, now);

    let (first, cursor) = vm.changes_after(CrashCursor::default());
    let (nothing, cursor) = vm.changes_after(cursor);
    crash(&mut vm, fatal, 2, now);
    let (second, _) = vm.changes_after(cursor);

    assert_eq!((first.len(), nothing.len(), second.len()), (1, 0, 1));
}

#[test]
fn many_suspects_do_not_evict_a_refused_request() {
    let (mut vm, fatal, now) = (vm(), digest(0), Instant::now());
    (1..=3).for_each(|lifetime| drop(crash(&mut vm, fatal, lifetime, now)));

    for number in 1..5000 {
        let at = now + Duration::from_millis(number as u64);
        crash(&mut vm, digest(number), 100 + number as u64, at);
    }

    assert!(vm.refused_for(&fatal, now).is_some());
    assert!(vm.suspect_count() <= 1024);
}

/// One event in a fleet: (kind, VM, request, target).
type Step = (u8, usize, usize, usize);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((any::<u8>(), 0..5usize, 0..6usize, 0..4usize), 1..120)
}

/// Five VMs, linked in a ring, and four targets. Request 0 crashes whatever target runs it. The
/// others fail if they are in progress at that target and complete otherwise.
struct Fleet {
    vms: Vec<Quarantine>,
    /// Number of restarts of each target.
    restarts: [u64; 4],
    /// VM, request and target of each request in progress.
    in_progress: Vec<(usize, Suspect, usize)>,
    now: Instant,
    crashes: usize,
    /// Sends of request 0 by a VM that had enough time to learn of its third crash.
    late_sends: usize,
    third_crash: Option<Instant>,
    refused_others: usize,
}

impl Fleet {
    fn new() -> Self {
        Fleet {
            vms: (0..5).map(|_| vm()).collect(),
            restarts: [0; 4],
            in_progress: Vec::new(),
            now: Instant::now(),
            crashes: 0,
            late_sends: 0,
            third_crash: None,
            refused_others: 0,
        }
    }

    fn lifetime(&self, target: usize) -> LifetimeId {
        lifetime(target as u64 * 1000 + self.restarts[target])
    }

    fn step(&mut self, (kind, vm, request, target): Step) {
        match kind % 4 {
            0 | 1 => self.send(vm, request, target),
            2 => self.complete_requests(target),
            _ => self.heartbeat(),
        }
    }

    fn send(&mut self, vm: usize, request: usize, target: usize) {
        let request_digest = digest(request);
        if self.vms[vm].refused_for(&request_digest, self.now).is_some() {
            self.refused_others += usize::from(request != 0);
            return;
        }
        self.in_progress.push((vm, request_digest, target));
        if request == 0 {
            // A change travels half round the ring and needs one heartbeat per link.
            let is_known = self.third_crash.is_some_and(|at| self.now > at + PROPAGATION * 3);
            self.late_sends += usize::from(is_known);
            self.crash_target(target);
        }
    }

    /// Crashes a target: the connections of all requests in progress there are lost, and their VMs
    /// learn of its end.
    fn crash_target(&mut self, target: usize) {
        let lifetime = self.lifetime(target);
        let (ended, others) = self.in_progress.drain(..).partition(|(_, _, at)| *at == target);
        self.in_progress = others;
        let ended: Vec<(usize, Suspect, usize)> = ended;
        for (vm, request_digest, _) in &ended {
            self.vms[*vm].connection_lost(vec![*request_digest], lifetime, self.now);
        }
        for (vm, _, _) in &ended {
            self.vms[*vm].lifetime_ended(lifetime, self.now);
        }
        self.restarts[target] += 1;
        self.crashes += 1;
        if self.crashes == RULES.crashes {
            self.third_crash = Some(self.now);
        }
    }

    /// Completes all requests in progress at a target.
    fn complete_requests(&mut self, target: usize) {
        let (done, others) = self.in_progress.drain(..).partition(|(_, _, at)| *at == target);
        self.in_progress = others;
        let done: Vec<(usize, Suspect, usize)> = done;
        for (vm, request_digest, _) in done {
            self.vms[vm].survived(request_digest, self.now);
        }
    }

    /// One heartbeat: each VM sends all its changes to both neighbors.
    fn heartbeat(&mut self) {
        self.now += PROPAGATION;
        let changes: Vec<Vec<Crash>> =
            self.vms.iter().map(|vm| vm.changes_after(CrashCursor::default()).0).collect();
        let count = self.vms.len();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            vm.merge(&changes[(index + 1) % count], self.now);
            vm.merge(&changes[(index + count - 1) % count], self.now);
        }
    }
}

proptest! {
    #[test]
    fn no_vm_sends_a_request_after_learning_of_its_third_crash(steps in steps()) {
        let mut fleet = Fleet::new();

        steps.into_iter().for_each(|step| fleet.step(step));

        assert_eq!(fleet.late_sends, 0, "sends of request 0 after {} crashes", fleet.crashes);
    }

    #[test]
    fn merging_crashes_does_not_depend_on_order(
        reports in prop::collection::vec((0..3usize, 0..6u64, any::<bool>()), 0..40),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let crashes: Vec<Crash> = reports
            .iter()
            .map(|(number, lifetime_hash, cleared)| Crash {
                suspect: digest(*number),
                lifetime: lifetime(*lifetime_hash),
                cleared: *cleared,
                at: Some(now),
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
            let refused = one.refused_for(&digest(number), now);
            assert_eq!(refused, other.refused_for(&digest(number), now));
            assert_eq!(refused, third.refused_for(&digest(number), now));
        }
    }
}
