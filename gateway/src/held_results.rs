//! Results that requests of this VM hold, until they are given up or reclaimed.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::links::Link;

/// Which VM had a result made.
#[derive(Clone)]
pub(crate) enum Maker {
    /// This one.
    Here,
    /// A peer, which handed it over through a link.
    Peer(Rc<Link>),
}

/// A result that is held.
struct Held {
    maker: Maker,
    since: Instant,
}

/// Results that requests of this VM hold, by handle.
#[derive(Default)]
pub(crate) struct HeldResults {
    by_handle: RefCell<HashMap<String, Held>>,
}

impl HeldResults {
    /// Notes a result that was handed to a request.
    pub(crate) fn add(&self, handle: &str, maker: Maker, now: Instant) {
        self.by_handle.borrow_mut().insert(handle.to_owned(), Held { maker, since: now });
    }

    /// For how long a result has been held; `None` if it is not.
    pub(crate) fn held_for(&self, handle: &str, now: Instant) -> Option<Duration> {
        let since = self.by_handle.borrow().get(handle)?.since;
        Some(now.saturating_duration_since(since))
    }

    /// Takes results out, by maker; those that are held no more are left out.
    pub(crate) fn take(&self, handles: &[String]) -> Vec<(Maker, Vec<String>)> {
        let mut by_handle = self.by_handle.borrow_mut();
        let mut taken: Vec<(Maker, Vec<String>)> = Vec::new();
        for handle in handles {
            let Some(Held { maker, .. }) = by_handle.remove(handle) else { continue };
            match taken.iter_mut().find(|(other, _)| other.is_same(&maker)) {
                Some((_, of_maker)) => of_maker.push(handle.clone()),
                None => taken.push((maker, vec![handle.clone()])),
            }
        }
        taken
    }

    /// Those among `handles` that are held, by maker.
    pub(crate) fn look_up(&self, handles: &[String]) -> Vec<(Maker, String)> {
        let by_handle = self.by_handle.borrow();
        let held = |handle: &String| Some((by_handle.get(handle)?.maker.clone(), handle.clone()));
        handles.iter().filter_map(held).collect()
    }

    /// Results that the VM had made which takes links at an address.
    pub(crate) fn made_at(&self, address: SocketAddr) -> Vec<String> {
        let by_handle = self.by_handle.borrow();
        let made = by_handle.iter().filter(|(_, held)| held.maker.address() == Some(address));
        made.map(|(handle, _)| handle.clone()).collect()
    }

    /// Whether results are held that the VM at an address had made.
    pub(crate) fn any_made_at(&self, address: SocketAddr) -> bool {
        self.by_handle.borrow().values().any(|held| held.maker.address() == Some(address))
    }

    /// Where the peers take links that had results made which are held.
    pub(crate) fn makers(&self) -> BTreeSet<SocketAddr> {
        self.by_handle.borrow().values().filter_map(|held| held.maker.address()).collect()
    }
}

impl Maker {
    fn is_same(&self, other: &Maker) -> bool {
        match (self, other) {
            (Maker::Here, Maker::Here) => true,
            (Maker::Peer(one), Maker::Peer(other)) => Rc::ptr_eq(one, other),
            _ => false,
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        match self {
            Maker::Here => None,
            Maker::Peer(link) => Some(link.address),
        }
    }
}
