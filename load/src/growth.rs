//! What grows with the number of VMs and of targets, counted on the components that decide it,
//! without a network: links, heartbeats, names ranked, turns at the store's listing, and the size of
//! the content that a starting VM receives.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::Result;
use fleet::{Fleet, HEARTBEAT_INTERVAL, Split, VmEntry};
use ids::{HallName, StoreRevision, VmName};
use intent::PoolSpec;
use store_view::{BatchRequest, Item, Position, View};

use crate::choice;

/// Numbers of VMs; each has ten times as many targets.
const SIZES: [usize; 4] = [100, 300, 1000, 2000];
const HALLS: usize = 6;
const TARGETS_PER_VM: usize = 10;
/// Pools, and the part of all targets that are workers of each, as 1/n.
const POOLS: [&str; 3] = ["encode", "retrieve", "rerank"];
const WORKERS_DIVISOR: usize = 10;
/// One VM of so many has [`LARGE_CORES`], the others [`SMALL_CORES`].
const LARGE_EVERY: usize = 16;
const LARGE_CORES: f64 = 0.5;
const SMALL_CORES: f64 = 0.12;
/// Size of a part of changes between VMs, in bytes, and of a target's entry in the store.
const PART_BYTES: usize = 32 * 1024;
const ENTRY_BYTES: usize = 170;

/// A fleet as all of its VMs know it once they are linked.
struct Layout {
    vms: Vec<(VmName, VmEntry)>,
    splits: Vec<(&'static str, Split)>,
}

impl Layout {
    fn new(vms: usize) -> Result<Self> {
        let vms: Result<Vec<_>> = (0..vms).map(vm).collect();
        let vms = vms?;
        let halls = (0..HALLS).map(hall).collect::<Result<Vec<_>>>()?;
        let workers = vms.len() * TARGETS_PER_VM / WORKERS_DIVISOR;
        let split = || Split::new(&spec(), halls.iter().cycle().take(workers));
        Ok(Layout { vms, splits: POOLS.iter().map(|pool| (*pool, split())).collect() })
    }

    /// The view of one VM, with all others listed.
    fn fleet(&self, own: usize, now: Instant) -> Fleet {
        let (name, entry) = self.vms[own].clone();
        let mut fleet = Fleet::new(name, entry, 1, now);
        for (vm, entry) in &self.vms {
            fleet.add_listed(vm.clone(), entry.clone(), now);
        }
        fleet
    }

    /// Addresses that a VM dials.
    fn dialed(&self, fleet: &Fleet) -> Vec<SocketAddr> {
        let pools = self.splits.iter().map(|(pool, split)| (*pool, split));
        fleet.wanted_links(pools).into_iter().collect()
    }
}

/// Counts of one fleet.
struct Counts {
    /// Links of each VM, dialed and accepted, sorted.
    links: Vec<usize>,
    /// Names ranked by a VM that started and exchanged hellos with all VMs that it dials.
    names_ranked: u64,
    /// Delays of the VMs of a hall before a long listing, sorted.
    delays: Vec<Duration>,
    /// Parts in which the store's content is passed on.
    parts: usize,
}

/// Prints the counts of each size.
pub(crate) fn measure() -> Result<()> {
    println!(
        "VMs targets | links: middle busiest | heartbeats/s: middle busiest | names ranked | \
         list at once, last after s | parts to a new VM | us a choice"
    );
    for vms in SIZES {
        let counts = count(vms)?;
        let (middle, busiest) = (counts.links[vms / 2], counts.links[vms - 1]);
        // A heartbeat each way for each link and interval.
        let per_link = 2.0 / HEARTBEAT_INTERVAL.as_secs_f64();
        let at_once = counts.delays.iter().filter(|delay| delay.is_zero()).count();
        let last = counts.delays.last().copied().unwrap_or_default();
        let engines = u16::try_from(vms * TARGETS_PER_VM * 2 / 3).unwrap_or(u16::MAX);
        let choice = choice::mean_selection_time(engines)?;
        println!(
            "{vms} {} | {middle} {busiest} | {:.0} {:.0} | {} | {at_once} {:.1} | {} | {:.0}",
            vms * TARGETS_PER_VM,
            middle as f64 * per_link,
            busiest as f64 * per_link,
            counts.names_ranked,
            last.as_secs_f64(),
            counts.parts,
            choice.as_secs_f64() * 1e6,
        );
    }
    Ok(())
}

fn count(vms: usize) -> Result<Counts> {
    let now = Instant::now();
    let layout = Layout::new(vms)?;
    let by_address: HashMap<SocketAddr, usize> =
        layout.vms.iter().enumerate().map(|(number, (_, entry))| (entry.peers, number)).collect();
    let mut links = vec![0; vms];
    let mut delays = Vec::new();
    let mut names_ranked = 0;
    for own in 0..vms {
        let mut fleet = layout.fleet(own, now);
        let dialed = layout.dialed(&fleet);
        links[own] += dialed.len();
        let peers: Vec<usize> =
            dialed.iter().filter_map(|address| by_address.get(address).copied()).collect();
        peers.iter().for_each(|peer| links[*peer] += 1);
        if own.is_multiple_of(HALLS) {
            delays.push(fleet.listing_delay());
        }
        if own == 0 {
            for peer in peers {
                let (vm, entry) = &layout.vms[peer];
                fleet.record_heard(vm, true, now);
                fleet.record_identity(vm, 1, Some(entry.clone()));
                layout.dialed(&fleet);
            }
            names_ranked = fleet.names_ranked();
        }
    }
    links.sort_unstable();
    delays.sort_unstable();
    Ok(Counts { links, names_ranked, delays, parts: parts_of_content(vms) })
}

/// Number of parts in which the entries of all targets and VMs are passed on.
fn parts_of_content(vms: usize) -> usize {
    let mut view = View::default();
    let value = Bytes::from(vec![b'x'; ENTRY_BYTES]);
    let entries = (0..vms * (TARGETS_PER_VM + 1)).map(|number| Item {
        key: format!("targets/i-{number:08x}"),
        revision: StoreRevision { era: 0, number: number as u64 + 1 },
        value: Some(value.clone()),
    });
    view.merge(entries.collect());
    let mut request = BatchRequest::default();
    let mut parts = 0;
    loop {
        let batch = view.next_batch(&request, PART_BYTES);
        parts += 1;
        let last = batch.parts.last().map(|part| &part.item);
        let Some(last) = last.filter(|_| !batch.is_last) else { return parts };
        request.after = Position { revision: last.revision, key: last.key.clone() };
    }
}

fn hall(number: usize) -> Result<HallName> {
    HallName::new(&format!("hall-{}", number % HALLS))
}

fn vm(number: usize) -> Result<(VmName, VmEntry)> {
    let third = u8::try_from(number / 200).unwrap_or(u8::MAX);
    let fourth = u8::try_from(number % 200).unwrap_or(u8::MAX);
    let peers = SocketAddr::from((Ipv4Addr::new(10, 0, third, fourth), 7000));
    let cores =
        if (number / HALLS).is_multiple_of(LARGE_EVERY) { LARGE_CORES } else { SMALL_CORES };
    Ok((VmName::new(&format!("vm-{number}"))?, VmEntry { peers, hall: hall(number)?, cores }))
}

/// A pool whose workers make 31 pieces a second each.
fn spec() -> PoolSpec {
    PoolSpec {
        at_once: 1,
        queue: 2,
        batch: 14,
        call: Duration::from_millis(240),
        piece: Duration::from_millis(15),
        room_bytes: 17_000_000,
        result_life: Duration::from_secs(4),
        link: None,
    }
}
