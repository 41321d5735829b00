//! The parts of prompts that servers have served lately.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use papayamux_state::crash_suspect::ServicePart;
use papayamux_state::ids::ServiceId;
use papayamux_state::prompt::PartId;

/// Maximum number of parts in a generation. Two generations take about 0.3 MB.
const MAX_PARTS: usize = 8_192;
/// Time after which a new generation begins.
const GENERATION_TIME: Duration = Duration::from_secs(600);

/// Time from the first served part until a part that isn't known is probably new.
const LEARNING_TIME: Duration = Duration::from_secs(5);

/// Parts of prompts that servers have served, in two generations: a part is forgotten one to two
/// generations after its last use.
#[derive(Debug, Default)]
pub(super) struct ServedParts {
    recent: HashMap<ServiceId, HashSet<PartId>>,
    earlier: HashMap<ServiceId, HashSet<PartId>>,
    recent_count: usize,
    /// When the recent generation and the first one have begun.
    begun: Option<Instant>,
    first_begun: Option<Instant>,
}

impl ServedParts {
    /// Records that a server of the service has served a request with these parts.
    pub(super) fn record(
        &mut self,
        service: &ServiceId,
        parts: impl Iterator<Item = PartId>,
        now: Instant,
    ) {
        let age = now.saturating_duration_since(*self.begun.get_or_insert(now));
        if self.recent_count >= MAX_PARTS || age >= GENERATION_TIME {
            self.earlier = std::mem::take(&mut self.recent);
            self.recent_count = 0;
            self.begun = Some(now);
        }
        let known = match self.recent.get_mut(service) {
            Some(known) => known,
            None => self.recent.entry(service.clone()).or_default(),
        };
        for part in parts {
            self.first_begun.get_or_insert(now);
            self.recent_count += usize::from(known.insert(part));
        }
    }

    /// Returns whether the router has run long enough to know the parts in use.
    pub(super) fn are_representative(&self, now: Instant) -> bool {
        self.first_begun.is_some_and(|begun| now.saturating_duration_since(begun) >= LEARNING_TIME)
    }

    /// Returns whether a server has served the part.
    pub(super) fn contains(&self, part: &ServicePart) -> bool {
        let ServicePart { service, part } = part;
        [&self.recent, &self.earlier]
            .iter()
            .any(|known| known.get(service).is_some_and(|parts| parts.contains(part)))
    }
}
