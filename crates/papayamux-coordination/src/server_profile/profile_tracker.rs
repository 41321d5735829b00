//! Profiles of all servers that a router sends requests to.

use std::collections::HashMap;
use std::time::Duration;

use papayamux_state::ids::{ServerId, ServiceId};
use papayamux_state::quantities::TokenCount;

use super::server_speed::{scaled, CALL_DEVIATIONS};
use super::{CallTime, LowEstimate, MedianEstimate, ServerSpeed, ShareEstimate};

/// Prior of the prefill rate in tokens per millisecond. Priors fit large models on current
/// accelerators within a factor of two, and have no effect after a dozen answers.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Prior of the time to the first event beyond the prefill, in milliseconds: a round trip and a
/// step or two.
const FIRST_EVENT_MS: f64 = 20.0;
/// Prior of the time to begin a copy from another engine, in milliseconds.
const COPY_MS: f64 = 3.0;
/// Prior of the time between two events, in milliseconds.
const EVENT_GAP_MS: f64 = 22.0;
/// Prior of the number of tokens in an event.
const EVENT_TOKENS: f64 = 5.0;
/// Prior of the time of a plain call.
const CALL: Duration = Duration::from_millis(20);

/// Prior of the fraction of assumed cached tokens that engines do hold. It is even, because
/// assuming that all of them are cached would leave a prefill that no engine has computed yet out
/// of the load.
const ASSUMED_HIT_RATE: f64 = 0.5;

/// Number of tokens from which the time to the first event is a sample of the prefill rate. The
/// time for fewer tokens is a sample of the delay beyond the prefill.
const MIN_PREFILL_TOKENS: f64 = 800.0;
/// Minimum number of events for a stream to be a sample of the time between events.
const MIN_EVENTS: u64 = 3;

/// The first event of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEvent {
    /// Number of tokens to prefill before it, including those of other requests.
    pub tokens: TokenCount,
    /// Time from sending the request to the event.
    pub took: Duration,
    /// Transfer time of the tokens copied from another engine, if any.
    pub transfer: Option<Duration>,
    /// Number of tokens that the server was only assumed to hold.
    pub assumed: TokenCount,
}

impl FirstEvent {
    /// Returns the event as it would have been at the server's usual speed, if work took `factor`
    /// times as long. Transfers between machines don't get slower.
    pub fn at_usual_speed(self, factor: f64) -> Self {
        let transfer = self.transfer.unwrap_or_default().min(self.took);
        Self { took: transfer + scaled(self.took - transfer, 1.0 / factor), ..self }
    }
}

/// The end of a stream. Incomplete streams are samples of the event rate too: otherwise an engine
/// too slow to complete any stream would seem as fast as before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamEnd {
    /// Number of events.
    pub events: u64,
    /// Time from the first event to the last.
    pub duration: Duration,
    /// Expected number of answer tokens, if the stream was complete.
    pub expected: Option<TokenCount>,
}

impl StreamEnd {
    /// Returns the end as it would have been at the server's usual speed, if work took `factor`
    /// times as long.
    pub fn at_usual_speed(self, factor: f64) -> Self {
        Self { duration: scaled(self.duration, 1.0 / factor), ..self }
    }
}

#[derive(Debug, Clone, Copy)]
struct Estimates {
    prefill_rate: MedianEstimate,
    first_event: MedianEstimate,
    /// Time to the first event beyond the transfer, for partly copied prompts.
    copied_first_event: MedianEstimate,
    event_gap: MedianEstimate,
    idle_gap: LowEstimate,
    event_tokens: MedianEstimate,
    assumed_hit_rate: ShareEstimate,
    /// Time of plain calls at the usual speed of their servers.
    call: CallTime,
    /// Time of plain calls as they were, slowed down or not.
    actual_call: CallTime,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            prefill_rate: MedianEstimate::new(PREFILL_TOKENS_PER_MS),
            first_event: MedianEstimate::new(FIRST_EVENT_MS),
            copied_first_event: MedianEstimate::new(FIRST_EVENT_MS + COPY_MS),
            event_gap: MedianEstimate::new(EVENT_GAP_MS),
            idle_gap: LowEstimate::new(EVENT_GAP_MS),
            event_tokens: MedianEstimate::new(EVENT_TOKENS),
            assumed_hit_rate: ShareEstimate::new(ASSUMED_HIT_RATE),
            call: CallTime::new(CALL),
            actual_call: CallTime::new(CALL),
        }
    }
}

impl Estimates {
    fn from_service(other: &Self) -> Self {
        Self {
            prefill_rate: MedianEstimate::from_service(other.prefill_rate),
            first_event: MedianEstimate::from_service(other.first_event),
            event_gap: MedianEstimate::from_service(other.event_gap),
            ..*other
        }
    }

    fn record_first(&mut self, first: FirstEvent) {
        let tokens = first.tokens.get() as f64;
        let took_ms = first.took.as_secs_f64() * 1_000.0;
        if first.assumed.get() > 0 {
            self.record_assumption(took_ms, tokens, first);
            return;
        }
        if let Some(transfer) = first.transfer {
            let transfer_ms = transfer.as_secs_f64() * 1_000.0;
            let rest = took_ms - transfer_ms - tokens / self.prefill_rate.value();
            self.copied_first_event.record(rest.max(1.0));
            return;
        }
        if tokens >= MIN_PREFILL_TOKENS {
            self.prefill_rate.record(tokens / (took_ms - self.first_event.value()).max(1.0));
        } else {
            self.first_event.record((took_ms - tokens / self.prefill_rate.value()).max(1.0));
        }
    }

    /// Infers from the time to a first event whether the tokens assumed to be cached were cached.
    fn record_assumption(&mut self, took_ms: f64, tokens: f64, first: FirstEvent) {
        let transfer_ms = first.transfer.map_or(0.0, |transfer| transfer.as_secs_f64() * 1_000.0);
        let known_ms = self.first_event.value() + transfer_ms + tokens / self.prefill_rate.value();
        let assumed_ms = first.assumed.get() as f64 / self.prefill_rate.value();
        // The prefill time of a short part is lost in the variation between answers.
        if assumed_ms > self.first_event.value() {
            self.assumed_hit_rate.record(took_ms < known_ms + assumed_ms / 2.0);
        }
    }
}

/// Estimates for a service and for each of its servers.
#[derive(Debug, Default)]
struct ServiceProfile {
    all: Estimates,
    servers: HashMap<ServerId, Estimates>,
}

impl ServiceProfile {
    fn server(&mut self, server: &ServerId) -> &mut Estimates {
        let all = &self.all;
        self.servers.entry(server.clone()).or_insert_with(|| Estimates::from_service(all))
    }
}

/// Speed estimates for all servers of a router.
#[derive(Debug, Default)]
pub struct ProfileTracker {
    services: HashMap<ServiceId, ServiceProfile>,
}

impl ProfileTracker {
    /// Records the first event of an answer from a server that had a free slot.
    pub fn record_first(&mut self, service: &ServiceId, server: &ServerId, first: FirstEvent) {
        let profile = self.profile(service);
        profile.server(server).record_first(first);
        profile.all.record_first(first);
    }

    /// Records the end of a stream.
    pub fn record_stream(&mut self, service: &ServiceId, server: &ServerId, end: StreamEnd) {
        if end.events < MIN_EVENTS {
            return;
        }
        let profile = self.profile(service);
        let gap_ms = end.duration.as_secs_f64() * 1_000.0 / (end.events - 1) as f64;
        profile.server(server).event_gap.record(gap_ms);
        profile.all.event_gap.record(gap_ms);
        profile.all.idle_gap.record(gap_ms);
        if let Some(expected) = end.expected {
            profile.all.event_tokens.record(expected.get() as f64 / end.events as f64);
        }
    }

    /// Records a successful plain call at a server of the usual speed.
    pub fn record_call(&mut self, service: &ServiceId, took: Duration) {
        self.record_slowed_call(service, took, 1.0);
    }

    /// Records a successful plain call at a server where work took `factor` times as long as usual.
    pub fn record_slowed_call(&mut self, service: &ServiceId, took: Duration, factor: f64) {
        let estimates = &mut self.profile(service).all;
        estimates.call.record(scaled(took, 1.0 / factor));
        estimates.actual_call.record(took);
    }

    /// Returns whether a plain call of a service was recorded, so that the time of its calls is
    /// more than a prior.
    pub fn knows_calls(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|profile| profile.all.call.has_samples())
    }

    /// Removes a server that has departed or restarted.
    pub fn forget(&mut self, server: &ServerId) {
        for profile in self.services.values_mut() {
            profile.servers.remove(server);
        }
    }

    /// Returns the speed of a server. Where the server has too few samples, that of its service is
    /// used.
    pub fn speed(&self, service: &ServiceId, server: &ServerId) -> ServerSpeed {
        let Some(profile) = self.services.get(service) else {
            return speed(&Estimates::default(), None);
        };
        speed(&profile.all, profile.servers.get(server))
    }

    /// Returns the speed of the servers of a service.
    pub fn service_speed(&self, service: &ServiceId) -> ServerSpeed {
        match self.services.get(service) {
            Some(profile) => speed(&profile.all, None),
            None => speed(&Estimates::default(), None),
        }
    }

    fn profile(&mut self, service: &ServiceId) -> &mut ServiceProfile {
        // The lookup precedes the insertion so that the identifier is cloned only for a new
        // service.
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceProfile::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}

fn speed(all: &Estimates, own: Option<&Estimates>) -> ServerSpeed {
    let pick = |part: fn(&Estimates) -> MedianEstimate| {
        let own = own.map(part).filter(MedianEstimate::is_own);
        own.unwrap_or_else(|| part(all)).value()
    };
    // This is estimated for the whole service: a single server has few samples of it, and they vary
    // by as much as the value itself.
    let copy_ms = (all.copied_first_event.value() - all.first_event.value()).max(0.0);
    ServerSpeed {
        prefill_tokens_per_ms: pick(|estimates| estimates.prefill_rate),
        first_event_ms: pick(|estimates| estimates.first_event),
        copy_ms,
        event_gap_ms: pick(|estimates| estimates.event_gap),
        idle_gap_ms: all.idle_gap.value(),
        event_tokens: all.event_tokens.value(),
        assumed_hit_rate: all.assumed_hit_rate.value(),
        call_ms: all.call.mean_ms(),
        max_call_time: all.actual_call.longer_than_usual(CALL_DEVIATIONS),
        slowdown: 1.0,
    }
}
