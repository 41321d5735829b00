//! Kinds of engine fleets and the traits of their engines.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use super::load_pattern::PARTS;

/// The engines of a fleet: the usual ones, or a variant that differs in one trait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineKind {
    /// 8 slots, 170 ms to prefill a cold prompt, caches that hold a third of the shared parts.
    Usual,
    /// Prefill and generation eight times as slow.
    Slower,
    /// Prefill and generation eight times as fast.
    Faster,
    /// 4 slots.
    FewSlots,
    /// 128 slots.
    ManySlots,
    /// Caches of a quarter of the usual size.
    SmallCache,
    /// Caches that hold all shared parts.
    WholeCache,
    /// Copying a cached part between engines takes thirty times as long.
    ThinLinks,
    /// One engine whose prefill and generation take three times as long.
    OneSlow,
    /// Prefill and generation take four times as long from halfway on.
    SlowerFromHalfway,
}

/// Every kind and its name.
const NAMES: [(EngineKind, &str); 10] = [
    (EngineKind::Usual, "usual"),
    (EngineKind::Slower, "slower"),
    (EngineKind::Faster, "faster"),
    (EngineKind::FewSlots, "few-slots"),
    (EngineKind::ManySlots, "many-slots"),
    (EngineKind::SmallCache, "small-cache"),
    (EngineKind::WholeCache, "whole-cache"),
    (EngineKind::ThinLinks, "thin-links"),
    (EngineKind::OneSlow, "one-slow"),
    (EngineKind::SlowerFromHalfway, "slower-from-halfway"),
];

impl fmt::Display for EngineKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = NAMES.iter().find(|(kind, _)| kind == self);
        formatter.write_str(named.map_or("", |(_, name)| name))
    }
}

/// The error of parsing an unknown kind of engines.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{name:?} is not a known kind of engines; expected one of {}", NAMES.map(|(_, name)| name).join(", "))]
pub struct UnknownKind {
    name: String,
}

impl FromStr for EngineKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let named = NAMES.iter().find(|(_, name)| *name == text);
        named.map(|(kind, _)| *kind).ok_or_else(|| UnknownKind { name: text.to_string() })
    }
}

/// The traits of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EngineTraits {
    /// Maximum number of concurrent requests.
    pub(super) slots: u32,
    /// Number of shared parts that the cache holds.
    pub(super) cached_parts: usize,
    /// Prefill time per token. With the usual traits a cold prompt takes 170 ms and a cached one 8
    /// ms.
    pub(super) read_token: Duration,
    /// Time to copy a cached part from another engine.
    pub(super) take_over: Duration,
    /// Time between two events of an answer.
    pub(super) event_every: Duration,
    /// Factor by which prefill and generation slow down from halfway on.
    pub(super) slower_from_halfway: u32,
}

const USUAL: EngineTraits = EngineTraits {
    slots: 8,
    cached_parts: 8,
    read_token: Duration::from_micros(40),
    take_over: Duration::from_millis(6),
    event_every: Duration::from_millis(20),
    slower_from_halfway: 1,
};

impl EngineTraits {
    /// Returns the traits of engine `number` in a fleet of `kind`.
    pub(super) fn of(kind: EngineKind, number: usize) -> Self {
        match kind {
            EngineKind::Usual => USUAL,
            EngineKind::Slower => USUAL.slowed(8),
            EngineKind::Faster => Self {
                read_token: USUAL.read_token / 8,
                event_every: USUAL.event_every / 8,
                ..USUAL
            },
            EngineKind::FewSlots => Self { slots: 4, ..USUAL },
            EngineKind::ManySlots => Self { slots: 128, ..USUAL },
            EngineKind::SmallCache => Self { cached_parts: USUAL.cached_parts / 4, ..USUAL },
            EngineKind::WholeCache => Self { cached_parts: PARTS as usize, ..USUAL },
            EngineKind::ThinLinks => Self { take_over: USUAL.take_over * 30, ..USUAL },
            EngineKind::OneSlow if number == 0 => USUAL.slowed(3),
            EngineKind::OneSlow => USUAL,
            EngineKind::SlowerFromHalfway => Self { slower_from_halfway: 4, ..USUAL },
        }
    }

    /// Returns the same traits with prefill and generation `times` as slow.
    pub(super) fn slowed(self, times: u32) -> Self {
        let (read_token, event_every) = (self.read_token * times, self.event_every * times);
        Self { read_token, event_every, ..self }
    }
}
