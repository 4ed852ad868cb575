//! Counters and histograms, shown as a page that a common scraper reads.

use std::time::Duration;

use errors::{Error, Result};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the time histograms, in seconds.
const SECONDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// Names of all metrics, as the code gives them.
pub mod metric_names {
    /// Requests answered, by service, customer and outcome.
    pub const REQUESTS: &str = "saddlerail_requests";
    /// Seconds from a request's arrival to its answer, by service and outcome.
    pub const REQUEST_SECONDS: &str = "saddlerail_request_seconds";
    /// Attempts ended, by stage, target and end.
    pub const ATTEMPTS: &str = "saddlerail_attempts";
    /// What targets charged, by stage, customer and whether the request was answered whole.
    pub const COST: &str = "saddlerail_stage_cost";
    /// Answers that named another attempt, dropped.
    pub const CROSSED_ANSWERS: &str = "saddlerail_crossed_answers";
    /// Bytes of control messages, by direction.
    pub const CONTROL_BYTES: &str = "saddlerail_control_bytes";
    /// Calls to the platform, by kind and result.
    pub const PLATFORM_CALLS: &str = "saddlerail_platform_calls";
    /// Requests in work.
    pub const IN_WORK: &str = "saddlerail_requests_in_work";
    /// Revision in force.
    pub const REVISION: &str = "saddlerail_revision";
    /// Seconds since the store was heard.
    pub const STORE_AGE: &str = "saddlerail_store_age_seconds";
    /// Seconds for which a configuration that a peer has is missing here; 0 if none is.
    pub const CONFIGURATION_BEHIND: &str = "saddlerail_configuration_behind_seconds";
    /// Data halls that operators took out of service.
    pub const HALLS_EVACUATED: &str = "saddlerail_halls_evacuated";
    /// Targets that are cold.
    pub const TARGETS_COLD: &str = "saddlerail_targets_cold";
    /// Requests refused since they end targets, by service.
    pub const QUARANTINED: &str = "saddlerail_requests_quarantined";
    /// Different requests that are refused since they end targets.
    pub const QUARANTINE: &str = "saddlerail_quarantine";
    /// Lifetimes of targets first heard to leave, by service and source: an answer or a peer.
    pub const TARGETS_DEPARTED: &str = "saddlerail_targets_departed";
    /// Permits asked for targets that name a rate.
    pub const PERMITS: &str = "saddlerail_permits";
    /// Words in targets' answers that nobody knows, by service.
    pub const UNKNOWN_WORDS: &str = "saddlerail_unknown_words";
    /// Results of stages that were given up, by cause.
    pub const RESULTS_GIVEN_UP: &str = "saddlerail_results_given_up";
    /// Stages of a request made anew since an input was gone, by cause.
    pub const INPUTS_GONE: &str = "saddlerail_inputs_gone";
    /// Requests that the end of the process closed, by what they waited for.
    pub const CLOSED_BY_STOP: &str = "saddlerail_requests_closed_by_stop";
    /// Requests that a stop did not leave time for, by what they waited for.
    pub const ENDED_BY_STOP: &str = "saddlerail_requests_ended_by_stop";
    /// All of them, for the test that keeps the docs true.
    pub const ALL: [&str; 22] = [
        REQUESTS,
        REQUEST_SECONDS,
        ATTEMPTS,
        COST,
        CROSSED_ANSWERS,
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
        UNKNOWN_WORDS,
        RESULTS_GIVEN_UP,
        INPUTS_GONE,
        CLOSED_BY_STOP,
        ENDED_BY_STOP,
    ];
}

/// The process's metrics.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    cost: Counter<u64>,
    crossed: Counter<u64>,
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
    unknown_words: Counter<u64>,
    results_given_up: Counter<u64>,
    inputs_gone: Counter<u64>,
    closed_by_stop: Counter<u64>,
    ended_by_stop: Counter<u64>,
}

impl Metrics {
    /// Metrics with nothing counted yet.
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
                .with_boundaries(SECONDS.to_vec())
                .build(),
            attempts: meter.u64_counter(metric_names::ATTEMPTS).build(),
            cost: meter.u64_counter(metric_names::COST).build(),
            crossed: meter.u64_counter(metric_names::CROSSED_ANSWERS).build(),
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
            unknown_words: meter.u64_counter(metric_names::UNKNOWN_WORDS).build(),
            results_given_up: meter.u64_counter(metric_names::RESULTS_GIVEN_UP).build(),
            inputs_gone: meter.u64_counter(metric_names::INPUTS_GONE).build(),
            closed_by_stop: meter.u64_counter(metric_names::CLOSED_BY_STOP).build(),
            ended_by_stop: meter.u64_counter(metric_names::ENDED_BY_STOP).build(),
            _provider: provider,
        })
    }

    /// Counts a permit that was asked for a target of a service.
    pub fn permit_asked(&self, service: &str, granted: bool) {
        let end = if granted { "granted" } else { "denied" };
        let labels = [KeyValue::new("service", service.to_owned()), KeyValue::new("end", end)];
        self.permits.add(1, &labels);
    }

    /// Counts a word in an answer that nobody knows.
    pub fn unknown_word(&self, service: &str) {
        self.unknown_words.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts results of stages by why they are given up, or that their worker did not hear of it.
    pub fn results_given_up(&self, cause: &'static str, results: usize) {
        self.results_given_up.add(results as u64, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a stage that is made anew since an input was gone, by cause.
    pub fn inputs_gone(&self, cause: &'static str) {
        self.inputs_gone.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request that was told that it can't be served since the process stops, by what it waited for.
    pub fn request_ended_by_stop(&self, waits_for: &'static str) {
        self.ended_by_stop.add(1, &[KeyValue::new("waits_for", waits_for)]);
    }

    /// Counts a request that the end of the process closed, by what it waited for.
    pub fn request_closed_by_stop(&self, waits_for: &'static str) {
        self.closed_by_stop.add(1, &[KeyValue::new("waits_for", waits_for)]);
    }

    /// Counts a lifetime of a target that is first heard to leave.
    pub fn target_departed(&self, service: &str, source: &'static str) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("source", source)];
        self.targets_departed.add(1, &labels);
    }

    /// Counts an answered request.
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

    /// Adds what a target charged for a stage.
    pub fn stage_charged(&self, stage: &str, customer: &str, whole: bool, cost: u64) {
        let labels = [
            KeyValue::new("stage", stage.to_owned()),
            KeyValue::new("customer", customer.to_owned()),
            KeyValue::new("whole", whole),
        ];
        self.cost.add(cost, &labels);
    }

    /// Counts an answer that named another attempt.
    pub fn answer_to_other_attempt(&self, target: &str) {
        self.crossed.add(1, &[KeyValue::new("target", target.to_owned())]);
    }

    /// Adds bytes of control messages.
    pub fn control_bytes(&self, sent: u64, received: u64) {
        self.control_bytes.add(sent, &[KeyValue::new("direction", "sent")]);
        self.control_bytes.add(received, &[KeyValue::new("direction", "received")]);
    }

    /// Counts a call to the platform.
    pub fn platform_call(&self, kind: &'static str, ok: bool) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("ok", ok)];
        self.platform_calls.add(1, &labels);
    }

    /// Sets the requests in work and the revision in force.
    pub fn set_state(&self, in_work: u64, revision: u64) {
        self.in_work.record(in_work, &[]);
        self.revision.record(revision, &[]);
    }

    /// Sets how old the store's last word is, and for how long a newer configuration is missing.
    pub fn set_staleness(&self, store: Option<Duration>, behind: Option<Duration>) {
        if let Some(age) = store {
            self.store_age.record(age.as_secs_f64(), &[]);
        }
        self.behind.record(behind.unwrap_or_default().as_secs_f64(), &[]);
    }

    /// Sets the halls out of service and the cold targets.
    pub fn set_out_of_service(&self, halls: u64, cold_targets: u64) {
        self.halls_evacuated.record(halls, &[]);
        self.targets_cold.record(cold_targets, &[]);
    }

    /// Counts a request that was refused since it ends targets.
    pub fn request_quarantined(&self, service: &str) {
        self.quarantined.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets how many different requests are refused since they end targets.
    pub fn set_quarantine(&self, refused: u64) {
        self.quarantine.record(refused, &[]);
    }

    /// The page for the scraper.
    ///
    /// # Errors
    /// `BadInput` if a metric can't be written as text.
    pub fn render(&self) -> Result<String> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .map_err(|e| Error::bad_input("metrics", e.to_string()))?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}
