//! Conversion between the peer protocol's messages and the types of the components.

use catalogue::{Catalogue, ChangeKind, Document, ObjectKey, diff};
use errors::{Error, Result};
use ids::{HallName, Incarnation, Revision, TargetName, VmName};
use membership::{Advert, Delta, DigestEntry, Heartbeat, NameHash};
use peering::peer as wire;

use crate::configuration::{Configuration, Source};

/// Encodes a heartbeat.
pub(crate) fn beat_to_wire(beat: Heartbeat) -> wire::Beat {
    let (load_targets, load_calls) = beat.loads.into_iter().map(|(t, calls)| (t.0, calls)).unzip();
    wire::Beat {
        vm: beat.vm.0,
        incarnation: beat.incarnation.0,
        sequence: beat.sequence,
        revision: beat.revision.0,
        draining: beat.draining,
        load_targets,
        load_calls,
        leaving: beat.leaving.into_iter().map(String::from).collect(),
    }
}

/// Decodes a heartbeat; names of leaving targets that are not valid are dropped.
pub(crate) fn beat_from_wire(beat: wire::Beat) -> Heartbeat {
    let targets = beat.load_targets.into_iter().map(NameHash);
    let leaving = beat.leaving.iter().map(|name| TargetName::new(name));
    Heartbeat {
        vm: NameHash(beat.vm),
        incarnation: Incarnation(beat.incarnation),
        sequence: beat.sequence,
        revision: Revision(beat.revision),
        draining: beat.draining,
        loads: targets.zip(beat.load_calls).collect(),
        leaving: leaving.filter_map(std::result::Result::ok).collect(),
    }
}

/// Encodes an advert.
pub(crate) fn advert_to_wire(advert: Advert) -> wire::Advert {
    wire::Advert {
        vm: advert.vm.into(),
        hall: advert.hall.into(),
        peers: advert.peers.to_string(),
        operations: advert.operations.to_string(),
        beat: Some(beat_to_wire(advert.beat)),
    }
}

/// Decodes an advert; `None` if a field is missing or invalid.
pub(crate) fn advert_from_wire(advert: wire::Advert) -> Option<Advert> {
    Some(Advert {
        vm: VmName::new(&advert.vm).ok()?,
        hall: HallName::new(&advert.hall).ok()?,
        peers: advert.peers.parse().ok()?,
        operations: advert.operations.parse().ok()?,
        beat: beat_from_wire(advert.beat?),
    })
}

/// Encodes the first message of an exchange: this VM's advert and a digest of the VMs it knows.
pub(crate) fn hello_to_wire(own: Advert, digest: &[DigestEntry]) -> wire::Hello {
    wire::Hello {
        own: Some(advert_to_wire(own)),
        known_vms: digest.iter().map(|k| k.vm.0).collect(),
        known_incarnations: digest.iter().map(|k| k.incarnation.0).collect(),
        known_sequences: digest.iter().map(|k| k.sequence).collect(),
    }
}

/// Decodes the digest that the sender of `hello` made of the VMs it knows.
pub(crate) fn digest_from_hello(hello: &wire::Hello) -> Vec<DigestEntry> {
    let versions = hello.known_incarnations.iter().zip(&hello.known_sequences);
    let known = hello.known_vms.iter().zip(versions);
    known
        .map(|(vm, (incarnation, sequence))| DigestEntry {
            vm: NameHash(*vm),
            incarnation: Incarnation(*incarnation),
            sequence: *sequence,
        })
        .collect()
}

/// Encodes the reply of an exchange: this VM's advert and what the other VM does not know yet.
pub(crate) fn news_to_wire(own: Advert, delta: Delta) -> wire::News {
    wire::News {
        own: Some(advert_to_wire(own)),
        others: delta.adverts.into_iter().map(advert_to_wire).collect(),
        beats: delta.heartbeats.into_iter().map(beat_to_wire).collect(),
    }
}

/// Decodes the reply of an exchange; invalid adverts are dropped.
pub(crate) fn news_from_wire(news: wire::News) -> Delta {
    let adverts = news.own.into_iter().chain(news.others);
    Delta {
        adverts: adverts.filter_map(advert_from_wire).collect(),
        heartbeats: news.beats.into_iter().map(beat_from_wire).collect(),
    }
}

/// Encodes the reply that brings a peer to the configuration `current`.
///
/// It holds the differences from `old`, the peer's configuration, or the whole catalogue if this VM
/// no longer keeps that one.
pub(crate) fn catalogue_reply(
    current: &Configuration,
    old: Option<&Configuration>,
) -> wire::CatalogueReply {
    let mut reply = wire::CatalogueReply {
        revision: current.revision.0,
        digest: current.catalogue.digest(),
        ..wire::CatalogueReply::default()
    };
    let Some(old) = old else {
        reply.whole = serde_json::to_vec(&current.catalogue).unwrap_or_default();
        return reply;
    };
    let changes = diff(&old.catalogue, &current.catalogue);
    let (removed, upserted): (Vec<_>, Vec<_>) =
        changes.into_iter().partition(|change| change.kind == ChangeKind::Removed);
    reply.removed = removed.iter().map(|change| change.object.to_string()).collect();
    let is_upserted = |document: &Document| upserted.iter().any(|c| c.object == document.key());
    let documents = current.catalogue.documents().filter(is_upserted);
    reply.changed = documents.filter_map(|d| serde_json::to_vec(&d).ok()).collect();
    reply
}

/// Decodes a configuration from a peer's reply and checks the catalogue's digest.
///
/// If the reply holds differences, they are applied to `base`, or to an empty catalogue if there is
/// none.
///
/// # Errors
/// `BadInput` if the reply can't be decoded or the digest does not match.
pub(crate) fn catalogue_from_reply(
    reply: &wire::CatalogueReply,
    base: Option<&Configuration>,
) -> Result<Configuration> {
    let invalid = |problem: String| Error::bad_input("a peer's catalogue", problem);
    let decode_error = |e: serde_json::Error| invalid(e.to_string());
    let catalogue = if reply.whole.is_empty() {
        let mut catalogue: Catalogue = base.map(|base| base.catalogue.clone()).unwrap_or_default();
        for key in &reply.removed {
            catalogue.remove(&key.parse::<ObjectKey>()?);
        }
        for document in &reply.changed {
            catalogue.put(serde_json::from_slice(document).map_err(decode_error)?);
        }
        catalogue
    } else {
        serde_json::from_slice(&reply.whole).map_err(decode_error)?
    };
    if catalogue.digest() != reply.digest {
        return Err(invalid("digest does not match the digest in the reply".to_owned()));
    }
    Ok(Configuration { revision: Revision(reply.revision), catalogue, source: Source::Peer })
}
