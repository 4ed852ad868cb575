//! Leases on results, kept by the owner: the VM that had the results made.
//!
//! A result uses room at its worker until the worker is told to release it, or until it expires.
//! Once the owner has handed a result to the VM of its request (the holder), the holder releases
//! it. A lease states how long the owner relies on that. It ends when the holder's process ends,
//! when the result turns out to be lost with a link, or [`REQUEST_GRACE`] after the request's end.
//! Then the owner releases the result itself.
//!
//! The crate does no I/O and reads no clock: the caller passes the current time.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ids::VmName;
use slotmap::{SlotMap, new_key_type};

/// Time after a request's end during which its holder releases results itself.
pub const REQUEST_GRACE: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a link from a holder to the owner.
    pub struct LinkKey;
}

/// One process of a VM. A later process holds none of the results of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The VM.
    pub vm: VmName,
    /// Number that identifies the process among those of the VM.
    pub incarnation: u64,
}

/// Why a lease ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// The time allowed for the request is over.
    RequestOver,
    /// The holder's process ended.
    HolderGone,
    /// The holder is alive but does not have the result: it was lost with a link.
    NotHeld,
}

/// A result whose lease ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedLease {
    /// Handle of the result.
    pub handle: String,
    /// Why the lease ended.
    pub reason: EndReason,
}

#[derive(Debug)]
struct Link {
    holder: Holder,
    is_up: bool,
    /// When and why the leases granted through it end, if known.
    ends: Option<(Instant, EndReason)>,
}

#[derive(Debug)]
struct Lease {
    link: LinkKey,
    /// End of the time allowed for the request.
    request_ends: Instant,
    /// When the result expires at its worker.
    expires: Instant,
}

/// Leases on the results that an owner handed to other VMs.
#[derive(Debug, Default)]
pub struct Leases {
    links: SlotMap<LinkKey, Link>,
    by_handle: HashMap<String, Lease>,
}

impl Leases {
    /// Adds a link from a holder. Leases of earlier processes of its VM end.
    pub fn link_opened(&mut self, holder: Holder, now: Instant) -> LinkKey {
        for link in self.links.values_mut() {
            if link.holder.vm == holder.vm && link.holder.incarnation != holder.incarnation {
                link.end_at(now, EndReason::HolderGone);
            }
        }
        self.links.insert(Link { holder, is_up: true, ends: None })
    }

    /// Records that the holder has the results `handles` after it opened a new link: moves their
    /// leases to that link. Other results that it was handed on earlier links were lost with them:
    /// their leases end.
    pub fn claimed(&mut self, new_link: LinkKey, handles: &HashSet<String>, now: Instant) {
        let Some(holder) = self.links.get(new_link).map(|link| link.holder.clone()) else { return };
        for handle in handles {
            if let Some(lease) = self.by_handle.get_mut(handle) {
                lease.link = new_link;
            }
        }
        for (key, link) in &mut self.links {
            if key != new_link && link.holder == holder {
                link.end_at(now, EndReason::NotHeld);
            }
        }
    }

    /// Adds a lease on a result that is handed to the holder through a link. `request_ends` is the
    /// end of the time allowed for its request, `expires` the time at which the result expires at
    /// its worker.
    pub fn granted(
        &mut self,
        link: LinkKey,
        handle: String,
        request_ends: Instant,
        expires: Instant,
    ) {
        self.by_handle.insert(handle, Lease { link, request_ends, expires });
    }

    /// Removes the leases on results that the holder released.
    pub fn released(&mut self, handles: &[String]) {
        for handle in handles {
            self.by_handle.remove(handle);
        }
    }

    /// Removes the leases on results that the owner releases for lack of room; returns the handles
    /// of those that had one, by the link of their holder.
    pub fn reclaimed(&mut self, handles: &[String]) -> HashMap<LinkKey, Vec<String>> {
        let mut held: HashMap<LinkKey, Vec<String>> = HashMap::new();
        for handle in handles {
            if let Some(lease) = self.by_handle.remove(handle) {
                held.entry(lease.link).or_default().push(handle.clone());
            }
        }
        held
    }

    /// Records that a link ended. Its leases continue, since the holder may be alive and use its
    /// results.
    pub fn link_ended(&mut self, link: LinkKey) {
        if let Some(link) = self.links.get_mut(link) {
            link.is_up = false;
        }
    }

    /// Ends the leases of a holder whose process ended.
    pub fn holder_gone(&mut self, holder: &Holder, now: Instant) {
        for link in self.links.values_mut().filter(|link| link.holder == *holder) {
            link.end_at(now, EndReason::HolderGone);
        }
    }

    /// Whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.by_handle.is_empty()
    }

    /// Returns the number of leases.
    pub fn len(&self) -> usize {
        self.by_handle.len()
    }

    /// Removes the leases that have ended and returns their results, except expired ones.
    pub fn take_ended(&mut self, now: Instant) -> Vec<EndedLease> {
        let links = &self.links;
        let end_reason = |lease: &Lease| {
            let link_end = links.get(lease.link).and_then(|link| link.ends);
            let link_end = link_end.filter(|(at, _)| *at <= now).map(|(_, reason)| reason);
            link_end
                .or((lease.request_ends + REQUEST_GRACE <= now).then_some(EndReason::RequestOver))
        };
        let mut ended = Vec::new();
        self.by_handle.retain(|handle, lease| {
            if lease.expires <= now {
                return false;
            }
            let reason = end_reason(lease);
            ended.extend(reason.map(|reason| EndedLease { handle: handle.clone(), reason }));
            reason.is_none()
        });
        self.remove_unused_links();
        ended
    }

    /// Removes the links that ended and have no leases.
    fn remove_unused_links(&mut self) {
        let used: HashSet<LinkKey> = self.by_handle.values().map(|lease| lease.link).collect();
        self.links.retain(|key, link| link.is_up || used.contains(&key));
    }
}

impl Link {
    /// Sets the time at which the leases of this link end. The earliest known end applies.
    fn end_at(&mut self, at: Instant, reason: EndReason) {
        if self.ends.is_none_or(|(known, _)| at < known) {
            self.ends = Some((at, reason));
        }
    }
}
