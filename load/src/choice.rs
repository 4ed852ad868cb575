//! Processor time of choosing an engine, which each request pays once a try.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use ids::{HallName, ServiceName, TargetName};
use intent::Target;
use selection::{CallSize, Policy, SelectionRequest, TargetOutcome, Targets, prefix_chain};

/// Choices that are timed together.
const CHOICES: u64 = 2000;
/// Engines among which is chosen: today's largest deployment, and twice the size that is expected.
const SIZES: [u16; 3] = [24, 240, 740];

/// Prints microseconds a choice. With one search of the prompt's home for each candidate, 200 choices
/// among 240 engines took 1,151 us each (release build); with one for all candidates, 7 us.
pub(crate) fn measure() -> errors::Result<()> {
    for engines in SIZES {
        let took = time_choices(engines)?;
        println!("{engines} engines: {:.1} us a choice", took.as_secs_f64() * 1e6);
    }
    Ok(())
}

fn time_choices(engines: u16) -> errors::Result<Duration> {
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
    for number in 0..CHOICES {
        let size = size_of(number);
        let wanted = SelectionRequest { service: &service, exclude: &[], size: Some(&size) };
        if let Some(pick) = targets.pick(&wanted, began) {
            targets.record_outcome(pick.key, TargetOutcome::Answered, began);
        }
    }
    Ok(began.elapsed() / u32::try_from(CHOICES).unwrap_or(u32::MAX))
}

/// A prompt of three parts, of which the first two are shared with others.
fn size_of(number: u64) -> CallSize {
    let parts = [(1, 500), (number % 100, 4000), (number, 6000)];
    let chain = prefix_chain("model", parts.into_iter());
    CallSize { chain, prompt_tokens: 10_500, inputs: Vec::new(), memory_tokens: 400_000 }
}
