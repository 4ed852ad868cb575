//! Leases of results, as the VM keeps them that had the results made (the owner).
//!
//! A result takes room at its worker until the worker is told that it is given up, or until it runs out. From the
//! moment at which the owner hands a result to the VM of its request (the holder), the holder gives it up. A lease
//! says until when the owner relies on that: it ends with the holder's process, with a link on which the result was
//! lost, and with the request's time. Then the owner gives the result up itself. Plain state, asked with the time
//! of now.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ids::VmName;
use slotmap::{SlotMap, new_key_type};

/// Time after a request's end in which its holder gives results up itself.
pub const REQUEST_GRACE: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a link from a holder.
    pub struct LinkKey;
}

/// One process of a VM: a later process holds nothing of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The VM.
    pub vm: VmName,
    /// The process.
    pub incarnation: u64,
}

/// Why a lease is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// The request's time is over.
    RequestOver,
    /// The holder's process ended.
    HolderGone,
    /// The holder lives and does not have it: it was lost with a link.
    NotHeld,
}

/// A result whose lease is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedLease {
    /// The result.
    pub handle: String,
    /// Why.
    pub reason: EndReason,
}

#[derive(Debug)]
struct Link {
    holder: Holder,
    is_up: bool,
    /// When its leases are over, and why, if that is known.
    ends: Option<(Instant, EndReason)>,
}

#[derive(Debug)]
struct Lease {
    link: LinkKey,
    /// End of the request's time.
    until: Instant,
    /// When the result has run out at its worker.
    runs_out: Instant,
}

/// Leases of the results that an owner handed to other VMs.
#[derive(Debug, Default)]
pub struct Leases {
    links: SlotMap<LinkKey, Link>,
    by_handle: HashMap<String, Lease>,
}

impl Leases {
    /// Notes a new link from a holder. Earlier processes of its VM hold nothing any more.
    pub fn link_opened(&mut self, holder: Holder, now: Instant) -> LinkKey {
        for link in self.links.values_mut() {
            if link.holder.vm == holder.vm && link.holder.incarnation != holder.incarnation {
                link.end_by(now, EndReason::HolderGone);
            }
        }
        self.links.insert(Link { holder, is_up: true, ends: None })
    }

    /// Takes what a holder has on a new link: all that it holds of this owner. What it was handed on earlier links
    /// and does not name was lost with them.
    pub fn claimed(&mut self, new: LinkKey, handles: &HashSet<String>, now: Instant) {
        let Some(holder) = self.links.get(new).map(|link| link.holder.clone()) else { return };
        for handle in handles {
            if let Some(lease) = self.by_handle.get_mut(handle) {
                lease.link = new;
            }
        }
        for (key, link) in &mut self.links {
            if key != new && link.holder == holder {
                link.end_by(now, EndReason::NotHeld);
            }
        }
    }

    /// A result is handed to the holder through a link; `until` is the end of the request's time, `runs_out` that of
    /// the result.
    pub fn granted(&mut self, link: LinkKey, handle: String, until: Instant, runs_out: Instant) {
        self.by_handle.insert(handle, Lease { link, until, runs_out });
    }

    /// The holder has given results up.
    pub fn released(&mut self, handles: &[String]) {
        for handle in handles {
            self.by_handle.remove(handle);
        }
    }

    /// The owner gives results up for which there is no room; gives those that are held, by the link of the holder.
    pub fn reclaimed(&mut self, handles: &[String]) -> HashMap<LinkKey, Vec<String>> {
        let mut held: HashMap<LinkKey, Vec<String>> = HashMap::new();
        for handle in handles {
            if let Some(lease) = self.by_handle.remove(handle) {
                held.entry(lease.link).or_default().push(handle.clone());
            }
        }
        held
    }

    /// A link ended. The holder may live, and use its results: they are left to it.
    pub fn link_ended(&mut self, link: LinkKey) {
        if let Some(link) = self.links.get_mut(link) {
            link.is_up = false;
        }
    }

    /// The process of a holder ended.
    pub fn holder_gone(&mut self, holder: &Holder, now: Instant) {
        for link in self.links.values_mut().filter(|link| link.holder == *holder) {
            link.end_by(now, EndReason::HolderGone);
        }
    }

    /// Whether there is no lease, so that none can end.
    pub fn is_empty(&self) -> bool {
        self.by_handle.is_empty()
    }

    /// Leases that stand.
    pub fn len(&self) -> usize {
        self.by_handle.len()
    }

    /// Takes out the leases that are over; gives their results, but for those that have run out.
    pub fn take_ended(&mut self, now: Instant) -> Vec<EndedLease> {
        let links = &self.links;
        let over = |lease: &Lease| {
            let of_link = links.get(lease.link).and_then(|link| link.ends);
            let of_link = of_link.filter(|(at, _)| *at <= now).map(|(_, reason)| reason);
            of_link.or((lease.until + REQUEST_GRACE <= now).then_some(EndReason::RequestOver))
        };
        let mut ended = Vec::new();
        self.by_handle.retain(|handle, lease| {
            if lease.runs_out <= now {
                return false;
            }
            let reason = over(lease);
            ended.extend(reason.map(|reason| EndedLease { handle: handle.clone(), reason }));
            reason.is_none()
        });
        self.forget_links();
        ended
    }

    /// Forgets links that ended and through which nothing is held.
    fn forget_links(&mut self) {
        let used: HashSet<LinkKey> = self.by_handle.values().map(|lease| lease.link).collect();
        self.links.retain(|key, link| link.is_up || used.contains(&key));
    }
}

impl Link {
    /// The first end that is known stands.
    fn end_by(&mut self, at: Instant, reason: EndReason) {
        if self.ends.is_none_or(|(known, _)| at < known) {
            self.ends = Some((at, reason));
        }
    }
}
