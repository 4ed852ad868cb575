//! Compares the content of the store that this VM knows with what its peers tell of theirs. If most
//! of them know other content at the same revision, this VM reads it from the store anew.

use std::rc::Rc;
use std::time::Instant;

use fleet::HEARTBEAT_INTERVAL;
use slog::warn;
use store_view::{Comparison, KnownContent};
use tokio::time::{MissedTickBehavior, interval};

use crate::app::App;
use crate::shared::Shared;

/// Compares contents for as long as the process runs.
pub(crate) async fn run(app: Rc<App>) {
    let mut checks = interval(HEARTBEAT_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        if app.state.with(|shared, now| shared.compare_contents(now)) {
            app.watch_stalled.notify_waiters();
        }
    }
}

impl Shared {
    /// Compares this VM's content with that of its peers; returns whether it has to be read anew.
    fn compare_contents(&mut self, now: Instant) -> bool {
        let Some(digest) = self.view.digest() else { return false };
        let own = KnownContent { digest, is_confirmed: self.is_content_confirmed() };
        let fresh = self.fleet.peers.values().filter(|peer| peer.is_fresh(now));
        let comparison = Comparison::new(own, fresh.filter_map(|peer| peer.content));
        if !self.content_check.update(comparison, self.fleet.listing_delay(), now) {
            return false;
        }
        warn!(self.log, "content differs from that of peers"; "as_of" => %digest.as_of,
            "differing" => comparison.differing, "agreeing" => comparison.agreeing,
            "contradicting" => comparison.contradicting);
        self.must_read_content = true;
        true
    }

    /// Whether this VM read its content anew because that of peers differed.
    pub(crate) fn is_content_confirmed(&self) -> bool {
        self.content_check.has_read() && !self.must_read_content
    }
}
