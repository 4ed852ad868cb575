//! Messages that threads and async tasks send to the dispatcher.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::Service;
use ids::{
    AttemptId, CustomerName, Incarnation, Priority, RequestId, Revision, ServiceName, StageName,
    TargetName,
};
use journal::{AttemptEnd, RequestRecord, SubmissionId};
use membership::{Advert, Delta, DigestEntry};
use outcomes::{Outcome, Reason, Refusal};
use routing::{Admission, CallEnd, LoadReport, Slot, SlotRequest, TargetKey};
use settings::Settings;
use slog::Logger;
use store_client::ListedVm;
use telemetry::Metrics;
use tokio::sync::{Notify, oneshot};

use crate::configuration::Configuration;
use crate::dump::{FleetView, StateDump};
use crate::waiting_threads::SlotReply;

/// What the dispatcher is created with.
pub(crate) struct Setup {
    pub(crate) cfg: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    /// Starts the next gossip round early when there are changes to send to peers at once.
    pub(crate) round_trigger: Arc<Notify>,
}

/// A request that is about to begin.
#[derive(Debug, Clone)]
pub(crate) struct BeginRequest {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Option<Priority>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// A request that has begun, with the configuration that it uses until it ends.
#[derive(Debug, Clone)]
pub(crate) struct BegunRequest {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) priority: Priority,
    /// The journal's id of this submission; the caller may submit a request id several times.
    pub(crate) submission: SubmissionId,
}

impl BegunRequest {
    /// The service in the configuration under which the request began.
    pub(crate) fn service<'a>(&'a self, name: &ServiceName) -> Option<&'a Service> {
        self.configuration.catalogue.services.get(name)
    }
}

/// A call of a stage that needs a slot at a target.
#[derive(Debug, Clone)]
pub(crate) struct StageSlotRequest {
    pub(crate) id: RequestId,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) submission: SubmissionId,
    pub(crate) service: ServiceName,
    /// Index of the stage in the service.
    pub(crate) stage: usize,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Priority,
    /// Whether the request was refused before and returns at the announced time.
    pub(crate) returning: bool,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Targets that were already tried.
    pub(crate) exclude: Vec<TargetKey>,
    /// Hash of the prompt prefix, if the caller sent one.
    pub(crate) prefix: Option<u64>,
    /// Number of the attempt within the request, from 1; 0 for the admission.
    pub(crate) attempt_number: u32,
}

impl StageSlotRequest {
    /// The request to the router; `None` if the configuration does not have the service.
    pub(crate) fn to_slot_request(&self) -> Option<SlotRequest<'_>> {
        Some(SlotRequest {
            revision: self.configuration.revision,
            service: self.configuration.catalogue.services.get(&self.service)?,
            stage: self.stage,
            customer: &self.customer,
            priority: self.priority,
            returning: self.returning,
            deadline: self.deadline,
            exclude: self.exclude.clone(),
            prefix: self.prefix,
        })
    }
}

/// A call that ended, with what the target reported about its load and about leaving.
#[derive(Debug)]
pub(crate) struct EndedCall {
    pub(crate) submission: SubmissionId,
    pub(crate) service: ServiceName,
    pub(crate) stage: StageName,
    pub(crate) slot: Slot,
    pub(crate) target_name: TargetName,
    pub(crate) attempt: AttemptId,
    /// How the call ended, for the router.
    pub(crate) end: CallEnd,
    /// How the attempt ended, for the journal.
    pub(crate) attempt_end: AttemptEnd,
    pub(crate) took: Duration,
    pub(crate) load: Option<LoadReport>,
    /// Whether the target reported that it is leaving.
    pub(crate) leaving: bool,
}

/// Input of one gossip round.
#[derive(Debug)]
pub(crate) struct Round {
    pub(crate) own: Advert,
    /// Versions of the other VMs' heartbeats that this VM has.
    pub(crate) digest: Vec<DigestEntry>,
    /// VMs to which a new configuration is announced.
    pub(crate) announce_to: Vec<SocketAddr>,
    /// VMs to exchange state with.
    pub(crate) partners: Vec<SocketAddr>,
    /// Time until the next round, unless it is started early.
    pub(crate) interval: Duration,
}

/// A message to the dispatcher; those with a `Sender` get a reply.
pub(crate) enum Message {
    /// Begins a request under the configuration in force.
    Begin(BeginRequest, oneshot::Sender<Result<BegunRequest, Refusal>>),
    /// Checks whether a request can still finish before its deadline and be queued.
    Admit(StageSlotRequest, oneshot::Sender<Admission>),
    /// Requests a slot at a target; the reply comes when it is granted or refused.
    Slot(StageSlotRequest, oneshot::Sender<SlotReply>),
    /// A call ended; its slot is released.
    CallEnded(Box<EndedCall>),
    /// Whether a call may be retried after this many attempts; if so, the retry is taken from the
    /// retry budget.
    TryTakeRetry(u32, oneshot::Sender<bool>),
    /// A request ended.
    RequestEnded {
        submission: SubmissionId,
        revision: Revision,
        outcome: Outcome,
        reason: Option<Reason>,
        took: Duration,
    },
    /// Offers a configuration, which comes into force if it is newer.
    OfferConfiguration(Box<Configuration>),
    /// Requests the configuration in force and the one with this revision.
    Configurations(Revision, oneshot::Sender<ConfigurationPair>),
    /// Requests the input of the next gossip round.
    StartRound(oneshot::Sender<Round>),
    /// Adverts and heartbeats from a peer.
    PeerDelta(Delta),
    /// Bytes sent and received for one gossip round, from which the interval of rounds is set.
    RoundBytes(u64),
    /// Requests this VM's advert and what a peer with this digest does not have yet.
    DeltaFor(Vec<DigestEntry>, oneshot::Sender<(Advert, Delta)>),
    /// The platform's VM list.
    VmList(Vec<ListedVm>),
    /// Whether this VM reads the platform for all VMs of its hall, and the revision in force.
    ReadsPlatform(oneshot::Sender<(bool, Revision)>),
    /// Fencing token of the hall's orders lease; `None` if it is no longer held.
    OrdersFence(Option<u64>),
    /// Starts draining.
    Drain,
    /// Requests the number of requests in progress.
    InWork(oneshot::Sender<usize>),
    /// Whether this VM is ready for requests.
    Ready(oneshot::Sender<bool>),
    /// Requests the full state.
    Dump(oneshot::Sender<StateDump>),
    /// Requests the identity of this VM and the VMs it knows.
    Fleet(oneshot::Sender<FleetView>),
    /// Requests the revision in force.
    Revision(oneshot::Sender<Revision>),
    /// Requests the journal records of a request id.
    Explain(RequestId, oneshot::Sender<Vec<RequestRecord>>),
}

/// The configuration in force and, if still kept, the one that a peer has.
pub(crate) type ConfigurationPair = (Option<Arc<Configuration>>, Option<Arc<Configuration>>);
