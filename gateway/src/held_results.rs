//! Results that requests of this VM hold, until they are given up or reclaimed, and those that are given up until the VM
//! which had them made knows it.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use result_leases::REQUEST_GRACE;

use crate::outbound_links::Link;

/// Which VM had a result made.
#[derive(Clone)]
pub(crate) enum Origin {
    /// This one.
    Local,
    /// A peer, which handed it over through a link.
    Peer(Rc<Link>),
}

/// How long a result is this VM's to give up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResultExpiry {
    /// End of its request's time.
    pub(crate) until: Instant,
    /// Time after which it runs out at its worker.
    pub(crate) life: Duration,
}

/// A result that is held.
struct Held {
    maker: Origin,
    until: Instant,
    runs_out: Instant,
}

impl Held {
    /// Until when this VM gives it up. After the request's time its maker does, which may have begun to; a VM that stood
    /// still would tell the worker a second time.
    fn is_ours_until(&self) -> Instant {
        self.runs_out.min(self.until + REQUEST_GRACE / 2)
    }

    fn is_ours(&self, now: Instant) -> bool {
        match self.maker {
            Origin::Local => true,
            Origin::Peer(_) => now < self.is_ours_until(),
        }
    }

    fn is_left(&self, now: Instant) -> bool {
        matches!(self.maker, Origin::Local) || now < self.runs_out
    }
}

/// Results of one maker that are needed no more.
pub(crate) struct ReleaseBatch {
    pub(crate) maker: Origin,
    pub(crate) handles: Vec<String>,
    /// Whether this VM has to give them up, not their maker.
    pub(crate) is_ours: bool,
    /// After this their maker gives them up.
    pub(crate) until: Instant,
}

/// A result of a peer's that was given up.
struct GivenUp {
    /// Where its maker takes links.
    maker: SocketAddr,
    known: Known,
    /// When it was given up.
    since: Instant,
}

/// Who knows that a result is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    /// Its worker is being told.
    NotYet,
    /// Its worker has heard.
    ToWorker,
    /// Its maker is told on the link that stands, and has not confirmed it.
    MakerTold,
}

/// Time for which it is kept that a worker has heard, for a maker that can't be told: many times the life of a result.
const KEPT: Duration = Duration::from_secs(30);

/// Results that requests of this VM hold, and those that its maker does not know to be given up, by handle.
#[derive(Default)]
pub(crate) struct HeldResults {
    by_handle: RefCell<HashMap<String, Held>>,
    given_up: RefCell<HashMap<String, GivenUp>>,
}

impl HeldResults {
    /// Notes a result that was handed to a request.
    pub(crate) fn add(&self, handle: &str, maker: Origin, term: ResultExpiry, now: Instant) {
        let held = Held { maker, until: term.until, runs_out: now + term.life };
        self.by_handle.borrow_mut().insert(handle.to_owned(), held);
    }

    /// Whether a result has run out at its worker; `None` if it is not held.
    pub(crate) fn has_expired(&self, handle: &str, now: Instant) -> Option<bool> {
        Some(self.by_handle.borrow().get(handle)?.runs_out <= now)
    }

    /// Takes results out; gives those that have not run out, by maker.
    pub(crate) fn take(&self, handles: &[String], now: Instant) -> Vec<ReleaseBatch> {
        let mut by_handle = self.by_handle.borrow_mut();
        let mut taken: Vec<ReleaseBatch> = Vec::new();
        for handle in handles {
            let held = by_handle.remove(handle).filter(|held| held.is_left(now));
            let Some(held) = held else { continue };
            let (is_ours, until) = (held.is_ours(now), held.is_ours_until());
            let is_alike = |other: &&mut ReleaseBatch| {
                other.is_ours == is_ours && other.maker.is_same(&held.maker)
            };
            match taken.iter_mut().find(is_alike) {
                Some(alike) => {
                    alike.handles.push(handle.clone());
                    alike.until = alike.until.min(until);
                }
                None => {
                    let handles = vec![handle.clone()];
                    taken.push(ReleaseBatch { maker: held.maker, handles, is_ours, until });
                }
            }
        }
        taken
    }

    /// Forgets results that their maker gave up.
    pub(crate) fn forget(&self, handles: &[String]) {
        let mut by_handle = self.by_handle.borrow_mut();
        for handle in handles {
            by_handle.remove(handle);
        }
    }

    /// Those among `handles` that are held, by maker.
    pub(crate) fn look_up(&self, handles: &[String]) -> Vec<(Origin, String)> {
        let by_handle = self.by_handle.borrow();
        let held = |handle: &String| Some((by_handle.get(handle)?.maker.clone(), handle.clone()));
        handles.iter().filter_map(held).collect()
    }

    /// Notes that the workers of a maker's results are being told that these are given up.
    pub(crate) fn record_release_started(
        &self,
        handles: &[String],
        maker: SocketAddr,
        now: Instant,
    ) {
        let mut given_up = self.given_up.borrow_mut();
        given_up.retain(|_, given_up| now < given_up.since + KEPT);
        for handle in handles {
            given_up.insert(handle.clone(), GivenUp { maker, known: Known::NotYet, since: now });
        }
    }

    /// Notes what came of it: the maker is to be told of those that were heard.
    pub(crate) fn record_release_outcome(&self, handles: &[String], is_heard: bool) {
        let mut given_up = self.given_up.borrow_mut();
        for handle in handles {
            if !is_heard {
                given_up.remove(handle);
            } else if let Some(given_up) = given_up.get_mut(handle) {
                given_up.known = Known::ToWorker;
            }
        }
    }

    /// Results that a maker is to be told of on the link that stands.
    pub(crate) fn take_unreported(&self, maker: SocketAddr) -> Vec<String> {
        let mut given_up = self.given_up.borrow_mut();
        let is_untold =
            |given_up: &GivenUp| given_up.maker == maker && given_up.known == Known::ToWorker;
        let untold = given_up.iter_mut().filter(|(_, given_up)| is_untold(given_up));
        let told = untold.map(|(handle, given_up)| {
            given_up.known = Known::MakerTold;
            handle.clone()
        });
        told.collect()
    }

    /// Takes a maker's confirmation that it knows of results that these are given up.
    pub(crate) fn record_confirmed(&self, handles: &[String]) {
        let mut given_up = self.given_up.borrow_mut();
        for handle in handles {
            given_up.remove(handle);
        }
    }

    /// The link to a maker ended: it may not have heard what was not confirmed.
    pub(crate) fn link_ended(&self, maker: SocketAddr) {
        let mut given_up = self.given_up.borrow_mut();
        let told = given_up.values_mut().filter(|given_up| given_up.maker == maker);
        for given_up in told.filter(|given_up| given_up.known == Known::MakerTold) {
            given_up.known = Known::ToWorker;
        }
    }

    /// Results that the VM had made which takes links at an address, as far as it does not know them to be given up.
    pub(crate) fn handles_from(&self, address: SocketAddr) -> Vec<String> {
        let by_handle = self.by_handle.borrow();
        let held = by_handle.iter().filter(|(_, held)| held.maker.address() == Some(address));
        let given_up = self.given_up.borrow();
        let given_up = given_up.iter().filter(|(_, given_up)| given_up.maker == address);
        held.map(|(handle, _)| handle).chain(given_up.map(|(handle, _)| handle)).cloned().collect()
    }

    /// Whether there are results that the VM at an address had made.
    pub(crate) fn has_results_from(&self, address: SocketAddr) -> bool {
        let by_handle = self.by_handle.borrow();
        by_handle.values().any(|held| held.maker.address() == Some(address))
            || self.given_up.borrow().values().any(|given_up| given_up.maker == address)
    }

    /// Where the peers take links that had results made which are held, or of which they are to be told.
    pub(crate) fn origins(&self) -> BTreeSet<SocketAddr> {
        let by_handle = self.by_handle.borrow();
        let held = by_handle.values().filter_map(|held| held.maker.address());
        held.chain(self.given_up.borrow().values().map(|given_up| given_up.maker)).collect()
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
