//! State of one stage of a request: its pieces, their results, and whether these are kept.

use std::rc::Rc;

use crate::app::App;
use crate::releases;
use crate::submissions::SubmissionGuard;

/// State of one stage of a request.
pub(crate) struct StageRun {
    app: Rc<App>,
    /// Number of pieces.
    pub(crate) pieces: u32,
    /// Handles of the results, by piece; `None` for pieces that are not finished.
    pub(crate) handles: Vec<Option<String>>,
    /// The latest submission; `None` if the missing pieces have to be submitted.
    pub(crate) submitted: Option<SubmissionGuard>,
    /// Number of submissions so far.
    pub(crate) submissions: u32,
    /// How often its results were made again from the first piece on.
    pub(crate) resets: u32,
    /// For each stage that it needs, the resets of that stage when its results were submitted as
    /// inputs.
    pub(crate) input_resets: Vec<u32>,
    pub(crate) retention: Retention,
    /// Whether the workers have fetched this stage's inputs.
    pub(crate) fetched: bool,
}

/// Whether the workers keep a stage's results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Retention {
    Kept,
    /// Only while their workers have room to spare.
    IfRoom,
    Released,
}

impl StageRun {
    pub(crate) fn new(app: &Rc<App>, pieces: u32) -> Self {
        let handles = vec![None; pieces as usize];
        StageRun {
            app: Rc::clone(app),
            pieces,
            handles,
            submitted: None,
            submissions: 0,
            resets: 0,
            input_resets: Vec::new(),
            retention: Retention::Kept,
            fetched: false,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.handles.iter().all(Option::is_some)
    }

    /// Indices of the pieces that are not finished.
    pub(crate) fn missing(&self) -> Vec<u32> {
        (0..self.pieces).filter(|piece| self.handles[*piece as usize].is_none()).collect()
    }

    /// Records the result of a piece, whichever submission made it. Returns false if the piece
    /// already has a result or does not exist.
    pub(crate) fn record_result(&mut self, piece: u32, handle: &str) -> bool {
        let slot = self.handles.get_mut(piece as usize).filter(|slot| slot.is_none());
        slot.map(|slot| *slot = Some(handle.to_owned())).is_some()
    }

    /// Whether it was submitted, is not finished and may still fetch its inputs.
    pub(crate) fn awaits_inputs(&self) -> bool {
        self.submitted.is_some() && !self.fetched && !self.is_done()
    }

    /// Drops the results, so that all pieces are made again.
    pub(crate) fn reset(&mut self) {
        let mut run = StageRun::new(&self.app, self.pieces);
        (run.submissions, run.resets) = (self.submissions, self.resets + 1);
        *self = run;
    }

    /// Allows the missing pieces to be submitted again; finished pieces are kept.
    pub(crate) fn reopen(&mut self) {
        self.submitted = None;
        self.fetched = false;
    }

    /// Releases the results at their workers.
    pub(crate) fn release(&mut self) {
        if std::mem::replace(&mut self.retention, Retention::Released) != Retention::Released {
            releases::release_results(&self.app, &self.results());
        }
    }

    /// Lets the workers drop the results as soon as their room is scarce.
    pub(crate) fn release_if_scarce(&mut self) {
        if self.retention == Retention::Kept {
            self.retention = Retention::IfRoom;
            releases::release_results_if_scarce(&self.app, &self.results());
        }
    }

    /// Handles of the finished pieces.
    pub(crate) fn results(&self) -> Vec<String> {
        self.handles.iter().flatten().cloned().collect()
    }
}

impl Drop for StageRun {
    fn drop(&mut self) {
        self.release();
    }
}

/// Results of all stages that a stage needs. It exists only while all of them are done, so that no
/// stage is submitted with some of its inputs.
pub(crate) struct StageInputs {
    pub(crate) handles: Vec<String>,
    /// Resets of each of these stages.
    pub(crate) resets: Vec<u32>,
}

impl StageInputs {
    /// The results of the stages `needs`; `None` if one of these is not done.
    pub(crate) fn of(runs: &[StageRun], needs: &[usize]) -> Option<Self> {
        let handles = needs.iter().flat_map(|need| runs[*need].handles.iter().cloned());
        let resets = needs.iter().map(|need| runs[*need].resets).collect();
        handles.collect::<Option<_>>().map(|handles| StageInputs { handles, resets })
    }
}
