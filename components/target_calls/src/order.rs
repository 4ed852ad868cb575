//! Orders to engines: the condition that an engine should be in, such as its model and version.
//!
//! The VM that holds a lease gives the orders. Each order carries the fencing token of that lease,
//! so that a target can refuse the orders of a VM whose lease has expired.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use ureq::Agent;

/// Timeout of an order. A new holder of the lease waits this long before its first order to a
/// target that does not check fencing tokens, so that no order of the previous holder is still on
/// its way.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// A condition and the fencing token under which it was ordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is given.
    pub fence: u64,
    /// The wanted condition: model, version, adapter or role, by name.
    pub wanted: BTreeMap<String, String>,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The target accepted the order.
    Taken,
    /// The target has seen a higher fencing token, so this VM no longer holds the lease.
    Fenced,
    /// It is not known whether the target accepted the order; its condition shows it. The text
    /// describes the unexpected status or the error.
    Unknown(String),
}

/// Client that sends orders to targets and reads their conditions.
#[derive(Debug, Clone)]
pub struct OrderClient {
    agent: Agent,
}

impl Default for OrderClient {
    fn default() -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(ORDER_TIMEOUT))
            .max_idle_connections(0);
        OrderClient { agent: cfg.build().new_agent() }
    }
}

impl OrderClient {
    /// Returns the condition that a target is in; `None` if it gives no readable answer.
    pub fn condition(&self, target: SocketAddr) -> Option<Order> {
        let mut response = self.agent.get(format!("http://{target}/v1/condition")).call().ok()?;
        serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
    }

    /// Sends an order to a target.
    pub fn send(&self, target: SocketAddr, order: &Order) -> OrderResult {
        let json = serde_json::to_vec(order).unwrap_or_default();
        match self.agent.post(format!("http://{target}/v1/orders")).send(json) {
            Ok(response) if response.status() == 200 => OrderResult::Taken,
            Ok(response) if response.status() == 409 => OrderResult::Fenced,
            Ok(response) => {
                OrderResult::Unknown(format!("unexpected status {}", response.status()))
            }
            Err(e) => OrderResult::Unknown(e.to_string()),
        }
    }
}
