//! The origins of streams that a router knows.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_state::stream_origin::{StreamKey, StreamOrigin};

/// Time for which an origin is kept, several times the life of a stream with the resumptions that
/// its caller has time for.
pub const ORIGIN_TTL: Duration = Duration::from_secs(60);
/// Maximum number of origins, which take about 100 bytes each.
const MAX_ORIGINS: usize = 32_768;

/// What is known of a stream's origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownOrigin {
    /// The stream began here.
    Began(Rc<StreamOrigin>),
    /// Two streams with different origins have the same key, so that neither can be resumed.
    Ambiguous,
}

impl KnownOrigin {
    /// Returns the origin unless it is ambiguous.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        match self {
            Self::Began(origin) => Some(origin),
            Self::Ambiguous => None,
        }
    }

    /// Returns the stable name for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Began(_) => "known",
            Self::Ambiguous => "ambiguous",
        }
    }
}

/// Origins by stream, the oldest first to go.
#[derive(Debug, Default)]
pub struct OriginTable {
    origins: HashMap<StreamKey, KnownOrigin>,
    /// Keys in the order in which they were recorded.
    recorded: VecDeque<(Instant, StreamKey)>,
    /// The origins in use, so that equal ones share their memory.
    distinct: Vec<Rc<StreamOrigin>>,
    evicted: u64,
}

impl OriginTable {
    /// Records where a stream began.
    pub fn record(&mut self, key: StreamKey, origin: &StreamOrigin, now: Instant) {
        self.expire(now);
        match self.origins.get_mut(&key) {
            Some(KnownOrigin::Began(known)) if **known == *origin => {}
            Some(known) => *known = KnownOrigin::Ambiguous,
            None => {
                let origin = self.shared(origin);
                self.origins.insert(key, KnownOrigin::Began(origin));
                self.recorded.push_back((now, key));
            }
        }
        while self.origins.len() > MAX_ORIGINS {
            self.remove_oldest();
            self.evicted += 1;
        }
    }

    /// Returns what is known of a stream's origin.
    pub fn get(&self, key: StreamKey) -> Option<&KnownOrigin> {
        self.origins.get(&key)
    }

    /// Removes origins that have expired.
    pub fn expire(&mut self, now: Instant) {
        let is_expired =
            |recorded_at: Instant| now.saturating_duration_since(recorded_at) >= ORIGIN_TTL;
        while self.recorded.front().is_some_and(|(recorded_at, _)| is_expired(*recorded_at)) {
            self.remove_oldest();
        }
        if self.origins.is_empty() {
            self.distinct.clear();
        }
    }

    /// Returns the number of origins.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Returns the number of origins removed since the last call to make room for newer ones.
    pub fn take_evicted(&mut self) -> u64 {
        std::mem::take(&mut self.evicted)
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.recorded.pop_front() {
            self.origins.remove(&key);
        }
    }

    fn shared(&mut self, origin: &StreamOrigin) -> Rc<StreamOrigin> {
        if let Some(known) = self.distinct.iter().find(|known| ***known == *origin) {
            return known.clone();
        }
        // Only the table's own reference is left of an origin that no stream has any more.
        self.distinct.retain(|known| Rc::strong_count(known) > 1);
        let origin = Rc::new(origin.clone());
        self.distinct.push(origin.clone());
        origin
    }
}
