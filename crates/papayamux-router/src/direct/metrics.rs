//! Counters and histograms of the request path.

use std::time::Duration;

use papayamux_daemon::metrics::ReasonCounters;
use papayamux_state::backend::ServerSlowdown;
use papayamux_state::ids::ServiceId;
use papayamux_state::service_config::RequestKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

use crate::caller_memory_metrics::CallerMemoryMetrics;

/// Upper bound of the first latency bucket in seconds; each further bucket doubles it, up to 16 s.
const FIRST_BUCKET: f64 = 0.001;
/// Number of latency buckets.
const BUCKETS: u16 = 15;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

type SlowdownFamily = Family<ServiceLabel, Histogram>;

/// Bucket bounds of the factor by which servers are slowed down.
const SLOWDOWN_BUCKETS: [f64; 8] = [0.9, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0];

fn slowdown_family() -> SlowdownFamily {
    Family::new_with_constructor(|| Histogram::new(SLOWDOWN_BUCKETS))
}

type LatencyFamily = Family<KindLabel, Histogram>;

fn latency_family() -> LatencyFamily {
    Family::new_with_constructor(|| Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS)))
}

/// Bucket bounds of the ratio of actual to expected duration. The steps between half and twice the
/// expectation show an error of a quarter.
const RATIO_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 2.0, 4.0, 10.0];

/// Bucket bounds of the number of routers between a reader of the source and a router that receives
/// its updates.
const HOP_BUCKETS: [f64; 6] = [1.0, 2.0, 3.0, 4.0, 6.0, 8.0];

fn ratio_histogram() -> Histogram {
    Histogram::new(RATIO_BUCKETS)
}

fn ratio(actual: Duration, expected: Duration) -> f64 {
    actual.as_secs_f64() / expected.as_secs_f64().max(FIRST_BUCKET)
}

fn label(kind: RequestKind) -> KindLabel {
    let kind = match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Once => "once",
        RequestKind::Stream { resumable: true } => "resumable_stream",
        RequestKind::Stream { resumable: false } => "stream",
    };
    KindLabel { kind }
}

/// All metrics of the request path.
#[derive(Debug, Clone)]
pub struct DirectMetrics {
    /// Requests by outcome: `answered`, or the reason of the refusal.
    pub outcomes: ReasonCounters,
    /// Attempts without an answer, by what is known of them.
    pub lost_attempts: ReasonCounters,
    /// Retries granted by the retry budget.
    pub repeats_taken: Counter,
    /// Retries denied by the retry budget.
    pub repeats_denied: Counter,
    /// Retries that were withheld because retries of their kind don't help, by cause of the failure.
    pub retries_withheld: ReasonCounters,
    /// Retries that were answered without a failure, by cause of the failure before.
    pub retries_succeeded: ReasonCounters,
    /// Retries that failed too, by cause of the failure before.
    pub retries_failed: ReasonCounters,
    /// Queued requests that were refused because a more urgent one displaced them.
    pub displaced_requests: Counter,
    /// Streams by how they ended: `whole`, `cut`, `left` by their callers, or `resumed` for each
    /// continuation at another server.
    pub streams: ReasonCounters,
    /// Answers whose last byte was read, by how they ended.
    pub answer_ends: ReasonCounters,
    /// Answers that were given up for what their servers sent: `no_progress` for too many bytes without
    /// a head or a piece of a body, `long_event` for a stream with too many bytes without an
    /// event, `long_body` for another answer over the size limit, `foreign` for the answer to another
    /// request, `unidentified` for one that names no request.
    pub unusable_answers: ReasonCounters,
    /// Answers that are relayed as they arrive, by how their first server marks the end of the body.
    pub relayed_framings: ReasonCounters,
    /// Reads of the source by result.
    pub source_reads: ReasonCounters,
    /// Requests of other routers for a complete view of the source, by answer.
    pub view_requests: ReasonCounters,
    /// Bytes of views sent to other routers.
    pub view_bytes: Counter,
    /// Entries of the source that name no server, by fault.
    pub entry_faults: ReasonCounters,
    /// Reads of the configuration that returned one that can't be read.
    pub configuration_faults: Counter,
    /// 1 while the newest configuration can't be read, else 0.
    pub unreadable_configuration: Gauge,
    /// Parts of the configuration in force that can't be read.
    pub unreadable_parts: Gauge,
    /// Number of evacuated failure domains.
    pub evacuated_domains: Gauge,
    /// Number of cold servers.
    pub cold_servers: Gauge,
    /// Requests at cold servers: `sent`, or `passed_over` for each choice in which a cold server
    /// had no room.
    pub cold_requests: ReasonCounters,
    /// Bytes of reports sent to other routers.
    pub report_bytes: Counter,
    /// Queries to the owners of shared parts by result: `found`, `nobody`, `unknown` or
    /// `unanswered`.
    pub part_inquiries: ReasonCounters,
    /// Origins of streams that callers resume: `known` or `ambiguous` here, `found` at an owner, `sole_version` where
    /// only one version has served, `unknown` or `unanswered`; besides `evicted` origins and notices
    /// that were not sent (`notice_dropped`).
    pub stream_origins: ReasonCounters,
    /// Probes of servers after a connection to them broke, by result: `refused`, `accepted` or
    /// `unanswered`.
    pub server_checks: ReasonCounters,
    /// Notices of servers about their own state: `leaves` (draining) or `rests` (back-off
    /// requested).
    pub server_notices: ReasonCounters,
    /// Updates of the records of requests under which servers crash: `crash` and `cleared` for this
    /// router's own requests, `held` if its own record puts a request in quarantine, `told` if
    /// another router's record does, `trial` if a request may try a server after its quarantine.
    pub crash_records: ReasonCounters,
    /// Shared queues of services that are short of slots. Own requests: `granted` a slot, `refused`,
    /// `abandoned` because no owner answers, `left` by their callers while they waited, sent
    /// `elsewhere` than granted. Messages: `report_sent`, `report_received`, `answer_sent`,
    /// `answer_received`, `notice_sent`, and reports for an `unknown_queue`.
    pub shared_queue: ReasonCounters,
    /// Bytes of messages about shared queues, which are also in `report_bytes`.
    pub shared_queue_bytes: Counter,
    /// Number of services that are short of slots.
    pub contended_services: Gauge,
    /// Number of shared queues that this router owns.
    pub owned_queues: Gauge,
    /// The memory that callers hold.
    pub caller_memory: CallerMemoryMetrics,
    /// Age of the source state in updates from other routers, in seconds since it was known to be
    /// the newest.
    pub update_age: Histogram,
    /// Number of routers that had relayed such an update.
    pub update_hops: Histogram,
    heads: LatencyFamily,
    waits: LatencyFamily,
    part_waits: LatencyFamily,
    first_event_ratios: Histogram,
    wait_ratios: Histogram,
    slowdowns: SlowdownFamily,
}

impl Default for DirectMetrics {
    fn default() -> Self {
        Self {
            outcomes: ReasonCounters::default(),
            lost_attempts: ReasonCounters::default(),
            repeats_taken: Counter::default(),
            repeats_denied: Counter::default(),
            retries_withheld: ReasonCounters::default(),
            retries_succeeded: ReasonCounters::default(),
            retries_failed: ReasonCounters::default(),
            displaced_requests: Counter::default(),
            streams: ReasonCounters::default(),
            answer_ends: ReasonCounters::default(),
            unusable_answers: ReasonCounters::default(),
            relayed_framings: ReasonCounters::default(),
            source_reads: ReasonCounters::default(),
            view_requests: ReasonCounters::default(),
            view_bytes: Counter::default(),
            entry_faults: ReasonCounters::default(),
            configuration_faults: Counter::default(),
            unreadable_configuration: Gauge::default(),
            unreadable_parts: Gauge::default(),
            evacuated_domains: Gauge::default(),
            cold_servers: Gauge::default(),
            cold_requests: ReasonCounters::default(),
            report_bytes: Counter::default(),
            part_inquiries: ReasonCounters::default(),
            stream_origins: ReasonCounters::default(),
            server_checks: ReasonCounters::default(),
            server_notices: ReasonCounters::default(),
            crash_records: ReasonCounters::default(),
            shared_queue: ReasonCounters::default(),
            shared_queue_bytes: Counter::default(),
            contended_services: Gauge::default(),
            owned_queues: Gauge::default(),
            caller_memory: CallerMemoryMetrics::default(),
            update_age: Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS)),
            update_hops: Histogram::new(HOP_BUCKETS),
            heads: latency_family(),
            waits: latency_family(),
            part_waits: latency_family(),
            first_event_ratios: ratio_histogram(),
            wait_ratios: ratio_histogram(),
            slowdowns: slowdown_family(),
        }
    }
}

impl DirectMetrics {
    /// Records the time from the arrival of a request to the head of its answer.
    pub fn record_head(&self, kind: RequestKind, elapsed: Duration) {
        self.heads.get_or_create(&label(kind)).observe(elapsed.as_secs_f64());
    }

    /// Records how long a request waited in the queue of its service.
    pub fn record_wait(&self, kind: RequestKind, elapsed: Duration) {
        self.waits.get_or_create(&label(kind)).observe(elapsed.as_secs_f64());
    }

    /// Records how long a request waited while its engine prefilled a part for another one.
    pub fn record_part_wait(&self, kind: RequestKind, elapsed: Duration) {
        self.part_waits.get_or_create(&label(kind)).observe(elapsed.as_secs_f64());
    }

    /// Records the ratio of the actual to the expected time to the first event.
    pub fn record_first_event_ratio(&self, expected: Duration, actual: Duration) {
        self.first_event_ratios.observe(ratio(actual, expected));
    }

    /// Records the ratio of the actual wait for a slot to the one expected at its start.
    pub fn record_wait_ratio(&self, expected: Duration, actual: Duration) {
        self.wait_ratios.observe(ratio(actual, expected));
    }

    /// Records the slowdown that a server of a service reported. Services are as many as the
    /// configuration has, so that the number of series is bounded.
    pub fn record_slowdown(&self, service: &ServiceId, slowdown: ServerSlowdown) {
        let label = ServiceLabel { service: service.to_string() };
        self.slowdowns.get_or_create(&label).observe(slowdown.factor());
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_router");
        self.caller_memory.register(registry);
        registry.register("outcomes", "Requests by outcome", self.outcomes.0.clone());
        let lost = self.lost_attempts.0.clone();
        registry.register("lost_attempts", "Attempts that brought no answer", lost);
        let taken = self.repeats_taken.clone();
        registry.register("repeats_taken", "Repeats within the retry budget", taken);
        let denied = self.repeats_denied.clone();
        registry.register("repeats_denied", "Repeats beyond the retry budget", denied);
        let withheld = self.retries_withheld.0.clone();
        registry.register("retries_withheld", "Retries withheld as not worthwhile", withheld);
        let succeeded = self.retries_succeeded.0.clone();
        registry.register("retries_succeeded", "Retries that succeeded, by cause", succeeded);
        let failed = self.retries_failed.0.clone();
        registry.register("retries_failed", "Retries that failed, by cause", failed);
        let displaced = self.displaced_requests.clone();
        registry.register("displaced_requests", "Requests displaced in the queue", displaced);
        registry.register("streams", "Streams by how they ended", self.streams.0.clone());
        let ends = self.answer_ends.0.clone();
        registry.register("answer_ends", "Answers by what shows that they are complete", ends);
        let unusable = self.unusable_answers.0.clone();
        registry.register("unusable_answers", "Answers given up for what servers sent", unusable);
        let framings = self.relayed_framings.0.clone();
        registry.register(
            "relayed_framings",
            "Relayed answers by the framing of their server",
            framings,
        );
        let reads = self.source_reads.0.clone();
        registry.register("source_reads", "Reads of the configuration's source", reads);
        let requests = self.view_requests.0.clone();
        registry.register("view_requests", "Requests of other routers for a view", requests);
        let bytes = self.view_bytes.clone();
        registry.register("view_bytes", "Bytes of views sent to other routers", bytes);
        let faults = self.entry_faults.0.clone();
        registry.register("entry_faults", "Entries that name no server", faults);
        let faults = self.configuration_faults.clone();
        registry.register("configuration_faults", "Reads of an unreadable configuration", faults);
        let unreadable = self.unreadable_configuration.clone();
        registry.register(
            "unreadable_configuration",
            "1 while the newest configuration can't be read",
            unreadable,
        );
        let parts = self.unreadable_parts.clone();
        registry.register(
            "unreadable_parts",
            "Parts of the configuration in force that can't be read",
            parts,
        );
        let evacuated = self.evacuated_domains.clone();
        registry.register("evacuated_domains", "Failure domains that get nothing", evacuated);
        let cold = self.cold_servers.clone();
        registry.register("cold_servers", "Servers that bear few requests after a start", cold);
        let cold = self.cold_requests.0.clone();
        registry.register(
            "cold_requests",
            "Requests at cold servers, and those without room",
            cold,
        );
        let bytes = self.report_bytes.clone();
        registry.register("report_bytes", "Bytes of reports to other routers", bytes);
        let inquiries = self.part_inquiries.0.clone();
        registry.register("part_inquiries", "Questions about who holds a part", inquiries);
        let origins = self.stream_origins.0.clone();
        registry.register("stream_origins", "Origins of streams that callers resume", origins);
        let checks = self.server_checks.0.clone();
        registry.register("server_checks", "Servers probed after a connection broke", checks);
        let notices = self.server_notices.0.clone();
        registry.register("server_notices", "Servers that say that they leave or rest", notices);
        let records = self.crash_records.0.clone();
        registry.register("crash_records", "Requests under which servers ended", records);
        let shared = self.shared_queue.0.clone();
        registry.register("shared_queue", "Requests and messages of shared queues", shared);
        let bytes = self.shared_queue_bytes.clone();
        registry.register("shared_queue_bytes", "Bytes of messages about shared queues", bytes);
        let contended = self.contended_services.clone();
        registry.register("contended_services", "Services that are short of slots", contended);
        let owned = self.owned_queues.clone();
        registry.register("owned_queues", "Shared queues that this router owns", owned);
        let ages = self.update_age.clone();
        registry.register("source_news_age_seconds", "Age of what others tell of the source", ages);
        let hops = self.update_hops.clone();
        registry.register("source_news_hops", "Routers between the source and this one", hops);
        let waits = self.waits.clone();
        registry.register("line_wait_seconds", "Wait of requests that found no place", waits);
        let waits = self.part_waits.clone();
        registry.register("part_wait_seconds", "Wait for parts that others read", waits);
        let ratios = self.first_event_ratios.clone();
        registry.register("first_event_ratio", "Real to expected time to first events", ratios);
        let ratios = self.wait_ratios.clone();
        registry.register("line_wait_ratio", "Real to expected waits for a place", ratios);
        let slowdowns = self.slowdowns.clone();
        registry.register("server_slowdown", "Factors of slowdown that servers report", slowdowns);
        let heads = self.heads.clone();
        registry.register("head_seconds", "From arrival to the answer's head", heads);
    }
}
