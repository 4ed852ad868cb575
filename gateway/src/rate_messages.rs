//! Rates of targets as VMs tell them each other, read and written.

use std::time::{Duration, Instant};

use eligibility::{ChangeCursor, Lifetime, RateLimit, RateObservations};
use ids::TargetName;
use peering::work::{NamedRate, Rate, Rates};

use crate::app::App;
use crate::hub;

/// Longest time that a word of a peer is on its way, as far as it decides which of two answers is the later one:
/// a call is taken to have been sent by so much earlier, and an answer to have been heard by so much later.
const ON_ITS_WAY: Duration = Duration::from_millis(250);
/// Thousandths of a request in one.
const PARTS: f64 = 1000.0;

/// What this VM heard of a target's rate, as it tells peers.
pub(crate) fn encode_rate(lifetime: &Lifetime, own: &RateObservations, now: Instant) -> Rate {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    let named = |(limit, at): (RateLimit, Instant)| NamedRate {
        thousandths: (limit.per_s() * PARTS).round() as u64,
        heard_ms: age(at),
    };
    Rate {
        target: lifetime.target.to_string(),
        born: lifetime.born,
        after_ms: own.latest_sent().map(age),
        named: own.limits().map(named).collect(),
    }
}

/// What a peer heard of a target's rate; `None` if it can't be read.
pub(crate) fn decode_rate(rate: &Rate, now: Instant) -> Option<(Lifetime, RateObservations)> {
    let ago = |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms)));
    let after = rate.after_ms.and_then(ago).and_then(|at| at.checked_sub(ON_ITS_WAY));
    let heard = rate.named.iter().filter_map(|named| {
        let limit = RateLimit::new(named.thousandths as f64 / PARTS)?;
        Some((limit, ago(named.heard_ms)? + ON_ITS_WAY))
    });
    let lifetime = Lifetime { target: TargetName::new(&rate.target).ok()?, born: rate.born };
    Some((lifetime, RateObservations::from_parts(after, heard)))
}

/// What a peer tells of targets' rates; what can't be read is left out.
pub(crate) fn decode_rates(told: &Rates) -> Vec<(Lifetime, RateObservations)> {
    let now = hub::now();
    told.rates.iter().filter_map(|rate| decode_rate(rate, now)).collect()
}

/// What a peer has not been told on a link.
pub(crate) fn take_unsent_rates(app: &App, cursor: &mut ChangeCursor) -> Option<Rates> {
    let rates: Vec<Rate> = app.hub.with(|shared, now| {
        let (changes, up_to) = shared.rates.changes_after(*cursor);
        *cursor = up_to;
        changes.iter().map(|(lifetime, own)| encode_rate(lifetime, own, now)).collect()
    });
    (!rates.is_empty()).then_some(Rates { rates })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
