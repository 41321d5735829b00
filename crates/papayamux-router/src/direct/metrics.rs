//! Counters and histograms of the request path.

use std::time::Duration;

use papayamux_daemon::metrics::ReasonCounters;
use papayamux_state::service_config::RequestKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

/// The first bucket of latencies in seconds; each further one is twice as wide, up to 16 s.
const FIRST_BUCKET: f64 = 0.001;
/// Buckets of latencies.
const BUCKETS: u16 = 15;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

type LatencyFamily = Family<KindLabel, Histogram>;

fn latency_family() -> LatencyFamily {
    Family::new_with_constructor(|| Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS)))
}

/// Bounds of the ratio of what really happened to what was expected: half and twice as long in steps
/// that show an error of a quarter.
const RATIO_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 2.0, 4.0, 10.0];

/// Bounds of the number of routers between a reader and one that is told.
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
    /// Requests by what came of them: `answered`, or the reason of a refusal.
    pub outcomes: ReasonCounters,
    /// Attempts that brought no answer, by what is known of them.
    pub lost_attempts: ReasonCounters,
    /// Repeats that were taken from the retry budget.
    pub repeats_taken: Counter,
    /// Repeats that the retry budget did not allow.
    pub repeats_denied: Counter,
    /// Streams by how they ended: `whole`, `cut`, `left` by their callers, or `resumed` for each time one
    /// went on elsewhere.
    pub streams: ReasonCounters,
    /// Reads of the source, by result.
    pub source_reads: ReasonCounters,
    /// Entries of the source that name no server, by what is wrong with them.
    pub entry_faults: ReasonCounters,
    /// Failure domains that are evacuated.
    pub evacuated_domains: Gauge,
    /// Servers that are cold.
    pub cold_servers: Gauge,
    /// Requests at cold servers: `sent`, or `passed_over` for each choice for which one had no room.
    pub cold_requests: ReasonCounters,
    /// Bytes of reports sent to other routers.
    pub report_bytes: Counter,
    /// Questions to the owners of shared parts, by what they brought: `found`, `nobody`, `unknown` or
    /// `unanswered`.
    pub part_inquiries: ReasonCounters,
    /// Servers that were looked at after a connection to them broke: `refused`, `accepted` or `unanswered`.
    pub server_checks: ReasonCounters,
    /// What servers said of themselves: `leaves`, or `rests`.
    pub server_notices: ReasonCounters,
    /// What was learnt of requests under which servers end: `crash` and `cleared` by this router's own requests,
    /// `held` where that holds a request, `told` where another router's word does.
    pub crash_records: ReasonCounters,
    /// Seconds since what other routers told of the source was known to be newest, when they told it.
    pub update_age: Histogram,
    /// How many routers had passed that on.
    pub update_hops: Histogram,
    heads: LatencyFamily,
    waits: LatencyFamily,
    part_waits: LatencyFamily,
    first_event_ratios: Histogram,
    wait_ratios: Histogram,
}

impl Default for DirectMetrics {
    fn default() -> Self {
        Self {
            outcomes: ReasonCounters::default(),
            lost_attempts: ReasonCounters::default(),
            repeats_taken: Counter::default(),
            repeats_denied: Counter::default(),
            streams: ReasonCounters::default(),
            source_reads: ReasonCounters::default(),
            entry_faults: ReasonCounters::default(),
            evacuated_domains: Gauge::default(),
            cold_servers: Gauge::default(),
            cold_requests: ReasonCounters::default(),
            report_bytes: Counter::default(),
            part_inquiries: ReasonCounters::default(),
            server_checks: ReasonCounters::default(),
            server_notices: ReasonCounters::default(),
            crash_records: ReasonCounters::default(),
            update_age: Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS)),
            update_hops: Histogram::new(HOP_BUCKETS),
            heads: latency_family(),
            waits: latency_family(),
            part_waits: latency_family(),
            first_event_ratios: ratio_histogram(),
            wait_ratios: ratio_histogram(),
        }
    }
}

impl DirectMetrics {
    /// Notes the time from a request's arrival to the head of its answer.
    pub fn record_head(&self, kind: RequestKind, elapsed: Duration) {
        self.heads.get_or_create(&label(kind)).observe(elapsed.as_secs_f64());
    }

    /// Notes how long a request waited in the line of its service.
    pub fn record_wait(&self, kind: RequestKind, elapsed: Duration) {
        self.waits.get_or_create(&label(kind)).observe(elapsed.as_secs_f64());
    }

    /// Notes how long a request waited for a part that its engine read for another one.
    pub fn record_part_wait(&self, kind: RequestKind, elapsed: Duration) {
        self.part_waits.get_or_create(&label(kind)).observe(elapsed.as_secs_f64());
    }

    /// Notes the time to a first event beside what was expected.
    pub fn record_first_event_ratio(&self, expected: Duration, actual: Duration) {
        self.first_event_ratios.observe(ratio(actual, expected));
    }

    /// Notes a wait for a place beside what was expected when it began.
    pub fn record_wait_ratio(&self, expected: Duration, actual: Duration) {
        self.wait_ratios.observe(ratio(actual, expected));
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_router");
        registry.register("outcomes", "Requests by outcome", self.outcomes.0.clone());
        let lost = self.lost_attempts.0.clone();
        registry.register("lost_attempts", "Attempts that brought no answer", lost);
        let taken = self.repeats_taken.clone();
        registry.register("repeats_taken", "Repeats within the retry budget", taken);
        let denied = self.repeats_denied.clone();
        registry.register("repeats_denied", "Repeats beyond the retry budget", denied);
        registry.register("streams", "Streams by how they ended", self.streams.0.clone());
        let reads = self.source_reads.0.clone();
        registry.register("source_reads", "Reads of the configuration's source", reads);
        let faults = self.entry_faults.0.clone();
        registry.register("entry_faults", "Entries that name no server", faults);
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
        let checks = self.server_checks.0.clone();
        registry.register("server_checks", "Servers probed after a connection broke", checks);
        let notices = self.server_notices.0.clone();
        registry.register("server_notices", "Servers that say that they leave or rest", notices);
        let records = self.crash_records.0.clone();
        registry.register("crash_records", "Requests under which servers ended", records);
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
        let heads = self.heads.clone();
        registry.register("head_seconds", "From arrival to the answer's head", heads);
    }
}
