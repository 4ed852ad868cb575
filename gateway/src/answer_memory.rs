//! Bounds the memory that all bodies of answers together take while they are read and until their
//! callers have them.
//!
//! Once the bound is reached, the connection of the caller that has read nothing for longest is
//! closed, if it has not for [`MIN_UNREAD`]. Where there is none, reading the largest body is given
//! up: a body without an end is larger than a sound one sooner or later. Bodies that declare a
//! length come last.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use slotmap::SlotMap;
use tokio::sync::Notify;

use crate::state_handle::now;

slotmap::new_key_type! {
    /// Key of a body that is being read.
    struct ReadKey;
    /// Key of a complete body that its caller doesn't have yet.
    struct DeliveryKey;
}

/// Time for which a caller may read nothing of its answer while memory is short.
pub const MIN_UNREAD: Duration = Duration::from_secs(1);

/// Bodies up to this size, in bytes, are not counted: each open connection takes as much anyway.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Size of the buffers that a body is kept in, in bytes. Buffers of one size need no copies as the
/// body grows.
const SEGMENT_BYTES: usize = 64 * 1024;

/// The clock by which a caller has read nothing for some time.
pub type Clock = fn() -> Instant;

/// The memory for bodies of answers; clones share it.
#[derive(Clone)]
pub struct AnswerMemory {
    ledger: Arc<Mutex<Ledger>>,
    clock: Clock,
}

/// Who holds how much of the memory.
struct Ledger {
    /// Bytes that all bodies together may take.
    capacity: usize,
    /// Bytes that count at present.
    used: usize,
    reading: SlotMap<ReadKey, Reading>,
    /// Complete bodies that callers don't have yet.
    complete: SlotMap<DeliveryKey, Delivery>,
}

/// A complete body that its caller doesn't have yet.
struct Delivery {
    /// Bytes that the caller doesn't have.
    bytes: usize,
    /// When the caller last took some of it, or when it became complete.
    moved_at: Instant,
    /// Notified when the caller's connection has to be closed; `None` if no connection waits for it.
    reader: Option<Arc<Notify>>,
    is_given_up: bool,
}

impl Delivery {
    fn may_be_given_up(&self, now: Instant) -> bool {
        self.reader.is_some()
            && !self.is_given_up
            && now.saturating_duration_since(self.moved_at) >= MIN_UNREAD
    }
}

/// A body that is being read.
struct Reading {
    bytes: usize,
    declares_length: bool,
    /// Notified when the body has to be given up.
    given_up: Arc<Notify>,
    is_given_up: bool,
}

impl Reading {
    /// Bytes that count. What was given up is about to be dropped.
    fn counted(&self) -> usize {
        if self.is_given_up || self.bytes <= UNCOUNTED_BYTES { 0 } else { self.bytes }
    }
}

impl AnswerMemory {
    /// Memory for `capacity` bytes, by the runtime's clock.
    pub fn new(capacity: usize) -> Self {
        AnswerMemory::with_clock(capacity, now)
    }

    /// Memory for `capacity` bytes, by another clock.
    pub fn with_clock(capacity: usize, clock: Clock) -> Self {
        let ledger = Ledger {
            capacity,
            used: 0,
            reading: SlotMap::with_key(),
            complete: SlotMap::with_key(),
        };
        AnswerMemory { ledger: Arc::new(Mutex::new(ledger)), clock }
    }

    /// Begins to account for a body.
    pub fn begin(&self, declares_length: bool) -> Share {
        let given_up = Arc::new(Notify::new());
        let reading = Reading {
            bytes: 0,
            declares_length,
            given_up: Arc::clone(&given_up),
            is_given_up: false,
        };
        let key = self.with(|ledger| ledger.reading.insert(reading));
        Share { memory: self.clone(), key, given_up }
    }

    /// Bytes that count at present.
    pub fn used(&self) -> usize {
        self.with(|ledger| ledger.used)
    }

    fn with<R>(&self, f: impl FnOnce(&mut Ledger) -> R) -> R {
        f(&mut self.ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Ledger {
    /// Changes what counts for a body that is read.
    fn change(&mut self, key: ReadKey, change: impl FnOnce(&mut Reading)) {
        if let Some(reading) = self.reading.get_mut(key) {
            let before = reading.counted();
            change(reading);
            self.used = self.used - before + reading.counted();
        }
    }

    /// Gives up callers that don't read, and then the largest bodies, until the rest fits.
    fn make_room(&mut self, clock: Clock) {
        if self.used <= self.capacity {
            return;
        }
        let now = clock();
        while self.used > self.capacity {
            if !self.close_unread(now) && !self.give_up_largest() {
                return;
            }
        }
    }

    /// Closes the connection of the caller that has read nothing for longest; whether there is one.
    fn close_unread(&mut self, now: Instant) -> bool {
        let unread = self.complete.values_mut().filter(|delivery| delivery.may_be_given_up(now));
        let Some(longest) = unread.min_by_key(|delivery| delivery.moved_at) else { return false };
        longest.is_given_up = true;
        longest.reader.iter().for_each(|reader| reader.notify_one());
        self.used -= longest.bytes;
        true
    }

    /// Gives up reading the largest body; whether there is one.
    fn give_up_largest(&mut self) -> bool {
        let counted = self.reading.iter().filter(|(_, reading)| reading.counted() > 0);
        let order = |(_, reading): &(ReadKey, &Reading)| (!reading.declares_length, reading.bytes);
        let Some((largest, _)) = counted.max_by_key(order) else { return false };
        self.change(largest, |reading| {
            reading.is_given_up = true;
            reading.given_up.notify_one();
        });
        true
    }

    /// Counts a complete body until its caller has it.
    fn deliver(&mut self, bytes: usize, now: Instant) -> DeliveryKey {
        self.used += bytes;
        self.complete.insert(Delivery { bytes, moved_at: now, reader: None, is_given_up: false })
    }

    /// Records that the caller has some bytes of a complete body.
    fn delivered(&mut self, key: DeliveryKey, bytes: usize, now: Instant) {
        let Some(delivery) = self.complete.get_mut(key) else { return };
        delivery.bytes = delivery.bytes.saturating_sub(bytes);
        delivery.moved_at = now;
        if !delivery.is_given_up {
            self.used -= bytes;
        }
        if delivery.bytes == 0 {
            self.complete.remove(key);
        }
    }
}

/// The part of the memory that one body takes. Dropping it gives the part back.
pub struct Share {
    memory: AnswerMemory,
    key: ReadKey,
    given_up: Arc<Notify>,
}

/// The body has to be given up, since all bodies together take too much memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp;

impl Share {
    /// Sets how many bytes the body takes now.
    ///
    /// # Errors
    /// [`GivenUp`] if it has to be given up.
    pub fn resize(&self, bytes: usize) -> Result<(), GivenUp> {
        self.memory.with(|ledger| {
            ledger.change(self.key, |reading| reading.bytes = bytes);
            ledger.make_room(self.memory.clock);
            let is_given_up = ledger.reading.get(self.key).is_none_or(|read| read.is_given_up);
            if is_given_up { Err(GivenUp) } else { Ok(()) }
        })
    }

    /// Waits until the body has to be given up.
    pub async fn until_given_up(&self) {
        self.given_up.notified().await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.with(|ledger| {
            ledger.change(self.key, |reading| reading.bytes = 0);
            ledger.reading.remove(self.key);
        });
    }
}

/// A body that is being read into memory.
pub struct GrowingBody {
    share: Share,
    full: VecDeque<BytesMut>,
    last: BytesMut,
    len: usize,
}

impl GrowingBody {
    /// An empty body.
    pub fn new(memory: &AnswerMemory, declares_length: bool) -> Self {
        let share = memory.begin(declares_length);
        GrowingBody { share, full: VecDeque::new(), last: BytesMut::new(), len: 0 }
    }

    /// Number of bytes so far.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`GivenUp`] if the body has to be given up.
    pub fn push(&mut self, data: &[u8]) -> Result<(), GivenUp> {
        for part in data.chunks(SEGMENT_BYTES) {
            if self.last.len() + part.len() > SEGMENT_BYTES {
                self.full.push_back(std::mem::take(&mut self.last));
            }
            self.last.extend_from_slice(part);
        }
        self.len += data.len();
        self.share.resize(self.len)
    }

    /// Waits until the body has to be given up.
    pub async fn until_given_up(&self) {
        self.share.until_given_up().await;
    }

    /// The complete body. From here on only its caller can be given up, if it doesn't read.
    pub fn complete(self) -> WholeBody {
        let GrowingBody { share, mut full, last, len } = self;
        full.push_back(last);
        let memory = share.memory.clone();
        let key = (len > UNCOUNTED_BYTES)
            .then(|| memory.with(|ledger| ledger.deliver(len, (memory.clock)())));
        let keep = |segment: BytesMut| match key {
            Some(key) => {
                let memory = memory.clone();
                Bytes::from_owner(CountedSegment { segment, memory, key })
            }
            None => segment.freeze(),
        };
        let segments = full.into_iter().filter(|segment| !segment.is_empty()).map(keep).collect();
        WholeBody { segments, len, memory, key }
    }
}

/// Part of a complete body that counts until its caller has it.
struct CountedSegment {
    segment: BytesMut,
    memory: AnswerMemory,
    key: DeliveryKey,
}

impl AsRef<[u8]> for CountedSegment {
    fn as_ref(&self) -> &[u8] {
        &self.segment
    }
}

impl Drop for CountedSegment {
    fn drop(&mut self) {
        let len = self.segment.len();
        self.memory.with(|ledger| ledger.delivered(self.key, len, (self.memory.clock)()));
    }
}

/// A complete body.
pub struct WholeBody {
    segments: VecDeque<Bytes>,
    /// Bytes that are left.
    len: usize,
    memory: AnswerMemory,
    /// `None` if the body is not counted.
    key: Option<DeliveryKey>,
}

impl WholeBody {
    /// Sets who is told when the connection of the body's caller has to be closed, since the caller
    /// does not read.
    pub fn set_reader(&self, reader: Arc<Notify>) {
        let Some(key) = self.key else { return };
        self.memory.with(|ledger| {
            ledger.complete.get_mut(key).iter_mut().for_each(|it| it.reader = Some(reader.clone()))
        });
    }

    /// All bytes in one piece.
    pub fn to_bytes(&self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(self.len);
        self.segments.iter().for_each(|segment| bytes.extend_from_slice(segment));
        bytes.freeze()
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.segments.pop_front();
        self.len -= next.as_ref().map_or(0, Bytes::len);
        Poll::Ready(next.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}
