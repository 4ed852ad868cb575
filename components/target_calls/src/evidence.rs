//! Knows whether anything of a call was written to a connection.
//!
//! ureq runs a call on the calling thread, so a thread-local flag ties a transport's writes to
//! the call. "Not sent" is told only where the flag shows that no byte was handed over.

use std::cell::Cell;

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

thread_local! {
    static WRITTEN: Cell<bool> = const { Cell::new(false) };
}

/// Forgets what earlier calls of this thread wrote.
pub(crate) fn reset() {
    WRITTEN.set(false);
}

/// Whether this thread handed any byte to a connection since [`reset`].
pub(crate) fn anything_written() -> bool {
    WRITTEN.get()
}

/// Last link of the connector chain: watches what is written.
#[derive(Debug, Default)]
pub(crate) struct WatchWrites;

impl<In: Transport> Connector<In> for WatchWrites {
    type Out = Watched<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(Watched))
    }
}

/// A transport whose writes are noted.
#[derive(Debug)]
pub(crate) struct Watched<T>(T);

impl<T: Transport> Transport for Watched<T> {
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
