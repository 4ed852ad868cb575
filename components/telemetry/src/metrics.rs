//! Counters, gauges and histograms of the process, exported in the Prometheus text format.

use std::time::Duration;

use errors::{Error, Result};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket boundaries of the duration histograms, in seconds.
const DURATION_BUCKETS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// Names of all metrics, without the suffixes that the exporter adds.
pub mod metric_names {
    /// Number of answered requests, by service, customer and outcome.
    pub const REQUESTS: &str = "saddlerail_requests";
    /// Time from a request's arrival to its response, in seconds, by service and outcome.
    pub const REQUEST_SECONDS: &str = "saddlerail_request_seconds";
    /// Number of ended attempts, by stage, target and end (result).
    pub const ATTEMPTS: &str = "saddlerail_attempts";
    /// Cost charged by targets, in their units, by stage, customer and whether the request got a
    /// complete response.
    pub const COST: &str = "saddlerail_stage_cost";
    /// Number of responses that were discarded because they named another attempt, by target.
    pub const MISMATCHED_ANSWERS: &str = "saddlerail_crossed_answers";
    /// Number of answers whose body was not read to its end, by service and cause.
    pub const ANSWERS_NOT_READ: &str = "saddlerail_answers_not_read";
    /// Bytes of control messages exchanged with peers, by direction.
    pub const CONTROL_BYTES: &str = "saddlerail_control_bytes";
    /// Number of calls to the platform, by kind and result.
    pub const PLATFORM_CALLS: &str = "saddlerail_platform_calls";
    /// Number of requests in progress.
    pub const IN_WORK: &str = "saddlerail_requests_in_work";
    /// Revision of the configuration in force.
    pub const REVISION: &str = "saddlerail_revision";
    /// Time since the store last responded, in seconds.
    pub const STORE_AGE: &str = "saddlerail_store_age_seconds";
    /// Time for which a peer has had a newer configuration than this process, in seconds; 0 if none
    /// has.
    pub const CONFIGURATION_BEHIND: &str = "saddlerail_configuration_behind_seconds";
    /// Number of data halls that operators took out of service.
    pub const HALLS_EVACUATED: &str = "saddlerail_halls_evacuated";
    /// Number of cold targets, which have just started and get fewer requests for a while.
    pub const TARGETS_COLD: &str = "saddlerail_targets_cold";
    /// Number of requests refused because such requests crash targets, by service.
    pub const QUARANTINED: &str = "saddlerail_requests_quarantined";
    /// Number of distinct requests that are currently refused because they crash targets.
    pub const QUARANTINE: &str = "saddlerail_quarantine";
    /// Number of target lifetimes reported as leaving, by service and the source of the first
    /// report: `answer` or `peer`.
    pub const TARGETS_DEPARTED: &str = "saddlerail_targets_departed";
    /// Number of permits requested for targets with a rate limit, by service and end (granted or
    /// denied).
    pub const PERMITS: &str = "saddlerail_permits";
    /// Number of unknown headers in targets' responses, by service.
    pub const UNKNOWN_HEADERS: &str = "saddlerail_unknown_words";
    /// Number of results of stages that this VM gave up, by cause: no longer needed, the end of
    /// their lease, an answer that came too late, or a release that the worker did not confirm.
    pub const RESULTS_GIVEN_UP: &str = "saddlerail_results_given_up";
    /// Number of times that stages of a request were rerun because an input was lost, by cause.
    pub const INPUTS_GONE: &str = "saddlerail_inputs_gone";
    /// Number of streams that callers took up, by service and by what told the version that began
    /// them: a `record` of this VM, a `peer`, the `shares` of the versions, or `unknown`.
    pub const STREAM_RESUMPTIONS: &str = "saddlerail_stream_resumptions";
    /// Number of streams whose target fell silent, by service and end: they `went on` there, or
    /// another target has `taken over`.
    pub const STREAM_SILENCES: &str = "saddlerail_stream_silences";
    /// Number of requests closed by the end of the process, by what they were waiting for.
    pub const CLOSED_BY_STOP: &str = "saddlerail_requests_closed_by_stop";
    /// Number of requests ended because the shutdown left no time for them, by what they were
    /// waiting for.
    pub const ENDED_BY_STOP: &str = "saddlerail_requests_ended_by_stop";
    /// Number of callers' connections that ended with a request in work, or with bytes that were not
    /// read or sent, by cause.
    pub const CONNECTIONS_ENDED_WITH_WORK: &str = "saddlerail_connections_ended_with_work";
    /// Number of callers' connections that were refused since as many as possible were open.
    pub const CONNECTIONS_REFUSED: &str = "saddlerail_connections_refused";
    /// Number of callers' open connections.
    pub const CONNECTIONS_OPEN: &str = "saddlerail_connections_open";
    /// Bytes of callers' requests that are counted until they are answered.
    pub const REQUEST_BYTES: &str = "saddlerail_request_bytes";
    /// Bytes of targets' answers that are counted until callers have them.
    pub const ANSWER_BYTES: &str = "saddlerail_answer_bytes";
    /// Resident memory of the process, in bytes.
    pub const RESIDENT_BYTES: &str = "saddlerail_resident_bytes";
    /// Number of connections to targets that a peer relayed for this VM, by service.
    pub const CONNECTIONS_RELAYED: &str = "saddlerail_connections_relayed";
    /// Number of connections to targets that peers asked this VM to relay, by result.
    pub const RELAYS_SERVED: &str = "saddlerail_relays_served";
    /// Whether this VM is cut off from targets: 1 or 0.
    pub const CUT_OFF: &str = "saddlerail_cut_off";
    /// Names of all metrics, for the test that compares them with the documentation.
    pub const ALL: [&str; 34] = [
        CONNECTIONS_REFUSED,
        CONNECTIONS_OPEN,
        REQUEST_BYTES,
        ANSWER_BYTES,
        RESIDENT_BYTES,
        REQUESTS,
        REQUEST_SECONDS,
        ATTEMPTS,
        COST,
        MISMATCHED_ANSWERS,
        CONTROL_BYTES,
        PLATFORM_CALLS,
        IN_WORK,
        REVISION,
        STORE_AGE,
        CONFIGURATION_BEHIND,
        HALLS_EVACUATED,
        TARGETS_COLD,
        QUARANTINED,
        QUARANTINE,
        TARGETS_DEPARTED,
        PERMITS,
        UNKNOWN_HEADERS,
        RESULTS_GIVEN_UP,
        INPUTS_GONE,
        STREAM_RESUMPTIONS,
        STREAM_SILENCES,
        CLOSED_BY_STOP,
        ENDED_BY_STOP,
        CONNECTIONS_ENDED_WITH_WORK,
        CONNECTIONS_RELAYED,
        RELAYS_SERVED,
        ANSWERS_NOT_READ,
        CUT_OFF,
    ];
}

/// What the process holds for others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Held {
    /// Callers' open connections.
    pub connections: u64,
    /// Counted bytes of callers' requests.
    pub request_bytes: u64,
    /// Counted bytes of targets' answers.
    pub answer_bytes: u64,
    /// Resident memory of the process, in bytes; 0 if it is not known.
    pub resident_bytes: u64,
}

/// Metrics of the process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    cost: Counter<u64>,
    mismatched_answers: Counter<u64>,
    answers_not_read: Counter<u64>,
    control_bytes: Counter<u64>,
    platform_calls: Counter<u64>,
    in_work: Gauge<u64>,
    revision: Gauge<u64>,
    store_age: Gauge<f64>,
    behind: Gauge<f64>,
    halls_evacuated: Gauge<u64>,
    targets_cold: Gauge<u64>,
    quarantined: Counter<u64>,
    quarantine: Gauge<u64>,
    targets_departed: Counter<u64>,
    permits: Counter<u64>,
    unknown_headers: Counter<u64>,
    results_given_up: Counter<u64>,
    inputs_gone: Counter<u64>,
    stream_resumptions: Counter<u64>,
    stream_silences: Counter<u64>,
    closed_by_stop: Counter<u64>,
    ended_by_stop: Counter<u64>,
    connections_ended_with_work: Counter<u64>,
    connections_refused: Counter<u64>,
    connections_open: Gauge<u64>,
    request_bytes: Gauge<u64>,
    answer_bytes: Gauge<u64>,
    resident_bytes: Gauge<u64>,
    connections_relayed: Counter<u64>,
    relays_served: Counter<u64>,
    cut_off: Gauge<u64>,
}

impl Metrics {
    /// Creates the metrics, with all counters at zero.
    ///
    /// # Errors
    /// `BadInput` if the exporter can't be set up.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::bad_input("metrics", e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("saddlerail");
        Ok(Metrics {
            registry,
            requests: meter.u64_counter(metric_names::REQUESTS).build(),
            request_seconds: meter
                .f64_histogram(metric_names::REQUEST_SECONDS)
                .with_boundaries(DURATION_BUCKETS_S.to_vec())
                .build(),
            attempts: meter.u64_counter(metric_names::ATTEMPTS).build(),
            cost: meter.u64_counter(metric_names::COST).build(),
            answers_not_read: meter.u64_counter(metric_names::ANSWERS_NOT_READ).build(),
            mismatched_answers: meter.u64_counter(metric_names::MISMATCHED_ANSWERS).build(),
            control_bytes: meter.u64_counter(metric_names::CONTROL_BYTES).build(),
            platform_calls: meter.u64_counter(metric_names::PLATFORM_CALLS).build(),
            in_work: meter.u64_gauge(metric_names::IN_WORK).build(),
            revision: meter.u64_gauge(metric_names::REVISION).build(),
            store_age: meter.f64_gauge(metric_names::STORE_AGE).build(),
            behind: meter.f64_gauge(metric_names::CONFIGURATION_BEHIND).build(),
            halls_evacuated: meter.u64_gauge(metric_names::HALLS_EVACUATED).build(),
            targets_cold: meter.u64_gauge(metric_names::TARGETS_COLD).build(),
            quarantined: meter.u64_counter(metric_names::QUARANTINED).build(),
            quarantine: meter.u64_gauge(metric_names::QUARANTINE).build(),
            targets_departed: meter.u64_counter(metric_names::TARGETS_DEPARTED).build(),
            permits: meter.u64_counter(metric_names::PERMITS).build(),
            unknown_headers: meter.u64_counter(metric_names::UNKNOWN_HEADERS).build(),
            results_given_up: meter.u64_counter(metric_names::RESULTS_GIVEN_UP).build(),
            inputs_gone: meter.u64_counter(metric_names::INPUTS_GONE).build(),
            stream_silences: meter.u64_counter(metric_names::STREAM_SILENCES).build(),
            stream_resumptions: meter.u64_counter(metric_names::STREAM_RESUMPTIONS).build(),
            closed_by_stop: meter.u64_counter(metric_names::CLOSED_BY_STOP).build(),
            ended_by_stop: meter.u64_counter(metric_names::ENDED_BY_STOP).build(),
            connections_ended_with_work: meter
                .u64_counter(metric_names::CONNECTIONS_ENDED_WITH_WORK)
                .build(),
            connections_refused: meter.u64_counter(metric_names::CONNECTIONS_REFUSED).build(),
            connections_open: meter.u64_gauge(metric_names::CONNECTIONS_OPEN).build(),
            request_bytes: meter.u64_gauge(metric_names::REQUEST_BYTES).build(),
            answer_bytes: meter.u64_gauge(metric_names::ANSWER_BYTES).build(),
            resident_bytes: meter.u64_gauge(metric_names::RESIDENT_BYTES).build(),
            connections_relayed: meter.u64_counter(metric_names::CONNECTIONS_RELAYED).build(),
            relays_served: meter.u64_counter(metric_names::RELAYS_SERVED).build(),
            cut_off: meter.u64_gauge(metric_names::CUT_OFF).build(),
            _provider: provider,
        })
    }

    /// Counts a permit requested for a target of the service.
    pub fn permit_requested(&self, service: &str, granted: bool) {
        let end = if granted { "granted" } else { "denied" };
        let labels = [KeyValue::new("service", service.to_owned()), KeyValue::new("end", end)];
        self.permits.add(1, &labels);
    }

    /// Counts an unknown header in a target's response.
    pub fn unknown_header(&self, service: &str) {
        self.unknown_headers.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts results of stages that were given up, by cause; `not_heard` if their worker did not
    /// confirm the release.
    pub fn results_given_up(&self, cause: &'static str, results: usize) {
        self.results_given_up.add(results as u64, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a rerun of stages because an input was lost, by cause.
    pub fn inputs_gone(&self, cause: &'static str) {
        self.inputs_gone.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a stream that a caller took up, by what told the version that began it.
    pub fn stream_resumption(&self, service: &str, known_by: &'static str) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("known_by", known_by)];
        self.stream_resumptions.add(1, &labels);
    }

    /// Counts a stream of a service whose target was silent, by how the silence ended.
    pub fn stream_silence_ended(&self, service: &str, end: &'static str) {
        let labels = [KeyValue::new("service", service.to_owned()), KeyValue::new("end", end)];
        self.stream_silences.add(1, &labels);
    }

    /// Counts a request that was ended because the shutdown left no time for it, by what it was
    /// waiting for.
    pub fn request_ended_by_stop(&self, waits_for: &'static str) {
        self.ended_by_stop.add(1, &[KeyValue::new("waits_for", waits_for)]);
    }

    /// Counts a request that was closed by the end of the process, by what it was waiting for.
    pub fn request_closed_by_stop(&self, waits_for: &'static str) {
        self.closed_by_stop.add(1, &[KeyValue::new("waits_for", waits_for)]);
    }

    /// Counts a caller's connection that ended with work left, by cause.
    pub fn connection_ended_with_work(&self, cause: &'static str) {
        self.connections_ended_with_work.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a caller's connection that was refused for want of room.
    pub fn connection_refused(&self) {
        self.connections_refused.add(1, &[]);
    }

    /// Records what the process holds for others.
    pub fn set_held(&self, held: Held) {
        self.connections_open.record(held.connections, &[]);
        self.request_bytes.record(held.request_bytes, &[]);
        self.answer_bytes.record(held.answer_bytes, &[]);
        self.resident_bytes.record(held.resident_bytes, &[]);
    }

    /// Counts a connection to a target of the service that a peer relayed for this VM.
    pub fn connection_relayed(&self, service: &str) {
        self.connections_relayed.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a peer's request to relay a connection, by its result.
    pub fn relay_served(&self, result: &'static str) {
        self.relays_served.add(1, &[KeyValue::new("result", result)]);
    }

    /// Sets whether this VM is cut off from targets.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.cut_off.record(u64::from(is_cut_off), &[]);
    }

    /// Counts the first report that a target's lifetime is ending; `source` is `answer` or `peer`.
    pub fn target_departed(&self, service: &str, source: &'static str) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("source", source)];
        self.targets_departed.add(1, &labels);
    }

    /// Counts an answered request and records its duration.
    pub fn request_ended(&self, service: &str, customer: &str, outcome: &str, took: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let outcome = KeyValue::new("outcome", outcome.to_owned());
        let customer = KeyValue::new("customer", customer.to_owned());
        self.request_seconds.record(took.as_secs_f64(), &[service.clone(), outcome.clone()]);
        self.requests.add(1, &[service, customer, outcome]);
    }

    /// Counts an ended attempt.
    pub fn attempt_ended(&self, stage: &str, target: &str, end: &'static str) {
        let labels = [
            KeyValue::new("stage", stage.to_owned()),
            KeyValue::new("target", target.to_owned()),
            KeyValue::new("end", end),
        ];
        self.attempts.add(1, &labels);
    }

    /// Adds the cost that a target charged for a stage; `is_complete` tells whether the request got
    /// a complete response.
    pub fn stage_charged(&self, stage: &str, customer: &str, is_complete: bool, cost: u64) {
        let labels = [
            KeyValue::new("stage", stage.to_owned()),
            KeyValue::new("customer", customer.to_owned()),
            KeyValue::new("whole", is_complete),
        ];
        self.cost.add(cost, &labels);
    }

    /// Counts a response that named another attempt.
    pub fn answer_to_other_attempt(&self, target: &str) {
        self.mismatched_answers.add(1, &[KeyValue::new("target", target.to_owned())]);
    }

    /// Counts an answer whose body was not read to its end.
    pub fn answer_not_read(&self, service: &str, why: &'static str) {
        let labels = [KeyValue::new("service", service.to_owned()), KeyValue::new("why", why)];
        self.answers_not_read.add(1, &labels);
    }

    /// Adds the sizes of control messages, in bytes.
    pub fn control_bytes(&self, sent: u64, received: u64) {
        self.control_bytes.add(sent, &[KeyValue::new("direction", "sent")]);
        self.control_bytes.add(received, &[KeyValue::new("direction", "received")]);
    }

    /// Counts a call to the platform.
    pub fn platform_call(&self, kind: &'static str, ok: bool) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("ok", ok)];
        self.platform_calls.add(1, &labels);
    }

    /// Sets the number of requests in progress and the revision in force.
    pub fn set_state(&self, in_work: u64, revision: u64) {
        self.in_work.record(in_work, &[]);
        self.revision.record(revision, &[]);
    }

    /// Sets the time since the store last responded (`None` if it never did, which leaves the gauge
    /// unset), and the time for which a newer configuration has been missing (`None` if none is).
    pub fn set_staleness(&self, store_age: Option<Duration>, behind: Option<Duration>) {
        if let Some(age) = store_age {
            self.store_age.record(age.as_secs_f64(), &[]);
        }
        self.behind.record(behind.unwrap_or_default().as_secs_f64(), &[]);
    }

    /// Sets the numbers of halls out of service and of cold targets.
    pub fn set_out_of_service(&self, halls: u64, cold_targets: u64) {
        self.halls_evacuated.record(halls, &[]);
        self.targets_cold.record(cold_targets, &[]);
    }

    /// Counts a request that was refused because it crashes targets.
    pub fn request_quarantined(&self, service: &str) {
        self.quarantined.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets the number of distinct requests that are refused because they crash targets.
    pub fn set_quarantine(&self, refused: u64) {
        self.quarantine.record(refused, &[]);
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// `BadInput` if a metric can't be encoded.
    pub fn render(&self) -> Result<String> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .map_err(|e| Error::bad_input("metrics", e.to_string()))?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}
