//! Reads of a bounded length, whatever the buffer has room for.

use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};

/// Size of the buffer for a read that is shorter than the room of its destination, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Reads `most` bytes at most, and no more than [`BUFFER_BYTES`] where the buffer has more room than
/// that.
pub(crate) fn poll_read_up_to<S: AsyncRead>(
    stream: Pin<&mut S>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
    most: usize,
) -> Poll<Result<()>> {
    if buf.remaining() <= most {
        return stream.poll_read(cx, buf);
    }
    let mut bytes = [0; BUFFER_BYTES];
    let mut part = ReadBuf::new(&mut bytes[..most.min(BUFFER_BYTES)]);
    let result = stream.poll_read(cx, &mut part);
    buf.put_slice(part.filled());
    result
}
