//! The lane of each stage, for the newest configuration and for older ones that requests
//! still use.

use std::collections::{BTreeMap, HashMap, HashSet};

use catalogue::Catalogue;
use ids::{Revision, ServiceName, TargetName};

use crate::api::SlotRequest;
use crate::lane::LaneKey;
use crate::target::TargetKey;

/// Service, index of the stage, and index of the traffic share. The last is `None` for the lane of
/// all targets of the stage, by which admission is decided also if the stage's traffic is split.
type StageIndex = (ServiceName, usize, Option<usize>);

/// The lanes of one configuration.
#[derive(Debug, Default)]
struct ConfigurationLanes {
    lanes: HashMap<StageIndex, LaneKey>,
    /// Requests that began under the configuration and have not ended.
    active_requests: usize,
}

/// The lanes of all configurations in use. Stages that select the same targets share a lane, also
/// across services and revisions, so that their requests wait in one common queue.
#[derive(Debug, Default)]
pub(crate) struct LanesByRevision {
    by_revision: BTreeMap<Revision, ConfigurationLanes>,
    lane_of: HashMap<Vec<TargetKey>, LaneKey>,
}

impl LanesByRevision {
    /// Adds a configuration; `new_lane` creates a lane for a set of targets that has none yet.
    pub(crate) fn add(
        &mut self,
        revision: Revision,
        catalogue: &Catalogue,
        by_name: &BTreeMap<TargetName, TargetKey>,
        mut new_lane: impl FnMut(Vec<TargetKey>) -> LaneKey,
    ) {
        let mut configuration = ConfigurationLanes::default();
        for service in catalogue.services.values() {
            for (index, stage) in service.stages.iter().enumerate() {
                let shares =
                    stage.split.iter().enumerate().map(|(n, s)| (Some(n), Some(&s.select)));
                for (share, select) in shares.chain(std::iter::once((None, None))) {
                    let allowed = catalogue
                        .targets_of(stage)
                        .filter(|t| select.is_none_or(|select| select.matches(&t.labels)));
                    let targets: Vec<TargetKey> =
                        allowed.filter_map(|t| by_name.get(&t.name).copied()).collect();
                    let new_lane_key = || new_lane(targets.clone());
                    let lane = *self.lane_of.entry(targets.clone()).or_insert_with(new_lane_key);
                    configuration.lanes.insert((service.name.clone(), index, share), lane);
                }
            }
        }
        self.by_revision.insert(revision, configuration);
    }

    /// Returns the lane of a stage in the configuration under which the request began.
    pub(crate) fn lane(
        &self,
        req: &SlotRequest<'_>,
        stage: usize,
        share: Option<usize>,
    ) -> Option<LaneKey> {
        let configuration = self.by_revision.get(&req.revision)?;
        configuration.lanes.get(&(req.service.name.clone(), stage, share)).copied()
    }

    /// Counts the start of a request.
    pub(crate) fn begin(&mut self, revision: Revision) {
        if let Some(configuration) = self.by_revision.get_mut(&revision) {
            configuration.active_requests += 1;
        }
    }

    /// Counts the end of a request; returns whether its configuration can be dropped.
    pub(crate) fn end(&mut self, revision: Revision) -> bool {
        let newest = self.by_revision.keys().next_back().copied();
        let Some(configuration) = self.by_revision.get_mut(&revision) else { return false };
        configuration.active_requests = configuration.active_requests.saturating_sub(1);
        configuration.active_requests == 0 && Some(revision) != newest
    }

    /// Drops the configurations that no request uses, except the newest, and returns the lanes that
    /// no remaining configuration uses.
    pub(crate) fn drop_unused(&mut self) -> Vec<LaneKey> {
        let newest = self.by_revision.keys().next_back().copied();
        self.by_revision.retain(|revision, configuration| {
            configuration.active_requests > 0 || Some(*revision) == newest
        });
        let configurations = self.by_revision.values();
        let used: HashSet<LaneKey> =
            configurations.flat_map(|c| c.lanes.values()).copied().collect();
        let mut unused = Vec::new();
        self.lane_of.retain(|_, lane| {
            let keep = used.contains(lane);
            if !keep {
                unused.push(*lane);
            }
            keep
        });
        unused
    }
}
