//! Results that lie at their makers and take room there.

use std::collections::HashMap;
use std::time::Instant;

use crate::maker::MakerKey;

/// A result at its maker.
#[derive(Debug, Clone, Copy)]
struct Result {
    maker: MakerKey,
    bytes: u64,
    until: Instant,
    /// Whether it may be given up when room is scarce.
    spare: bool,
}

/// All results that this owner had made and that still take room.
#[derive(Debug, Default)]
pub(crate) struct Results {
    by_handle: HashMap<String, Result>,
    /// Results that nobody knows by name: maker, bytes, and when they have run out.
    lost: Vec<(MakerKey, u64, Instant)>,
}

impl Results {
    pub(crate) fn add(&mut self, handle: &str, maker: MakerKey, bytes: u64, until: Instant) {
        self.by_handle.insert(handle.to_owned(), Result { maker, bytes, until, spare: false });
    }

    /// Notes results of a call whose answer did not come: they take room until they run out.
    pub(crate) fn add_lost(&mut self, maker: MakerKey, bytes: u64, until: Instant) {
        self.lost.push((maker, bytes, until));
    }

    /// Takes out a result that is needed no more; gives its maker and size.
    pub(crate) fn remove(&mut self, handle: &str) -> Option<(MakerKey, u64)> {
        self.by_handle.remove(handle).map(|result| (result.maker, result.bytes))
    }

    /// Notes that a result may be given up when room is scarce; gives its maker.
    pub(crate) fn set_spare(&mut self, handle: &str) -> Option<MakerKey> {
        let result = self.by_handle.get_mut(handle)?;
        result.spare = true;
        Some(result.maker)
    }

    /// Handles of a maker's results that may be given up when room is scarce.
    pub(crate) fn spare_of(&self, maker: MakerKey) -> Vec<String> {
        let spare = self.by_handle.iter().filter(|(_, r)| r.spare && r.maker == maker);
        spare.map(|(handle, _)| handle.clone()).collect()
    }

    /// Takes out the results whose life is over; gives their makers and sizes.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(MakerKey, u64)> {
        let over = |result: &Result| result.until <= now;
        let mut freed: Vec<_> =
            self.by_handle.values().filter(|r| over(r)).map(|r| (r.maker, r.bytes)).collect();
        self.by_handle.retain(|_, result| !over(result));
        let lost = self.lost.extract_if(.., |(_, _, until)| *until <= now);
        freed.extend(lost.map(|(maker, bytes, _)| (maker, bytes)));
        freed
    }

    /// Takes out all results of a maker that is gone.
    pub(crate) fn drop_maker(&mut self, maker: MakerKey) {
        self.by_handle.retain(|_, result| result.maker != maker);
        self.lost.retain(|(of, _, _)| *of != maker);
    }
}
