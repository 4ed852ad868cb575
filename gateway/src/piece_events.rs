//! Events about submitted pieces, and where they are delivered.

use std::rc::Rc;
use std::time::Instant;

use batching::PieceOutcome;
use result_leases::LinkKey;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::app::App;
use crate::outbound_links::DialerSender;
use crate::releases;

/// Identifies one submission of a stage of a request. Events of an earlier submission may still
/// arrive after a later one and don't apply to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StageSubmission {
    /// Index of the stage.
    pub(crate) stage: u32,
    /// Number of the submission, counted from 1.
    pub(crate) number: u32,
}

/// An event about submitted pieces.
#[derive(Debug)]
pub(crate) enum PieceEvent {
    /// A piece is finished.
    Done {
        /// The submission that the event belongs to.
        submission: StageSubmission,
        /// Number of the piece in its stage.
        piece: u32,
        /// Its result or why there is none.
        outcome: PieceOutcome,
    },
    /// The inputs of the stage were fetched and may be released.
    Fetched {
        /// The submission that the event belongs to.
        submission: StageSubmission,
    },
    /// The pool's owner is gone; unfinished pieces have to be submitted again.
    OwnerLost {
        /// The submission that the event belongs to.
        submission: StageSubmission,
    },
}

/// Where the events of a submission are delivered.
pub(crate) enum Sink {
    /// A request on this VM.
    Local(UnboundedSender<PieceEvent>, StageSubmission),
    /// A request on a peer.
    Peer(PeerSink),
}

/// A peer that receives the results of a submission.
pub(crate) struct PeerSink {
    pub(crate) tx: DialerSender,
    /// Number that the peer gave the submission.
    pub(crate) number: u64,
    /// The link that its leases belong to; `None` for a peer of an older build, which keeps no
    /// leases.
    pub(crate) link_key: Option<LinkKey>,
    /// When the results are no longer of any use to the peer.
    pub(crate) until: Instant,
}

/// Receives the events of a request's pieces. On drop, results that were not read are released.
pub(crate) struct PieceEventReceiver {
    app: Rc<App>,
    rx: UnboundedReceiver<PieceEvent>,
}

impl PieceEventReceiver {
    pub(crate) fn new(app: &Rc<App>, rx: UnboundedReceiver<PieceEvent>) -> Self {
        PieceEventReceiver { app: Rc::clone(app), rx }
    }

    /// The next event; `None` if there are no senders any more.
    pub(crate) async fn next(&mut self) -> Option<PieceEvent> {
        self.rx.recv().await
    }
}

impl Drop for PieceEventReceiver {
    fn drop(&mut self) {
        self.rx.close();
        while let Ok(event) = self.rx.try_recv() {
            if let PieceEvent::Done { outcome: PieceOutcome::Stored(handle), .. } = event {
                releases::release_results(&self.app, &[handle]);
            }
        }
    }
}
