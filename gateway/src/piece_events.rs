//! What a request hears of the pieces that it submitted, and where it is told.

use std::rc::Rc;
use std::time::Instant;

use batching::PieceOutcome;
use result_leases::LinkKey;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::app::App;
use crate::outbound_links::DialerSender;
use crate::releases;

/// A stage of a request, and how often it had been submitted before: news of an earlier time that
/// is still on its way says nothing of a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StageAttempt {
    /// Index of the stage.
    pub(crate) stage: u32,
    /// Times that it was submitted, this one included.
    pub(crate) attempt: u32,
}

/// What a request hears of the pieces that it submitted.
#[derive(Debug)]
pub(crate) enum PieceEvent {
    /// A piece of a stage is done.
    Done {
        /// The stage.
        submission: StageAttempt,
        /// Number of the piece.
        piece: u32,
        /// What became of it.
        outcome: PieceOutcome,
    },
    /// The inputs of the stage were fetched and may be given up.
    Fetched {
        /// The stage.
        submission: StageAttempt,
    },
    /// The VM that fills the calls is gone; what is not done has to be submitted again.
    OwnerLost {
        /// The stage.
        submission: StageAttempt,
    },
}

/// Who gets the results of a submission.
pub(crate) enum Sink {
    /// A request of this VM.
    Local(UnboundedSender<PieceEvent>, StageAttempt),
    /// A peer.
    Peer(PeerSink),
}

/// A peer that gets the results of a submission.
pub(crate) struct PeerSink {
    pub(crate) tx: DialerSender,
    /// Its number for the submission.
    pub(crate) number: u64,
    /// The link of its leases; a peer of an older build keeps none.
    pub(crate) lease_link: Option<LinkKey>,
    /// When the results are of no use.
    pub(crate) until: Instant,
}

/// Where a request reads its news. Dropped, it gives up the results that were not read.
pub(crate) struct Inbox {
    app: Rc<App>,
    rx: UnboundedReceiver<PieceEvent>,
}

impl Inbox {
    pub(crate) fn new(app: &Rc<App>, rx: UnboundedReceiver<PieceEvent>) -> Self {
        Inbox { app: Rc::clone(app), rx }
    }

    /// The next news; `None` if nobody sends any more.
    pub(crate) async fn next(&mut self) -> Option<PieceEvent> {
        self.rx.recv().await
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.rx.close();
        while let Ok(news) = self.rx.try_recv() {
            if let PieceEvent::Done { outcome: PieceOutcome::Stored(handle), .. } = news {
                releases::release_results(&self.app, &[handle]);
            }
        }
    }
}
