//! CPU time of selecting an engine, which is spent once per attempt at a request.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use eligibility::AllowedHalls;
use ids::{HallName, ServiceName, TargetName};
use intent::Target;
use rollout::Versions;
use selection::{CallSize, Policy, SelectionRequest, TargetOutcome, Targets, prefix_chain};

/// Number of selections timed together.
const SELECTIONS: u64 = 2000;
/// Numbers of engines to select from: up to the largest deployment in use, and twice the
/// expected size.
const ENGINE_COUNTS: [u16; 3] = [24, 240, 740];

/// Prints the mean time of a selection in microseconds. The engine that holds the prompt's prefix
/// must be looked up once per selection and not per candidate.
pub(crate) fn measure() -> errors::Result<()> {
    for engines in ENGINE_COUNTS {
        let took = mean_selection_time(engines)?;
        println!("{engines} engines: {:.1} us a choice", took.as_secs_f64() * 1e6);
    }
    Ok(())
}

/// Mean time of a selection among `engines` engines.
pub(crate) fn mean_selection_time(engines: u16) -> errors::Result<Duration> {
    let service = ServiceName::new("engines")?;
    let hall = HallName::new("hall-a")?;
    let mut targets = Targets::new(Policy::Adaptive, hall.clone());
    for number in 0..engines {
        let target = Target {
            id: TargetName::new(&format!("engine-{number}"))?,
            born: None,
            service: service.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, number + 1)),
            hall: hall.clone(),
            version: None,
            slots: 16,
            leaving: false,
            backoff_until: None,
            rate_limited_until: None,
            request_interval: None,
            cold_start_remaining: Duration::ZERO,
        };
        targets.upsert(target, Instant::now());
    }
    let began = Instant::now();
    for number in 0..SELECTIONS {
        let size = call_size(number);
        let request = SelectionRequest {
            service: &service,
            exclude: &[],
            size: Some(&size),
            halls: &AllowedHalls::Any,
            versions: &Versions::Any,
        };
        if let Some(pick) = targets.pick(&request, began) {
            targets.record_outcome(pick.key, TargetOutcome::Answered, began);
        }
    }
    Ok(began.elapsed() / u32::try_from(SELECTIONS).unwrap_or(u32::MAX))
}

/// Size of a call whose prompt has three parts; the first two are shared with other calls.
fn call_size(number: u64) -> CallSize {
    let parts = [(1, 500), (number % 100, 4000), (number, 6000)];
    let chain = prefix_chain("model", parts.into_iter());
    CallSize { chain, prompt_tokens: 10_500, inputs: Vec::new(), memory_tokens: 400_000 }
}
