//! Identifies streams.

use ids::{CustomerName, RequestId, ServiceName};

/// Identifies a stream over all attempts of its caller: a hash of the service, of the customer, so
/// that nobody learns of another customer's streams, and of the id of the request that brought its
/// first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream whose first event `first` brought.
    pub fn new(
        service: &ServiceName,
        customer: Option<&CustomerName>,
        first: &RequestId,
    ) -> StreamKey {
        let customer = hashing::hash_text(customer.map_or("", CustomerName::as_str));
        let owner = hashing::combine(hashing::hash_text(service.as_str()), customer);
        StreamKey(hashing::combine(owner, hashing::hash_text(first.as_str())))
    }

    /// A number from 0 to 1, spread evenly over streams.
    pub fn fraction(self) -> f64 {
        hashing::unit_fraction(self.0)
    }

    /// Another such number, independent of the first one and of the version of the stream.
    pub(crate) fn deviation_draw(self) -> f64 {
        hashing::unit_fraction(hashing::combine(self.0, hashing::hash_text("deviation")))
    }
}
