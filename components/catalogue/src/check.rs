//! Validation of a complete catalogue before it is accepted.

use std::collections::BTreeSet;

use errors::{Error, Result};

use crate::{Catalogue, Selector, Service, Stage};

/// Maximum number of stages in a service.
pub const MAX_STAGES: usize = 16;
/// Maximum number of slots of a target.
pub const MAX_SLOTS: u32 = 4096;

/// Validates value ranges, and rules that no single document can show: stage names and target
/// addresses are unique, and each selector matches at least one target.
///
/// # Errors
/// `BadInput` for the first problem, with the object and field as its place.
pub fn check(catalogue: &Catalogue) -> Result<()> {
    catalogue.services.values().try_for_each(|s| check_service(catalogue, s))?;
    check_targets(catalogue)?;
    match catalogue.customers.values().find(|c| c.share == 0) {
        Some(c) => Err(Error::bad_input(
            format!("customer/{}.share", c.name),
            "expected a share of 1 or more",
        )),
        None => Ok(()),
    }
}

fn check_targets(catalogue: &Catalogue) -> Result<()> {
    let mut addresses = BTreeSet::new();
    for target in catalogue.targets.values() {
        if target.slots == 0 || target.slots > MAX_SLOTS {
            return Err(Error::bad_input(
                format!("target/{}.slots", target.name),
                format!("expected 1 to {MAX_SLOTS}, found {}", target.slots),
            ));
        }
        if !addresses.insert(target.address) {
            return Err(Error::bad_input(
                format!("target/{}.address", target.name),
                format!("{} is the address of another target too", target.address),
            ));
        }
    }
    Ok(())
}

fn check_service(catalogue: &Catalogue, service: &Service) -> Result<()> {
    let place = format!("service/{}", service.name);
    if service.stages.is_empty() || service.stages.len() > MAX_STAGES {
        return Err(Error::bad_input(
            format!("{place}.stages"),
            format!("expected 1 to {MAX_STAGES} stages, found {}", service.stages.len()),
        ));
    }
    let mut names = BTreeSet::new();
    let last = service.stages.len() - 1;
    for (index, stage) in service.stages.iter().enumerate() {
        let place = format!("{place}.stages.{}", stage.name);
        if !names.insert(&stage.name) {
            return Err(Error::bad_input(place, "two stages have this name"));
        }
        if stage.streams && index != last {
            return Err(Error::bad_input(
                format!("{place}.streams"),
                "only the last stage can stream to the caller",
            ));
        }
        check_stage(catalogue, stage, &place)?;
    }
    Ok(())
}

fn check_stage(catalogue: &Catalogue, stage: &Stage, place: &str) -> Result<()> {
    check_selector(catalogue, &stage.select, &format!("{place}.select"))?;
    if catalogue.targets_of(stage).next().is_none() {
        return Err(Error::bad_input(format!("{place}.select"), "matches no target"));
    }
    for (index, share) in stage.split.iter().enumerate() {
        let place = format!("{place}.split[{index}]");
        check_selector(catalogue, &share.select, &place)?;
        if !catalogue.targets_of(stage).any(|t| share.select.matches(&t.labels)) {
            return Err(Error::bad_input(place, "matches none of the stage's targets"));
        }
    }
    if !stage.split.is_empty() && stage.split.iter().all(|s| s.weight == 0) {
        return Err(Error::bad_input(format!("{place}.split"), "every weight is 0"));
    }
    Ok(())
}

fn check_selector(catalogue: &Catalogue, selector: &Selector, place: &str) -> Result<()> {
    if selector.is_empty() {
        return Err(Error::bad_input(place, "has no condition: expected all, any or none"));
    }
    let known = |key: &String| catalogue.targets.values().any(|t| t.labels.contains_key(key));
    match selector.keys().find(|key| !known(key)) {
        Some(key) => Err(Error::bad_input(place, format!("no target has a label \"{key}\""))),
        None => Ok(()),
    }
}
