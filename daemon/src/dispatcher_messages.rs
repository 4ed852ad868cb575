//! What threads and tasks ask of the dispatcher.

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

/// What the dispatcher is started with.
pub(crate) struct Setup {
    pub(crate) cfg: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    /// Wakes the peer links when there is something to tell at once.
    pub(crate) news: Arc<Notify>,
}

/// A request at its begin.
#[derive(Debug, Clone)]
pub(crate) struct BeginRequest {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Option<Priority>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// A request that was begun: the configuration it keeps and its number.
#[derive(Debug, Clone)]
pub(crate) struct BegunRequest {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) priority: Priority,
    pub(crate) submission: SubmissionId,
}

impl BegunRequest {
    /// The service as it stood when the request began.
    pub(crate) fn service<'a>(&'a self, name: &ServiceName) -> Option<&'a Service> {
        self.configuration.catalogue.services.get(name)
    }
}

/// A stage's call that needs a slot.
#[derive(Debug, Clone)]
pub(crate) struct StageSlotRequest {
    pub(crate) id: RequestId,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) submission: SubmissionId,
    pub(crate) service: ServiceName,
    pub(crate) stage: usize,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Priority,
    pub(crate) returning: bool,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) exclude: Vec<TargetKey>,
    pub(crate) prefix: Option<u64>,
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

/// A call that ended.
#[derive(Debug)]
pub(crate) struct EndedCall {
    pub(crate) submission: SubmissionId,
    pub(crate) service: ServiceName,
    pub(crate) stage: StageName,
    pub(crate) slot: Slot,
    pub(crate) target_name: TargetName,
    pub(crate) attempt: AttemptId,
    pub(crate) end: CallEnd,
    pub(crate) record: AttemptEnd,
    pub(crate) took: Duration,
    pub(crate) load: Option<LoadReport>,
    pub(crate) leaving: bool,
}

/// What a round of exchanges starts from.
#[derive(Debug)]
pub(crate) struct Round {
    pub(crate) own: Advert,
    pub(crate) known: Vec<DigestEntry>,
    pub(crate) to_announce: Vec<SocketAddr>,
    pub(crate) partners: Vec<SocketAddr>,
    pub(crate) interval: Duration,
}

/// Everything that others ask of the dispatcher.
pub(crate) enum Message {
    Begin(BeginRequest, oneshot::Sender<Result<BegunRequest, Refusal>>),
    Admit(StageSlotRequest, oneshot::Sender<Admission>),
    Slot(StageSlotRequest, oneshot::Sender<SlotReply>),
    CallEnded(Box<EndedCall>),
    MayRetry(u32, oneshot::Sender<bool>),
    RequestEnded {
        submission: SubmissionId,
        revision: Revision,
        outcome: Outcome,
        reason: Option<Reason>,
        took: Duration,
    },
    OfferConfiguration(Box<Configuration>),
    Configurations(Revision, oneshot::Sender<ConfigurationPair>),
    StartRound(oneshot::Sender<Round>),
    PeerNews(Delta),
    RoundBytes(u64),
    NewsFor(Vec<DigestEntry>, oneshot::Sender<(Advert, Delta)>),
    VmList(Vec<ListedVm>),
    ReadsPlatform(oneshot::Sender<(bool, Revision)>),
    OrdersFence(Option<u64>),
    Drain,
    InWork(oneshot::Sender<usize>),
    Ready(oneshot::Sender<bool>),
    Dump(oneshot::Sender<StateDump>),
    Fleet(oneshot::Sender<FleetView>),
    Revision(oneshot::Sender<Revision>),
    Explain(RequestId, oneshot::Sender<Vec<RequestRecord>>),
}

/// The configuration in force and, if still kept, the one that a peer has.
pub(crate) type ConfigurationPair = (Option<Arc<Configuration>>, Option<Arc<Configuration>>);
