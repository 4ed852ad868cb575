//! Encodes and decodes the messages in which VMs tell each other the targets' rate limits.

use std::time::{Duration, Instant};

use eligibility::{ChangeCursor, Lifetime, RateLimit, RateObservations};
use ids::TargetName;
use peering::work::{NamedRate, Rate, Rates};

use crate::app::App;
use crate::state_handle;

/// Longest assumed transit time of a peer's message. Messages state ages, so the order of two
/// answers is only known up to this time: a call counts as sent this much earlier, and an answer as
/// received this much later, than the message says.
const MAX_TRANSIT: Duration = Duration::from_millis(250);
/// Messages state rates in thousandths of a request per second.
const UNITS_PER_REQUEST: f64 = 1000.0;

/// Encodes what this VM itself observed of a target's rate limit.
pub(crate) fn encode_rate(
    lifetime: &Lifetime,
    observations: &RateObservations,
    now: Instant,
) -> Rate {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    let named = |(limit, at): (RateLimit, Instant)| NamedRate {
        thousandths: (limit.per_s() * UNITS_PER_REQUEST).round() as u64,
        heard_ms: age(at),
    };
    Rate {
        target: lifetime.target.to_string(),
        born: lifetime.born,
        after_ms: observations.latest_sent().map(age),
        named: observations.limits().map(named).collect(),
    }
}

/// Decodes what a peer observed of a target's rate limit; `None` if the target's name is invalid.
pub(crate) fn decode_rate(rate: &Rate, now: Instant) -> Option<(Lifetime, RateObservations)> {
    let ago = |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms)));
    let latest_sent = rate.after_ms.and_then(ago).and_then(|at| at.checked_sub(MAX_TRANSIT));
    let limits = rate.named.iter().filter_map(|named| {
        let limit = RateLimit::new(named.thousandths as f64 / UNITS_PER_REQUEST)?;
        Some((limit, ago(named.heard_ms)? + MAX_TRANSIT))
    });
    let lifetime = Lifetime { target: TargetName::new(&rate.target).ok()?, born: rate.born };
    Some((lifetime, RateObservations::from_parts(latest_sent, limits)))
}

/// Decodes a peer's observations of targets' rate limits; invalid ones are left out.
pub(crate) fn decode_rates(message: &Rates) -> Vec<(Lifetime, RateObservations)> {
    let now = state_handle::now();
    message.rates.iter().filter_map(|rate| decode_rate(rate, now)).collect()
}

/// The rate observations to send next on a link; advances the cursor past them. `None` if there are
/// none.
pub(crate) fn take_unsent_rates(app: &App, cursor: &mut ChangeCursor) -> Option<Rates> {
    let rates: Vec<Rate> = app.state.with(|shared, now| {
        let (changes, up_to) = shared.rates.changes_after(*cursor);
        *cursor = up_to;
        changes
            .iter()
            .map(|(lifetime, observations)| encode_rate(lifetime, observations, now))
            .collect()
    });
    (!rates.is_empty()).then_some(Rates { rates })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
