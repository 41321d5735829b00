//! The profiles of all servers that a router asks.

use std::collections::HashMap;
use std::time::Duration;

use papayamux_state::ids::{ServerId, ServiceId};
use papayamux_state::quantities::TokenCount;

use super::server_speed::CALL_DEVIATIONS;
use super::{CallTime, LowEstimate, MedianEstimate, ServerSpeed, ShareEstimate};

/// Priors, left within a dozen answers: what large models on current accelerators do, within a factor
/// of two. Prompt tokens read in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Milliseconds to the first event beyond reading: a round trip and a step or two.
const FIRST_EVENT_MS: f64 = 20.0;
/// Milliseconds that it takes to begin a copy from another engine.
const COPY_MS: f64 = 3.0;
/// Milliseconds between two events.
const EVENT_GAP_MS: f64 = 22.0;
/// Tokens of an event.
const EVENT_TOKENS: f64 = 5.0;
/// How long a plain call takes.
const CALL: Duration = Duration::from_millis(20);

/// Part of the tokens that engines are only believed to hold that they do hold: where nothing is known,
/// either may be. Taken for held, what nobody has read yet would be no load.
const ASSUMED_HIT_RATE: f64 = 0.5;

/// Tokens from which the time to the first event shows how fast an engine reads; what is below shows
/// what it takes besides.
const MIN_PREFILL_TOKENS: f64 = 800.0;
/// Events from which a stream shows the time between two.
const MIN_EVENTS: u64 = 3;

/// A first event of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEvent {
    /// Tokens that were to be read before it, those of other requests among them.
    pub tokens: TokenCount,
    /// How long it took.
    pub took: Duration,
    /// How long the transfer takes of what was copied from another engine, where something was.
    pub transfer: Option<Duration>,
    /// Tokens that the server was only believed to hold.
    pub assumed: TokenCount,
}

/// A stream that has ended. One that breaks off shows the pace of its events too: where only whole ones
/// counted, an engine too slow to end any would look as fast as ever.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamEnd {
    /// Its events.
    pub events: u64,
    /// The time from its first event to its last.
    pub lasted: Duration,
    /// Tokens that its answer was expected to have, where it ended as it should.
    pub expected: Option<TokenCount>,
}

#[derive(Debug, Clone, Copy)]
struct Estimates {
    prefill_rate: MedianEstimate,
    first_event: MedianEstimate,
    /// The same of prompts that were copied in part, beyond the transfer.
    copied_first_event: MedianEstimate,
    event_gap: MedianEstimate,
    idle_gap: LowEstimate,
    event_tokens: MedianEstimate,
    assumed_hit_rate: ShareEstimate,
    call: CallTime,
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
            self.copied_first_event.note(rest.max(1.0));
            return;
        }
        if tokens >= MIN_PREFILL_TOKENS {
            self.prefill_rate.note(tokens / (took_ms - self.first_event.value()).max(1.0));
        } else {
            self.first_event.note((took_ms - tokens / self.prefill_rate.value()).max(1.0));
        }
    }

    /// Learns from the time to a first event whether what was guessed to be held was held.
    fn record_assumption(&mut self, took_ms: f64, tokens: f64, first: FirstEvent) {
        let transfer_ms = first.transfer.map_or(0.0, |transfer| transfer.as_secs_f64() * 1_000.0);
        let known_ms = self.first_event.value() + transfer_ms + tokens / self.prefill_rate.value();
        let assumed_ms = first.assumed.get() as f64 / self.prefill_rate.value();
        // A short part takes no longer to read than answers scatter.
        if assumed_ms > self.first_event.value() {
            self.assumed_hit_rate.note(took_ms < known_ms + assumed_ms / 2.0);
        }
    }
}

/// What is known of one service and of its servers.
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

/// All that a router has learnt of how fast servers are.
#[derive(Debug, Default)]
pub struct ProfileTracker {
    services: HashMap<ServiceId, ServiceProfile>,
}

impl ProfileTracker {
    /// Notes a first event of a server that had a slot free.
    pub fn record_first(&mut self, service: &ServiceId, server: &ServerId, first: FirstEvent) {
        let profile = self.profile(service);
        profile.server(server).record_first(first);
        profile.all.record_first(first);
    }

    /// Notes a stream that has ended.
    pub fn record_stream(&mut self, service: &ServiceId, server: &ServerId, end: StreamEnd) {
        if end.events < MIN_EVENTS {
            return;
        }
        let profile = self.profile(service);
        let gap_ms = end.lasted.as_secs_f64() * 1_000.0 / (end.events - 1) as f64;
        profile.server(server).event_gap.note(gap_ms);
        profile.all.event_gap.note(gap_ms);
        profile.all.idle_gap.note(gap_ms);
        if let Some(expected) = end.expected {
            profile.all.event_tokens.note(expected.get() as f64 / end.events as f64);
        }
    }

    /// Notes a plain call that was answered.
    pub fn record_call(&mut self, service: &ServiceId, took: Duration) {
        self.profile(service).all.call.note(took);
    }

    /// Forgets a server that is gone or has started again.
    pub fn forget(&mut self, server: &ServerId) {
        for profile in self.services.values_mut() {
            profile.servers.remove(server);
        }
    }

    /// How fast a server is. What it hasn't shown itself is taken from its service.
    pub fn speed(&self, service: &ServiceId, server: &ServerId) -> ServerSpeed {
        let Some(profile) = self.services.get(service) else {
            return speed(&Estimates::default(), None);
        };
        speed(&profile.all, profile.servers.get(server))
    }

    /// How fast the servers of a service are.
    pub fn service_speed(&self, service: &ServiceId) -> ServerSpeed {
        match self.services.get(service) {
            Some(profile) => speed(&profile.all, None),
            None => speed(&Estimates::default(), None),
        }
    }

    fn profile(&mut self, service: &ServiceId) -> &mut ServiceProfile {
        // Two steps, so that the name is only copied for a new service.
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
    // Of one server alone, few first events show it, and their scatter is as large as what is looked for.
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
        max_call_time: all.call.longer_than_usual(CALL_DEVIATIONS),
    }
}
