//! Peer messages to the types of the components and back.

use catalogue::{Catalogue, ChangeKind, Document, ObjectKey, diff};
use errors::{Error, Result};
use ids::{HallName, Incarnation, Revision, TargetName, VmName};
use membership::Advert;
use peering::messages as wire;

use crate::in_force::{InForce, Source};

pub(crate) fn advert_to_wire(advert: Advert) -> wire::Advert {
    let (load_targets, load_calls) = advert.loads.into_iter().unzip();
    wire::Advert {
        vm: advert.vm.into(),
        hall: advert.hall.into(),
        peers: advert.peers.to_string(),
        operations: advert.operations.to_string(),
        incarnation: advert.incarnation.0,
        sequence: advert.sequence,
        revision: advert.revision.0,
        draining: advert.draining,
        load_targets,
        load_calls,
        leaving: advert.leaving.into_iter().map(String::from).collect(),
    }
}

/// An advert from a peer; one that can't be read is as good as none.
pub(crate) fn advert_from_wire(advert: wire::Advert) -> Option<Advert> {
    let leaving = advert.leaving.iter().map(|name| TargetName::new(name));
    Some(Advert {
        vm: VmName::new(&advert.vm).ok()?,
        hall: HallName::new(&advert.hall).ok()?,
        peers: advert.peers.parse().ok()?,
        operations: advert.operations.parse().ok()?,
        incarnation: Incarnation(advert.incarnation),
        sequence: advert.sequence,
        revision: Revision(advert.revision),
        draining: advert.draining,
        loads: advert.load_targets.into_iter().zip(advert.load_calls).collect(),
        leaving: leaving.filter_map(std::result::Result::ok).collect(),
    })
}

pub(crate) fn known_to_wire(
    (vm, incarnation, sequence): (VmName, Incarnation, u64),
) -> wire::Known {
    wire::Known { vm: vm.into(), incarnation: incarnation.0, sequence }
}

pub(crate) fn known_from_wire(known: &wire::Known) -> Option<(VmName, Incarnation, u64)> {
    Some((VmName::new(&known.vm).ok()?, Incarnation(known.incarnation), known.sequence))
}

/// The reply that leads a peer from `old`, if it is known here, to `now`.
pub(crate) fn catalogue_reply(now: &InForce, old: Option<&InForce>) -> wire::CatalogueReply {
    let mut reply = wire::CatalogueReply {
        revision: now.revision.0,
        digest: now.catalogue.digest(),
        ..wire::CatalogueReply::default()
    };
    let Some(old) = old else {
        reply.whole = serde_json::to_vec(&now.catalogue).unwrap_or_default();
        return reply;
    };
    let changes = diff(&old.catalogue, &now.catalogue);
    let (gone, put): (Vec<_>, Vec<_>) =
        changes.into_iter().partition(|change| change.kind == ChangeKind::Removed);
    reply.removed = gone.iter().map(|change| change.object.to_string()).collect();
    let is_put = |document: &Document| put.iter().any(|c| c.object == document.key());
    let documents = now.catalogue.documents().filter(is_put);
    reply.changed = documents.filter_map(|d| serde_json::to_vec(&d).ok()).collect();
    reply
}

/// The configuration that the reply leads to, its digest checked.
pub(crate) fn catalogue_from_reply(
    reply: &wire::CatalogueReply,
    have: Option<&InForce>,
) -> Result<InForce> {
    let broken = |problem: String| Error::bad_input("a peer's catalogue", problem);
    let read = |e: serde_json::Error| broken(e.to_string());
    let catalogue = if reply.whole.is_empty() {
        let mut catalogue: Catalogue = have.map(|have| have.catalogue.clone()).unwrap_or_default();
        for key in &reply.removed {
            catalogue.remove(&key.parse::<ObjectKey>()?);
        }
        for document in &reply.changed {
            catalogue.put(serde_json::from_slice(document).map_err(read)?);
        }
        catalogue
    } else {
        serde_json::from_slice(&reply.whole).map_err(read)?
    };
    if catalogue.digest() != reply.digest {
        return Err(broken("its digest is another".to_owned()));
    }
    Ok(InForce { revision: Revision(reply.revision), catalogue, source: Source::Peer })
}
