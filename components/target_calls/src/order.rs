//! Orders to engines: the condition in which one should be, under a fence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use ureq::Agent;

/// Longest that an order may be under way; a new holder waits this long before its first one to a
/// target that does not check fences.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// A condition and the fence under which it was ordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fence of the holder's lease.
    pub fence: u64,
    /// Model, version, adapter or role by name.
    pub wanted: BTreeMap<String, String>,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The target took it.
    Taken,
    /// The target has seen a higher fence: this holder is one no more.
    Fenced,
    /// It may or may not have been taken; the next look tells.
    Unknown(String),
}

/// Gives orders to targets.
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
    /// The condition in which a target is; `None` if it does not answer.
    pub fn condition(&self, target: SocketAddr) -> Option<Order> {
        let mut rx = self.agent.get(format!("http://{target}/v1/condition")).call().ok()?;
        serde_json::from_slice(&rx.body_mut().read_to_vec().ok()?).ok()
    }

    /// Orders a condition.
    pub fn send(&self, target: SocketAddr, order: &Order) -> OrderResult {
        let json = serde_json::to_vec(order).unwrap_or_default();
        match self.agent.post(format!("http://{target}/v1/orders")).send(json) {
            Ok(rx) if rx.status() == 200 => OrderResult::Taken,
            Ok(rx) if rx.status() == 409 => OrderResult::Fenced,
            Ok(rx) => OrderResult::Unknown(format!("answered {}", rx.status())),
            Err(e) => OrderResult::Unknown(e.to_string()),
        }
    }
}
