//! The queue of a pool and the calls under way.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use doors::calls::PieceAnswer;
use ids::{HallName, TargetName};
use intent::{PoolSpec, Target};
use slotmap::SlotMap;

use crate::maker::{Maker, MakerKey};
use crate::results::Results;
use crate::submission::{Call, CallEnd, CallKey, Finished, JobKey, Made, Order, Submission};

/// Most times that a piece is tried.
const PIECE_TRIES: u32 = 4;
/// A call that takes this many times what was expected is given up and its pieces go elsewhere.
const PATIENCE: f64 = 2.5;
/// The same, beside the factor.
const PATIENCE_EXTRA: Duration = Duration::from_millis(250);
/// Slack that a piece seems to have more for each rank of less urgency.
const BY_URGENCY: Duration = Duration::from_millis(150);
/// Part of a call's time that a piece waits for a maker in the hall of its inputs.
const NEAR_WAIT: f64 = 0.8;
/// Weight of a new call in the learned number of pieces.
const PIECES_WEIGHT: f64 = 0.2;
/// With a part of the makers busy, the wait for a free one grows with this power of the part.
const NEXT_FREE_POWER: i32 = 2;
/// Least part of the room that is used, however often a maker had none.
const LEAST_ROOM_PART: f64 = 0.6;
/// By this the part falls when a maker had no room for a result.
const ROOM_FALL: f64 = 0.03;
/// By this it rises with each call that found room: one in ten without is borne.
const ROOM_RISE: f64 = 0.003;
/// Room is scarce at a maker of which more than this part is used: the rest holds the results of two
/// full calls on the pools seen so far.
const SCARCE_PART: f64 = 0.5;
/// Time beside the transfer itself within which a target begins a call and has fetched its inputs:
/// many times the way between halls.
const FETCH_EXTRA: Duration = Duration::from_millis(40);
/// An input crosses the link of its maker and that of the target that fetches it.
const FETCH_LINKS: f64 = 2.0;
/// Figures of a pool are taken to be no less than this, so that no division is by nothing.
const LEAST_TIME: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Job {
    submission: Submission,
    since: Instant,
    left: usize,
    /// Pieces whose target has not fetched the inputs yet.
    unfetched: usize,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    job: JobKey,
    piece: u32,
    tries: u32,
    /// Whether its target has fetched the inputs.
    fetched: bool,
}

#[derive(Debug)]
struct UnderWay {
    maker: MakerKey,
    pieces: Vec<Waiting>,
    began: Instant,
    expected: Duration,
    bytes: u64,
}

/// A pool as its owner sees it.
#[derive(Debug)]
pub struct Pool {
    spec: PoolSpec,
    order: Order,
    makers: SlotMap<MakerKey, Maker>,
    by_id: HashMap<TargetName, MakerKey>,
    jobs: SlotMap<JobKey, Job>,
    calls: SlotMap<CallKey, UnderWay>,
    waiting: Vec<Waiting>,
    results: Results,
    orphans: Vec<String>,
    /// Pieces in a call, as last seen.
    usual_pieces: f64,
    /// Part of the makers' room that may be used: how large results are is known about only, so
    /// that it is learned from those that found none.
    room_part: f64,
    /// Halls that are out of reach.
    out_halls: BTreeSet<HallName>,
}

impl Pool {
    /// A pool with no makers and nothing to do.
    pub fn new(spec: PoolSpec, order: Order) -> Self {
        Pool {
            spec,
            order,
            makers: SlotMap::with_key(),
            by_id: HashMap::new(),
            jobs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            waiting: Vec::new(),
            results: Results::default(),
            orphans: Vec::new(),
            usual_pieces: 1.0,
            room_part: 1.0,
            out_halls: BTreeSet::new(),
        }
    }

    /// Takes new figures.
    pub fn set_spec(&mut self, spec: PoolSpec) {
        self.spec = spec;
    }

    /// Takes the targets of the pool as they are now.
    pub fn set_makers<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        let mut gone: HashMap<TargetName, MakerKey> = self.by_id.clone();
        for target in targets {
            gone.remove(&target.id);
            match self.by_id.get(&target.id).and_then(|key| self.makers.get_mut(*key)) {
                Some(maker) => maker.target = target.clone(),
                None => {
                    let key = self.makers.insert(Maker::new(target.clone()));
                    self.by_id.insert(target.id.clone(), key);
                }
            }
        }
        for (id, key) in gone {
            self.drop_maker(&id, key);
        }
    }

    /// Halls are out of reach, or within it again: their makers are not called.
    pub fn set_out_halls(&mut self, out: BTreeSet<HallName>) {
        self.out_halls = out;
    }

    /// Submissions of which pieces wait.
    pub fn waiting_submissions(&self) -> impl Iterator<Item = (JobKey, &Submission)> {
        let mut jobs: Vec<JobKey> = self.waiting.iter().map(|waiting| waiting.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.into_iter().filter_map(|job| Some((job, self.submission(job)?)))
    }

    /// Ends a submission whose inputs are out of reach; gives its waiting pieces.
    pub fn inputs_gone(&mut self, job: JobKey) -> Vec<Finished> {
        let (gone, left) = self.waiting.iter().partition(|waiting| waiting.job == job);
        self.waiting = left;
        let gone: Vec<Waiting> = gone;
        gone.iter().filter_map(|waiting| self.finish(waiting, Made::Gone)).collect()
    }

    /// Whether nothing waits and no call is under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.calls.is_empty()
    }

    /// Takes pieces.
    pub fn submit(&mut self, submission: Submission, now: Instant) -> JobKey {
        let pieces = submission.pieces.clone();
        let (left, unfetched) = (pieces.len(), pieces.len());
        let job = self.jobs.insert(Job { submission, since: now, left, unfetched });
        let waiting = |piece| Waiting { job, piece, tries: 0, fetched: false };
        self.waiting.extend(pieces.into_iter().map(waiting));
        job
    }

    /// Forgets a submission that nobody waits for. Pieces at work end by themselves.
    pub fn cancel(&mut self, job: JobKey) {
        self.jobs.remove(job);
        self.waiting.retain(|waiting| waiting.job != job);
    }

    /// The submission, while it is not done.
    pub fn submission(&self, job: JobKey) -> Option<&Submission> {
        self.jobs.get(job).map(|job| &job.submission)
    }

    /// Gives up results; tells which target has to be told of which handles.
    pub fn release(&mut self, handles: Vec<String>) -> Vec<(Target, Vec<String>)> {
        let mut by_maker: HashMap<MakerKey, Vec<String>> = HashMap::new();
        for handle in handles {
            if let Some((key, bytes)) = self.results.remove(&handle) {
                self.free_room(key, bytes);
                by_maker.entry(key).or_default().push(handle);
            }
        }
        let told = |(key, handles)| Some((self.makers.get(key)?.target.clone(), handles));
        by_maker.into_iter().filter_map(told).collect()
    }

    /// Gives up results if their makers' room is scarce, or once it is: they are needed again only
    /// if what is being made of them fails.
    pub fn release_if_scarce(&mut self, handles: &[String]) {
        let makers: Vec<MakerKey> =
            handles.iter().filter_map(|handle| self.results.set_spare(handle)).collect();
        makers.into_iter().for_each(|maker| self.reclaim(maker));
    }

    /// Gives up what a maker's room is too scarce to keep.
    fn reclaim(&mut self, key: MakerKey) {
        let scarce = (self.spec.room_bytes as f64 * SCARCE_PART) as u64;
        if self.makers.get(key).is_some_and(|maker| maker.room_used > scarce) {
            self.orphans.extend(self.results.spare_of(key));
        }
    }

    /// Gives up results that are to be given up though no request says so: those made after nobody
    /// waited for them any more, and those for which room is too scarce.
    pub fn release_orphans(&mut self) -> Vec<(Target, Vec<String>)> {
        let orphans = std::mem::take(&mut self.orphans);
        self.release(orphans)
    }

    /// The next call to make now, if a maker is free and something waits for it.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        self.expire(now);
        if self.waiting.is_empty() {
            return None;
        }
        self.sort(now);
        let mut free: Vec<MakerKey> = self
            .makers
            .iter()
            .filter(|(_, maker)| self.may_work(maker, self.spec.at_once.max(1), now))
            .map(|(key, _)| key)
            .collect();
        // Whoever failed last is asked after all others.
        free.sort_by(|a, b| {
            let (a, b) = (&self.makers[*a], &self.makers[*b]);
            a.doubtful().cmp(&b.doubtful()).then(a.pace.total_cmp(&b.pace))
        });
        let (maker, pieces) = self.best_fill(&free, now)?;
        Some(self.begin(maker, pieces, now))
    }

    /// When a piece that is held back may go to any maker, or a maker may work again.
    pub fn next_look(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        let rests = self.makers.values().filter_map(Maker::rests_until).filter(|at| *at > now);
        let held = self.waiting.iter().filter_map(|waiting| self.held_until(waiting, now));
        rests.chain(held).min()
    }

    /// The target of a call has fetched its inputs; gives the submissions that need theirs no more.
    pub fn fetched(&mut self, key: CallKey) -> Vec<JobKey> {
        let Some(call) = self.calls.get_mut(key) else { return Vec::new() };
        let mut over = Vec::new();
        for waiting in call.pieces.iter_mut().filter(|waiting| !waiting.fetched) {
            waiting.fetched = true;
            let Some(job) = self.jobs.get_mut(waiting.job) else { continue };
            job.unfetched -= 1;
            if job.unfetched == 0 && !job.submission.inputs.is_empty() {
                over.push(waiting.job);
            }
        }
        over
    }

    /// Takes the end of a call; gives the pieces that are done.
    pub fn call_ended(&mut self, key: CallKey, end: CallEnd, now: Instant) -> Vec<Finished> {
        let Some(call) = self.calls.remove(key) else { return Vec::new() };
        let took = now.saturating_duration_since(call.began);
        self.free_room(call.maker, call.bytes);
        if let Some(maker) = self.makers.get_mut(call.maker) {
            maker.at_work = maker.at_work.saturating_sub(1);
            match end {
                CallEnd::Answered(_) => maker.answered(took, call.expected),
                CallEnd::Full => maker.was_full(now),
                CallEnd::TargetGone | CallEnd::Failed => maker.failed(now),
                CallEnd::OutOfReach => {}
            }
        }
        match end {
            CallEnd::Answered(answers) => self.answered(&call, answers, now),
            CallEnd::Full | CallEnd::OutOfReach => self.try_again(call.pieces, 0),
            CallEnd::TargetGone | CallEnd::Failed => self.try_again(call.pieces, 1),
        }
    }

    /// Pieces that the pool makes in a second with full calls, as far as its makers' room allows.
    pub fn rate(&self, now: Instant) -> f64 {
        let able = self.makers.values().filter(|m| self.may_work(m, u32::MAX, now)).count();
        let largest = self.jobs.values().map(|job| job.submission.result_bytes).max().unwrap_or(0);
        // Half of the room holds results that wait to be used.
        let by_room = (self.spec.room_bytes / 2).checked_div(largest);
        let by_room = by_room.map_or(usize::MAX, |count| usize::try_from(count).unwrap_or(1));
        let full = self.spec.batch.min(by_room).max(1) as f64;
        let time = self.spec.call.as_secs_f64() + full * self.spec.piece.as_secs_f64();
        able as f64 * f64::from(self.spec.at_once.max(1)) * full
            / time.max(LEAST_TIME.as_secs_f64())
    }

    /// Expected time from handing a piece to a pool with no queue to its result: half of what is
    /// at work, and its own call.
    pub fn turn(&self) -> Duration {
        let busy = self.makers.values().filter(|maker| maker.at_work > 0).count() as f64;
        let of_all = busy / self.makers.len().max(1) as f64;
        let next_free = self.spec.call.mul_f64(of_all.powi(NEXT_FREE_POWER) / 2.0);
        next_free + self.spec.call + self.spec.piece.mul_f64(self.usual_pieces)
    }

    /// Pieces that wait and can still be in time.
    pub fn queue(&self, now: Instant) -> usize {
        let in_time = |waiting: &&Waiting| {
            self.jobs.get(waiting.job).is_some_and(|j| j.submission.due > now + self.spec.call)
        };
        self.waiting.iter().filter(in_time).count()
    }

    fn may_work(&self, maker: &Maker, at_once: u32, now: Instant) -> bool {
        maker.may_work(at_once, now) && !self.out_halls.contains(&maker.target.hall)
    }

    fn drop_maker(&mut self, id: &TargetName, key: MakerKey) {
        self.by_id.remove(id);
        self.makers.remove(key);
        self.results.drop_maker(key);
    }

    fn free_room(&mut self, key: MakerKey, bytes: u64) {
        if let Some(maker) = self.makers.get_mut(key) {
            maker.room_used = maker.room_used.saturating_sub(bytes);
        }
    }

    fn expire(&mut self, now: Instant) {
        for (key, bytes) in self.results.expire(now) {
            self.free_room(key, bytes);
        }
    }

    /// Pieces that can still be in time go first, by slack; late ones follow.
    fn sort(&mut self, now: Instant) {
        if self.order == Order::Arrival {
            return;
        }
        let soonest = now + self.spec.call;
        let jobs = &self.jobs;
        self.waiting.sort_by_key(|waiting| {
            let due = jobs
                .get(waiting.job)
                .map(|job| job.submission.due + BY_URGENCY * u32::from(job.submission.urgency));
            (due.is_some_and(|due| due < soonest), due, waiting.job, waiting.piece)
        });
    }

    /// The maker and pieces of the call that begins with the first piece that some maker may take.
    fn best_fill(&self, free: &[MakerKey], now: Instant) -> Option<(MakerKey, Vec<usize>)> {
        for (index, waiting) in self.waiting.iter().enumerate() {
            let held = self.held_until(waiting, now).is_some();
            let near = self.jobs.get(waiting.job).and_then(|job| job.submission.near.as_ref());
            let is_near = |key: &&MakerKey| {
                let maker = &self.makers[**key];
                near == Some(&maker.target.hall) && !maker.doubtful()
            };
            let maker = match free.iter().find(is_near) {
                Some(maker) => Some(maker),
                None if held => None,
                None => free.first(),
            };
            let Some(maker) = maker else { continue };
            let pieces = self.fill(*maker, index, now);
            if !pieces.is_empty() {
                return Some((*maker, pieces));
            }
        }
        None
    }

    /// Pieces from `first` on that the maker may take, up to a whole call and its room.
    fn fill(&self, key: MakerKey, first: usize, now: Instant) -> Vec<usize> {
        let maker = &self.makers[key];
        // One piece is enough to learn whether a maker that failed is back.
        let most = if maker.doubtful() { 1 } else { self.spec.batch };
        let mut room = self.usable_room(maker);
        let mut taken = Vec::new();
        for (index, waiting) in self.waiting.iter().enumerate().skip(first) {
            if taken.len() == most {
                break;
            }
            let Some(job) = self.jobs.get(waiting.job) else { continue };
            let near = job.submission.near.as_ref();
            let elsewhere = near.is_some_and(|hall| *hall != maker.target.hall);
            if elsewhere && self.held_until(waiting, now).is_some() {
                continue;
            }
            if job.submission.result_bytes <= room {
                room -= job.submission.result_bytes;
                taken.push(index);
            }
        }
        taken
    }

    /// Room that may be used at a maker; one that holds nothing may take a result of any size.
    fn usable_room(&self, maker: &Maker) -> u64 {
        if maker.room_used == 0 {
            return self.spec.room_bytes;
        }
        let usable = (self.spec.room_bytes as f64 * self.room_part) as u64;
        usable.saturating_sub(maker.room_used)
    }

    /// Until when a piece waits for a maker near its inputs rather than take any.
    fn held_until(&self, waiting: &Waiting, now: Instant) -> Option<Instant> {
        let job = self.jobs.get(waiting.job)?;
        let near = job.submission.near.as_ref()?;
        if self.order == Order::Arrival
            || self.out_halls.contains(near)
            || !self.makers.values().any(|m| m.target.hall == *near && !m.doubtful())
        {
            return None;
        }
        let patience = self.spec.call.mul_f64(NEAR_WAIT);
        let by_slack = job.submission.due.checked_sub(self.spec.call * 2)?;
        let until = (job.since + patience).min(by_slack);
        (until > now).then_some(until)
    }

    fn begin(&mut self, key: MakerKey, indexes: Vec<usize>, now: Instant) -> Call {
        let pieces: Vec<Waiting> = indexes.iter().map(|index| self.waiting[*index]).collect();
        for index in indexes.iter().rev() {
            self.waiting.remove(*index);
        }
        let bytes_of = |w: &Waiting| self.jobs.get(w.job).map_or(0, |j| j.submission.result_bytes);
        let bytes = pieces.iter().map(bytes_of).sum();
        let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        let expected = (self.spec.call + self.spec.piece * count).max(LEAST_TIME);
        self.usual_pieces += PIECES_WEIGHT * (f64::from(count) - self.usual_pieces);
        let fetch = self.fetch_time(&pieces);
        let maker = &mut self.makers[key];
        maker.at_work += 1;
        maker.room_used += bytes;
        let (target, room_used) = (maker.target.clone(), maker.room_used);
        self.reclaim(key);
        let members = pieces.iter().map(|waiting| (waiting.job, waiting.piece)).collect();
        let since = pieces.iter().filter_map(|w| self.jobs.get(w.job)).map(|job| job.since).min();
        let waited = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let call = UnderWay { maker: key, pieces, began: now, expected, bytes };
        Call {
            key: self.calls.insert(call),
            target,
            pieces: members,
            room_used,
            waited,
            still_waiting: self.waiting.len(),
            fetch,
            patience: expected.mul_f64(PATIENCE) + PATIENCE_EXTRA,
        }
    }

    /// Time within which a target has fetched the inputs of a call's pieces.
    fn fetch_time(&self, pieces: &[Waiting]) -> Option<Duration> {
        let mut jobs: Vec<JobKey> = pieces.iter().map(|waiting| waiting.job).collect();
        jobs.dedup();
        let submissions = jobs.iter().filter_map(|job| self.submission(*job));
        let bytes: u64 = submissions.map(|submission| submission.input_bytes).sum();
        let time = FETCH_LINKS * bytes as f64 / self.spec.link.filter(|link| *link > 0)? as f64;
        (bytes > 0).then(|| FETCH_EXTRA + Duration::from_secs_f64(time))
    }

    fn answered(
        &mut self,
        call: &UnderWay,
        answers: Vec<PieceAnswer>,
        now: Instant,
    ) -> Vec<Finished> {
        let mut finished = Vec::new();
        let no_room = answers.contains(&PieceAnswer::NoRoom);
        let change = if no_room { -ROOM_FALL } else { ROOM_RISE };
        self.room_part = (self.room_part + change).clamp(LEAST_ROOM_PART, 1.0);
        let missing = std::iter::repeat(PieceAnswer::Failed);
        for (waiting, answer) in call.pieces.iter().zip(answers.into_iter().chain(missing)) {
            let made = match answer {
                PieceAnswer::Made(handle) => {
                    self.keep(call.maker, waiting, &handle, now);
                    Made::At(handle)
                }
                PieceAnswer::Late => Made::Late,
                PieceAnswer::Gone => Made::Gone,
                PieceAnswer::NoRoom => {
                    if let Some(maker) = self.makers.get_mut(call.maker) {
                        maker.had_no_room(now);
                    }
                    // It costs no try: the piece ends with its time at the latest.
                    finished.extend(self.try_again(vec![*waiting], 0));
                    continue;
                }
                PieceAnswer::Failed => {
                    finished.extend(self.try_again(vec![*waiting], 1));
                    continue;
                }
            };
            finished.extend(self.finish(waiting, made));
        }
        finished
    }

    fn keep(&mut self, key: MakerKey, waiting: &Waiting, handle: &str, now: Instant) {
        let job = self.jobs.get(waiting.job);
        if job.is_none() {
            self.orphans.push(handle.to_owned());
        }
        let bytes = job.map_or(0, |job| job.submission.result_bytes);
        if let Some(maker) = self.makers.get_mut(key) {
            maker.room_used += bytes;
            self.results.add(handle, key, bytes, now + self.spec.result_life);
        }
    }

    fn finish(&mut self, waiting: &Waiting, made: Made) -> Option<Finished> {
        let job = self.jobs.get_mut(waiting.job)?;
        job.left -= 1;
        let finished = Finished { job: waiting.job, piece: waiting.piece, made };
        if job.left == 0 {
            self.jobs.remove(waiting.job);
        }
        Some(finished)
    }

    /// Puts pieces back, or gives them up after too many tries.
    fn try_again(&mut self, pieces: Vec<Waiting>, cost: u32) -> Vec<Finished> {
        let mut given_up = Vec::new();
        for mut waiting in pieces {
            let Some(job) = self.jobs.get_mut(waiting.job) else { continue };
            job.unfetched += usize::from(std::mem::take(&mut waiting.fetched));
            waiting.tries += cost;
            if waiting.tries < PIECE_TRIES {
                self.waiting.push(waiting);
                continue;
            }
            job.left -= 1;
            if job.left == 0 {
                self.jobs.remove(waiting.job);
            }
            let made = Made::Broken;
            given_up.push(Finished { job: waiting.job, piece: waiting.piece, made });
        }
        given_up
    }
}
