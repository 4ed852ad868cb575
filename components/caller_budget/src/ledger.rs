//! Who holds what, and who makes room.

use std::sync::Arc;
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use crate::{Activity, Limits, MIN_STAY, NoRoom};

new_key_type! {
    /// Key of a connection.
    pub(crate) struct PlaceKey;
    /// Key of bytes that are counted.
    pub(crate) struct ChargeKey;
}

/// A connection.
struct Holder {
    activity: Activity,
    /// When the activity began.
    since: Instant,
    /// Whether it ever had a whole request.
    had_request: bool,
    is_given_up: bool,
    /// Notified when it has to make room.
    given_up: Arc<Notify>,
}

impl Holder {
    /// Whether it leaves its place to a new connection if that is needed.
    fn may_leave(&self, now: Instant) -> bool {
        let has_stayed = now.saturating_duration_since(self.since) >= MIN_STAY;
        !self.is_given_up
            && match self.activity {
                Activity::InWork => false,
                Activity::Closing | Activity::ReceivingHead => true,
                Activity::Resting => has_stayed || !self.had_request,
                Activity::ReceivingBody => has_stayed,
            }
    }

    /// The order in which connections leave, the first one first.
    fn leaving_order(&self) -> (bool, bool, Instant) {
        (self.activity != Activity::Closing, self.had_request, self.since)
    }

    /// Whether it frees its bytes for others if that is needed.
    fn may_free_bytes(&self, now: Instant) -> bool {
        self.may_leave(now) && now.saturating_duration_since(self.since) >= MIN_STAY
    }

    fn give_up(&mut self) {
        self.is_given_up = true;
        self.given_up.notify_one();
    }
}

/// Bytes that are counted for a connection.
struct Counted {
    holder: PlaceKey,
    bytes: usize,
}

/// The accounts of a budget.
pub(crate) struct Ledger {
    limits: Limits,
    holders: SlotMap<PlaceKey, Holder>,
    /// Number of holders that were not given up.
    staying: usize,
    charges: SlotMap<ChargeKey, Counted>,
    /// Bytes of all charges, without those of holders that were given up.
    used_bytes: usize,
}

impl Ledger {
    pub(crate) fn new(limits: Limits) -> Self {
        Ledger {
            limits,
            holders: SlotMap::with_key(),
            staying: 0,
            charges: SlotMap::with_key(),
            used_bytes: 0,
        }
    }

    pub(crate) fn connections(&self) -> usize {
        self.staying
    }

    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    pub(crate) fn connect(&mut self, now: Instant) -> Result<(PlaceKey, Arc<Notify>), NoRoom> {
        if self.staying >= self.limits.connections {
            let place = self.next_to_leave(now).ok_or(NoRoom)?;
            self.give_up(place);
        }
        let given_up = Arc::new(Notify::new());
        self.staying += 1;
        let key = self.holders.insert(Holder {
            activity: Activity::Resting,
            since: now,
            had_request: false,
            is_given_up: false,
            given_up: Arc::clone(&given_up),
        });
        Ok((key, given_up))
    }

    /// The connection that is closed first for another one.
    fn next_to_leave(&self, now: Instant) -> Option<PlaceKey> {
        let idle = self.holders.iter().filter(|(_, holder)| holder.may_leave(now));
        idle.min_by_key(|(_, holder)| holder.leaving_order()).map(|(key, _)| key)
    }

    fn give_up(&mut self, place: PlaceKey) {
        self.staying -= 1;
        self.used_bytes -= self.bytes_of(place);
        if let Some(holder) = self.holders.get_mut(place) {
            holder.give_up();
        }
    }

    fn bytes_of(&self, place: PlaceKey) -> usize {
        let own = self.charges.values().filter(|charge| charge.holder == place);
        own.map(|charge| charge.bytes).sum()
    }

    pub(crate) fn is_given_up(&self, place: PlaceKey) -> bool {
        self.holders.get(place).is_some_and(|holder| holder.is_given_up)
    }

    pub(crate) fn disconnect(&mut self, place: PlaceKey) {
        let Some(holder) = self.holders.remove(place) else { return };
        if holder.is_given_up {
            // What outlives the connection counts again.
            self.used_bytes += self.bytes_of(place);
        } else {
            self.staying -= 1;
        }
    }

    pub(crate) fn set_activity(&mut self, place: PlaceKey, activity: Activity, now: Instant) {
        if let Some(holder) = self.holders.get_mut(place) {
            holder.activity = activity;
            holder.since = now;
            holder.had_request |= activity == Activity::InWork;
        }
    }

    pub(crate) fn receive(&mut self, place: PlaceKey, now: Instant) {
        if self.holders.get(place).is_some_and(|holder| holder.activity == Activity::Resting) {
            self.set_activity(place, Activity::ReceivingHead, now);
        }
    }

    pub(crate) fn begin_charge(&mut self, holder: PlaceKey) -> ChargeKey {
        self.charges.insert(Counted { holder, bytes: 0 })
    }

    /// Whether the bytes of a charge count: those of a connection that was given up are about to be
    /// freed.
    fn counts(&self, holder: PlaceKey) -> bool {
        self.holders.get(holder).is_none_or(|holder| !holder.is_given_up)
    }

    pub(crate) fn resize(
        &mut self,
        key: ChargeKey,
        bytes: usize,
        now: Instant,
    ) -> Result<(), NoRoom> {
        let Some(&Counted { holder, bytes: before }) = self.charges.get(key) else {
            return Err(NoRoom);
        };
        if !self.counts(holder) {
            return Err(NoRoom);
        }
        self.make_room(bytes.saturating_sub(before), holder, now)?;
        self.used_bytes = self.used_bytes - before + bytes;
        if let Some(charge) = self.charges.get_mut(key) {
            charge.bytes = bytes;
        }
        Ok(())
    }

    /// Has others make room for `bytes` more of a connection, those that wait longest first. Nobody
    /// is given up if there would not be enough room.
    fn make_room(&mut self, bytes: usize, asking: PlaceKey, now: Instant) -> Result<(), NoRoom> {
        let mut missing = (self.used_bytes + bytes).saturating_sub(self.limits.bytes);
        if missing == 0 {
            return Ok(());
        }
        let mut holding: Vec<(Instant, PlaceKey, usize)> = self
            .charges
            .values()
            .filter(|charge| charge.bytes > 0 && charge.holder != asking)
            .filter_map(|charge| {
                let holder = self.holders.get(charge.holder)?;
                holder.may_free_bytes(now).then_some((holder.since, charge.holder, charge.bytes))
            })
            .collect();
        if holding.iter().map(|(_, _, bytes)| bytes).sum::<usize>() < missing {
            return Err(NoRoom);
        }
        holding.sort_unstable_by_key(|(since, place, _)| (*since, *place));
        for (_, place, bytes) in holding {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(bytes);
            if self.counts(place) {
                self.give_up(place);
            }
        }
        Ok(())
    }

    pub(crate) fn end_charge(&mut self, key: ChargeKey) {
        let Some(charge) = self.charges.remove(key) else { return };
        if self.counts(charge.holder) {
            self.used_bytes -= charge.bytes;
        }
    }
}
