//! Bounds the memory that all bodies of answers together take while they are read and until their
//! callers have them.
//!
//! Once the bound is reached, reading the largest body is given up: a body without an end is larger
//! than a sound one sooner or later. Bodies that declare a length come last.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use slotmap::SlotMap;
use tokio::sync::Notify;

slotmap::new_key_type! {
    /// Key of a body that is being read.
    struct ReadKey;
}

/// Bodies up to this size, in bytes, are not counted: each open connection takes as much anyway.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Size of the buffers that a body is kept in, in bytes. Buffers of one size need no copies as the
/// body grows.
const SEGMENT_BYTES: usize = 64 * 1024;

/// The memory for bodies of answers; clones share it.
#[derive(Clone)]
pub struct AnswerMemory(Arc<Mutex<Ledger>>);

/// Who holds how much of the memory.
struct Ledger {
    /// Bytes that all bodies together may take.
    capacity: usize,
    /// Bytes of complete bodies that callers don't have yet.
    complete: usize,
    reading: SlotMap<ReadKey, Reading>,
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
    /// Memory for `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        let ledger = Ledger { capacity, complete: 0, reading: SlotMap::with_key() };
        AnswerMemory(Arc::new(Mutex::new(ledger)))
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
        self.with(|ledger| ledger.used())
    }

    fn with<R>(&self, f: impl FnOnce(&mut Ledger) -> R) -> R {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Ledger {
    fn used(&self) -> usize {
        self.complete + self.reading.values().map(Reading::counted).sum::<usize>()
    }

    /// Gives up the largest bodies until the rest fits.
    fn make_room(&mut self) {
        while self.used() > self.capacity {
            let counted = self.reading.values_mut().filter(|reading| reading.counted() > 0);
            let order = |reading: &&mut Reading| (!reading.declares_length, reading.bytes);
            let Some(largest) = counted.max_by_key(order) else { return };
            largest.is_given_up = true;
            largest.given_up.notify_one();
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
            let Some(reading) = ledger.reading.get_mut(self.key) else { return Err(GivenUp) };
            reading.bytes = bytes;
            if reading.counted() > 0 {
                ledger.make_room();
            }
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
        self.memory.with(|ledger| drop(ledger.reading.remove(self.key)));
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

    /// The complete body. From here on it is not given up any more.
    pub fn complete(self) -> WholeBody {
        let GrowingBody { share, mut full, last, len } = self;
        let is_counted = len > UNCOUNTED_BYTES;
        if is_counted {
            share.memory.with(|ledger| ledger.complete += len);
        }
        full.push_back(last);
        let counted = |segment: BytesMut| {
            let memory = share.memory.clone();
            Bytes::from_owner(CountedSegment { segment, memory })
        };
        let uncounted = |segment: BytesMut| segment.freeze();
        let segments = full.into_iter().filter(|segment| !segment.is_empty());
        let segments = if is_counted {
            segments.map(counted).collect()
        } else {
            segments.map(uncounted).collect()
        };
        WholeBody { segments, len }
    }
}

/// Part of a complete body that counts until its caller has it.
struct CountedSegment {
    segment: BytesMut,
    memory: AnswerMemory,
}

impl AsRef<[u8]> for CountedSegment {
    fn as_ref(&self) -> &[u8] {
        &self.segment
    }
}

impl Drop for CountedSegment {
    fn drop(&mut self) {
        let len = self.segment.len();
        self.memory.with(|ledger| ledger.complete = ledger.complete.saturating_sub(len));
    }
}

/// A complete body.
pub struct WholeBody {
    segments: VecDeque<Bytes>,
    /// Bytes that are left.
    len: usize,
}

impl WholeBody {
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
