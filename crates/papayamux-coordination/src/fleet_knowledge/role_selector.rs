//! Whether a router reads the source for others, or follows one that does.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::reader_order::{reading_interval, ReaderOrder};

/// Pauses between two reads that a followed router may let pass without news before another one is
/// followed: one read may fail. A follower's own read comes later than that, so that the loss of a reader costs
/// hardly a call.
const MAX_SILENT_INTERVALS: u32 = 2;
/// What a slow answer of the source and the way may take beside them.
const UPDATE_DELAY: Duration = Duration::from_millis(100);
/// How long a router that brought no news is passed over. In an outage of the source each follower so
/// comes by some four others, all of which tell it of the source's return.
const SKIP_DURATION: Duration = Duration::from_secs(3);

/// What a router does to know the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceRole {
    /// It reads at this pause, for itself and those who follow it.
    Reader(Duration),
    /// It is told by this router, and reads only where that fails.
    Follower(IpAddr),
}

/// What a router knows when it chooses its role.
#[derive(Debug, Clone, Copy)]
pub struct RoleView<'a> {
    /// The other routers.
    pub known: &'a [IpAddr],
    /// Whether the router's own last read of the source failed, or left open which servers have left.
    pub has_uncertain_read: bool,
    /// Whether others follow it.
    pub has_followers: bool,
}

#[derive(Debug, Clone, Copy)]
struct FollowedRouter {
    router: IpAddr,
    last_update: Instant,
}

/// The choice of a role, again and again.
#[derive(Debug)]
pub struct RoleSelector {
    own: IpAddr,
    solo_interval: Duration,
    interval: Duration,
    known: Vec<IpAddr>,
    order: ReaderOrder,
    skipped: HashMap<IpAddr, Instant>,
    followed: Option<FollowedRouter>,
    seeks_source: bool,
}

impl RoleSelector {
    /// The duty of the router at `own`, which would read at the pause `alone` by itself.
    pub fn new(own: IpAddr, solo_interval: Duration) -> Self {
        Self {
            own,
            solo_interval,
            interval: solo_interval,
            known: Vec::new(),
            order: ReaderOrder::new([own]),
            skipped: HashMap::new(),
            followed: None,
            seeks_source: true,
        }
    }

    /// The role as it was chosen last.
    pub fn role(&self) -> SourceRole {
        match self.followed {
            Some(followed) => SourceRole::Follower(followed.router),
            None => SourceRole::Reader(self.interval),
        }
    }

    /// Whether this router is among those that look often for a source that is away. The others are
    /// told of its return by them; all together would press it.
    pub fn seeks_source(&self) -> bool {
        self.seeks_source
    }

    /// Chooses the role. Returns whether the router begins or ceases to read for others, reads more
    /// often than before, or follows another one.
    pub fn choose(&mut self, view: RoleView<'_>, now: Instant) -> bool {
        let before = self.role();
        let routers = view.known.len() + 1;
        let shared_interval = reading_interval(routers, self.solo_interval);
        self.skip_silent(shared_interval * MAX_SILENT_INTERVALS + UPDATE_DELAY, now);
        self.skipped.retain(|_, until| now < *until);
        if self.known != view.known {
            self.known = view.known.to_vec();
            self.order = ReaderOrder::new(view.known.iter().copied().chain([self.own]));
        }
        let candidates = self.order.without(|router| self.skipped.contains_key(router));
        self.seeks_source = self.order.followed_by(self.own).is_none();
        // Nobody but itself would profit from many reads of a router that is alone in its view.
        let reads_for_others = self.seeks_source || view.has_followers;
        self.interval = if reads_for_others { shared_interval } else { self.solo_interval };
        let followed = match self.seeks_source && view.has_uncertain_read {
            // A reader that can't read, or could not just now, is told by one that can, wherever it stands.
            true => candidates.first_other(self.own),
            false => candidates.followed_by(self.own),
        };
        if self.followed.map(|followed| followed.router) != followed {
            self.followed = followed.map(|router| FollowedRouter { router, last_update: now });
        }
        match (before, self.role()) {
            (SourceRole::Reader(before), SourceRole::Reader(pause)) => pause < before / 2,
            (before, role) => before != role,
        }
    }

    /// Notes that `router` brought a newer confirmation than was known.
    pub fn record_newer(&mut self, router: IpAddr, now: Instant) {
        if let Some(followed) = self.followed.as_mut().filter(|known| known.router == router) {
            followed.last_update = now;
        }
    }

    fn skip_silent(&mut self, max_silence: Duration, now: Instant) {
        let silence =
            |followed: &FollowedRouter| now.saturating_duration_since(followed.last_update);
        if let Some(silent) = self.followed.take_if(|followed| silence(followed) >= max_silence) {
            self.skipped.insert(silent.router, now + SKIP_DURATION);
        }
    }
}
