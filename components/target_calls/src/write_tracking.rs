//! Records whether any byte of a call was written to a connection.
//!
//! ureq runs a call on the calling thread, so a thread-local flag ties a transport's writes to
//! the call. A call is reported as not sent only if the flag shows that no byte was written.

use std::cell::Cell;

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

thread_local! {
    static WRITTEN: Cell<bool> = const { Cell::new(false) };
}

/// Clears the flag of this thread, before a call.
pub(crate) fn reset() {
    WRITTEN.set(false);
}

/// Whether this thread wrote any byte to a connection since [`reset`].
pub(crate) fn anything_written() -> bool {
    WRITTEN.get()
}

/// Last connector of the chain: wraps connections so that writes are recorded.
#[derive(Debug, Default)]
pub(crate) struct TrackWrites;

impl<In: Transport> Connector<In> for TrackWrites {
    type Out = TrackedTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(TrackedTransport))
    }
}

/// A transport that sets the thread's flag before each write.
#[derive(Debug)]
pub(crate) struct TrackedTransport<T>(T);

impl<T: Transport> Transport for TrackedTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        WRITTEN.set(true);
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}
