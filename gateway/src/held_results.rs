//! Keeps track of the results that requests of this VM hold. The origin of a result is the VM that
//! had it computed, as owner of a part of the pool. A result is held until it is released here or
//! reclaimed by its origin; a released result of a peer is kept until the peer has confirmed that
//! it knows of the release.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use result_leases::REQUEST_GRACE;

use crate::outbound_links::Link;

/// The VM that had a result computed.
#[derive(Clone)]
pub(crate) enum Origin {
    /// This VM.
    Local,
    /// A peer, which handed the result over through a link.
    Peer(Rc<Link>),
}

/// Bounds on the time for which this VM is responsible for releasing a result.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResultExpiry {
    /// Deadline of the request; matters only for results of a peer, see [`Held::release_until`].
    pub(crate) request_deadline: Instant,
    /// Time for which the worker keeps the result.
    pub(crate) life: Duration,
}

/// A result that a request of this VM holds.
struct Held {
    origin: Origin,
    request_deadline: Instant,
    expires_at: Instant,
}

impl Held {
    /// Until when this VM releases a result of a peer. Once the grace period after the request's
    /// deadline is over, the origin releases it. This VM stops in the middle of that period, since
    /// a VM that was paused could otherwise release the result at the worker a second time.
    fn release_until(&self) -> Instant {
        self.expires_at.min(self.request_deadline + REQUEST_GRACE / 2)
    }

    /// Whether this VM has to release the result, not its origin.
    fn is_released_here(&self, now: Instant) -> bool {
        match self.origin {
            Origin::Local => true,
            Origin::Peer(_) => now < self.release_until(),
        }
    }

    /// Whether the result is still to be released. The worker has dropped an expired one by itself;
    /// those of this VM are released nevertheless.
    fn needs_release(&self, now: Instant) -> bool {
        matches!(self.origin, Origin::Local) || now < self.expires_at
    }
}

/// Results of one origin that are no longer needed.
pub(crate) struct ReleaseBatch {
    pub(crate) origin: Origin,
    pub(crate) handles: Vec<String>,
    /// Whether this VM has to release them, not their origin.
    pub(crate) is_released_here: bool,
    /// Time after which the origin, if it is a peer, releases them itself.
    pub(crate) until: Instant,
}

/// A released result that a peer had computed.
struct ReleasedResult {
    /// Where its origin accepts links.
    origin: SocketAddr,
    state: ReleaseState,
    /// When it was released.
    since: Instant,
}

/// How far a release has been confirmed and reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseState {
    /// The worker has not confirmed yet.
    Sending,
    /// The worker has confirmed; the origin has not been notified.
    Confirmed,
    /// The origin was notified on the open link and has not confirmed.
    Reported,
}

/// How long a release is remembered for an origin that can't be reached: many times the lifetime of
/// a result.
const RELEASE_RETENTION: Duration = Duration::from_secs(30);

/// Results that requests of this VM hold, and released results whose origin does not know yet, by
/// handle.
#[derive(Default)]
pub(crate) struct HeldResults {
    by_handle: RefCell<HashMap<String, Held>>,
    released: RefCell<HashMap<String, ReleasedResult>>,
}

impl HeldResults {
    /// Records a result that was handed to a request.
    pub(crate) fn add(&self, handle: &str, origin: Origin, expiry: ResultExpiry, now: Instant) {
        let held = Held {
            origin,
            request_deadline: expiry.request_deadline,
            expires_at: now + expiry.life,
        };
        self.by_handle.borrow_mut().insert(handle.to_owned(), held);
    }

    /// Whether a result has expired at its worker; `None` if it is not held.
    pub(crate) fn has_expired(&self, handle: &str, now: Instant) -> Option<bool> {
        Some(self.by_handle.borrow().get(handle)?.expires_at <= now)
    }

    /// Removes results; returns those that are still to be released, grouped by origin.
    pub(crate) fn take(&self, handles: &[String], now: Instant) -> Vec<ReleaseBatch> {
        let mut by_handle = self.by_handle.borrow_mut();
        let mut taken: Vec<ReleaseBatch> = Vec::new();
        for handle in handles {
            let held = by_handle.remove(handle).filter(|held| held.needs_release(now));
            let Some(held) = held else { continue };
            let (is_released_here, until) = (held.is_released_here(now), held.release_until());
            let is_same_batch = |other: &&mut ReleaseBatch| {
                other.is_released_here == is_released_here && other.origin.is_same(&held.origin)
            };
            match taken.iter_mut().find(is_same_batch) {
                Some(batch) => {
                    batch.handles.push(handle.clone());
                    batch.until = batch.until.min(until);
                }
                None => {
                    let handles = vec![handle.clone()];
                    taken.push(ReleaseBatch {
                        origin: held.origin,
                        handles,
                        is_released_here,
                        until,
                    });
                }
            }
        }
        taken
    }

    /// Removes results that their origin reclaimed: it releases them at their workers itself.
    pub(crate) fn remove_reclaimed(&self, handles: &[String]) {
        let mut by_handle = self.by_handle.borrow_mut();
        for handle in handles {
            by_handle.remove(handle);
        }
    }

    /// The held results among `handles`, each with its origin.
    pub(crate) fn look_up(&self, handles: &[String]) -> Vec<(Origin, String)> {
        let by_handle = self.by_handle.borrow();
        let held = |handle: &String| Some((by_handle.get(handle)?.origin.clone(), handle.clone()));
        handles.iter().filter_map(held).collect()
    }

    /// Records that results of an origin are being released at their workers.
    pub(crate) fn record_release_started(
        &self,
        handles: &[String],
        origin: SocketAddr,
        now: Instant,
    ) {
        let mut released = self.released.borrow_mut();
        released.retain(|_, released| now < released.since + RELEASE_RETENTION);
        for handle in handles {
            released.insert(
                handle.clone(),
                ReleasedResult { origin, state: ReleaseState::Sending, since: now },
            );
        }
    }

    /// Records whether the worker confirmed the release of results. Confirmed releases are to be
    /// reported to the origin; others are dropped.
    pub(crate) fn record_release_outcome(&self, handles: &[String], is_confirmed: bool) {
        let mut released = self.released.borrow_mut();
        for handle in handles {
            if !is_confirmed {
                released.remove(handle);
            } else if let Some(released) = released.get_mut(handle) {
                released.state = ReleaseState::Confirmed;
            }
        }
    }

    /// Results whose release is to be reported to an origin on the open link; marks them as
    /// reported.
    pub(crate) fn take_unreported(&self, origin: SocketAddr) -> Vec<String> {
        let mut released = self.released.borrow_mut();
        let is_unreported = |released: &ReleasedResult| {
            released.origin == origin && released.state == ReleaseState::Confirmed
        };
        let unreported = released.iter_mut().filter(|(_, released)| is_unreported(released));
        let reported = unreported.map(|(handle, released)| {
            released.state = ReleaseState::Reported;
            handle.clone()
        });
        reported.collect()
    }

    /// Records that an origin confirmed the report of released results.
    pub(crate) fn record_confirmed(&self, handles: &[String]) {
        let mut released = self.released.borrow_mut();
        for handle in handles {
            released.remove(handle);
        }
    }

    /// Records that the link to an origin ended: reports that were not confirmed are to be sent
    /// again.
    pub(crate) fn link_ended(&self, origin: SocketAddr) {
        let mut released = self.released.borrow_mut();
        let reported = released.values_mut().filter(|released| released.origin == origin);
        for released in reported.filter(|released| released.state == ReleaseState::Reported) {
            released.state = ReleaseState::Confirmed;
        }
    }

    /// Results whose origin is the peer that accepts links at an address: those held, and released
    /// ones that it has not confirmed.
    pub(crate) fn handles_from(&self, address: SocketAddr) -> Vec<String> {
        let by_handle = self.by_handle.borrow();
        let held = by_handle.iter().filter(|(_, held)| held.origin.address() == Some(address));
        let released = self.released.borrow();
        let released = released.iter().filter(|(_, released)| released.origin == address);
        held.map(|(handle, _)| handle).chain(released.map(|(handle, _)| handle)).cloned().collect()
    }

    /// Whether there are results that [`Self::handles_from`] would return.
    pub(crate) fn has_results_from(&self, address: SocketAddr) -> bool {
        let by_handle = self.by_handle.borrow();
        by_handle.values().any(|held| held.origin.address() == Some(address))
            || self.released.borrow().values().any(|released| released.origin == address)
    }

    /// Addresses of the peers whose results are held, or to which a release is to be reported.
    pub(crate) fn origins(&self) -> BTreeSet<SocketAddr> {
        let by_handle = self.by_handle.borrow();
        let held = by_handle.values().filter_map(|held| held.origin.address());
        held.chain(self.released.borrow().values().map(|released| released.origin)).collect()
    }
}

impl Origin {
    fn is_same(&self, other: &Origin) -> bool {
        match (self, other) {
            (Origin::Local, Origin::Local) => true,
            (Origin::Peer(one), Origin::Peer(other)) => Rc::ptr_eq(one, other),
            _ => false,
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        match self {
            Origin::Local => None,
            Origin::Peer(link) => Some(link.address),
        }
    }
}
