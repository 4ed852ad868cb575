//! When a call has its turn at a worker, where calls of other VMs may be before it.
//!
//! A worker does not say when it begins a call. For some time after this VM has become the owner of a pool, and after
//! signs of other calls at a worker, a call is taken to wait for as long as another one may be there.

use std::time::{Duration, Instant};

use crate::filling::patience;
use crate::pool::{Pool, UnderWay};
use crate::submission::CallEnd;
use crate::worker::WorkerKey;

/// A pool to which nothing was submitted for this long may have had another owner meanwhile.
const QUIET: Duration = Duration::from_secs(1);
/// A call that takes this part of a whole one longer than was expected waited for its turn.
const WAITED_PART: f64 = 0.5;

impl Pool {
    /// Notes that a submission comes; after a pause the calls of an owner before this one may still be at the workers.
    pub(crate) fn note_submission(&mut self, now: Instant) {
        let last = self.last_submission.replace(now);
        if last.is_none_or(|last| now.saturating_duration_since(last) > QUIET) {
            self.others_until = Some(now + self.longest_call());
        }
    }

    /// Notes at a worker the signs that calls of others are there too.
    pub(crate) fn note_others(
        &mut self,
        call: &UnderWay,
        end: &CallEnd,
        took: Duration,
        now: Instant,
    ) {
        let waited = call.expected + self.spec.call.mul_f64(WAITED_PART);
        let until = now + self.longest_call();
        let Some(worker) = self.workers.get_mut(call.worker) else { return };
        let is_shared = match end {
            CallEnd::Answered(_) => took > waited.mul_f64(worker.pace.max(1.0)),
            CallEnd::Full => true,
            CallEnd::TargetGone | CallEnd::Failed | CallEnd::OutOfReach => false,
        };
        if is_shared {
            worker.others_until = Some(until);
        }
    }

    /// Time that a whole call is at a worker at most.
    fn longest_call(&self) -> Duration {
        let batch = u32::try_from(self.spec.batch).unwrap_or(u32::MAX);
        patience(self.spec.call + self.spec.piece * batch)
    }

    /// Time after which a call that is sent now has its turn at a worker, whoever else calls it.
    pub(crate) fn turn_comes_in(&self, key: WorkerKey, now: Instant) -> Duration {
        let others = self.others_until.max(self.workers[key].others_until);
        others.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
