//! Selects whether a router reads the source for others or follows another router.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::reader_order::{reading_interval, ReaderOrder};

/// Number of read intervals that may pass without an update from the followed router before another one
/// is followed. One read may fail. The follower's own read is due later, so that losing a reader causes
/// hardly any extra calls to the source.
const MAX_SILENT_INTERVALS: u32 = 2;
/// Additional allowance for a slow answer of the source and for network delays.
const UPDATE_DELAY: Duration = Duration::from_millis(100);
/// Duration for which a router that sent no updates is skipped. During an outage of the source, each
/// follower thereby queries about four routers, all of which notify it when the source has recovered.
const SKIP_DURATION: Duration = Duration::from_secs(3);
/// Duration without a newly known router after which a started router takes its place in the order. Before
/// that it knows too few routers, and would believe itself to be one of the readers.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);
/// Maximum duration until a started router takes its place in the order.
const MAX_SETTLING_TIME: Duration = Duration::from_secs(5);

/// Where a router has its first view of the source from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewOrigin {
    /// From its own read of the source.
    OwnRead,
    /// From this router.
    Router(IpAddr),
}

/// The first view of a started router, and the time at which it was obtained.
#[derive(Debug, Clone, Copy)]
struct FirstView {
    origin: ViewOrigin,
    obtained: Instant,
    /// Time at which a router was last newly known.
    last_growth: Instant,
}

impl FirstView {
    fn is_settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_growth) < SETTLING_TIME
            && now.saturating_duration_since(self.obtained) < MAX_SETTLING_TIME
    }
}

/// Role of a router towards the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceRole {
    /// Reads the source at this interval, for itself and its followers.
    Reader(Duration),
    /// Receives updates from this router, and reads the source only if they fail to arrive.
    Follower(IpAddr),
}

/// State of a router that determines its role.
#[derive(Debug, Clone, Copy)]
pub struct RoleView<'a> {
    /// Known other routers.
    pub known: &'a [IpAddr],
    /// `true` if the router's own last read of the source failed, or left open which servers have departed.
    pub has_uncertain_read: bool,
    /// `true` if other routers follow this one.
    pub has_followers: bool,
    /// `true` if the router knows the source as recently as if it read the source by itself.
    pub is_up_to_date: bool,
}

#[derive(Debug, Clone, Copy)]
struct FollowedRouter {
    router: IpAddr,
    last_update: Instant,
}

/// Selects the role of a router, and revises it as routers come and go.
#[derive(Debug)]
pub struct RoleSelector {
    own: IpAddr,
    solo_interval: Duration,
    interval: Duration,
    known: Vec<IpAddr>,
    order: ReaderOrder,
    skipped: HashMap<IpAddr, Instant>,
    followed: Option<FollowedRouter>,
    /// The router to follow once it has shown that it knows the source.
    candidate: Option<FollowedRouter>,
    seeks_source: bool,
    first_view: Option<FirstView>,
}

impl RoleSelector {
    /// Creates the selector of the router at `own`, which reads at `solo_interval` if it reads only for
    /// itself.
    pub fn new(own: IpAddr, solo_interval: Duration) -> Self {
        Self {
            own,
            solo_interval,
            interval: solo_interval,
            known: Vec::new(),
            order: ReaderOrder::new([own]),
            skipped: HashMap::new(),
            followed: None,
            candidate: None,
            seeks_source: true,
            first_view: None,
        }
    }

    /// Records where the router has its first view from. While the routers get to know one another, it
    /// follows the router that handed it the view, or reads the source as before.
    pub fn record_first_view(&mut self, origin: ViewOrigin, now: Instant) {
        self.first_view = Some(FirstView { origin, obtained: now, last_growth: now });
    }

    /// Returns the role selected last.
    pub fn role(&self) -> SourceRole {
        match self.followed {
            Some(followed) => SourceRole::Follower(followed.router),
            None => SourceRole::Reader(self.interval),
        }
    }

    /// Returns the routers that are asked for updates: the followed one, and the one to follow next.
    pub fn asked(&self) -> impl Iterator<Item = IpAddr> {
        [self.followed, self.candidate].into_iter().flatten().map(|asked| asked.router)
    }

    /// Returns whether this router is among those that poll an unavailable source frequently. They notify
    /// the others of its recovery, as polling by all routers would overload it.
    pub fn seeks_source(&self) -> bool {
        self.seeks_source
    }

    /// Selects the role. Returns whether the router starts or stops reading, reads at less than half of
    /// the previous interval, or follows a different router.
    pub fn choose(&mut self, view: RoleView<'_>, now: Instant) -> bool {
        let before = self.role();
        let routers = view.known.len() + 1;
        let shared_interval = reading_interval(routers, self.solo_interval);
        self.skip_silent(shared_interval * MAX_SILENT_INTERVALS + UPDATE_DELAY, now);
        self.skipped.retain(|_, until| now < *until);
        if self.known != view.known {
            if let Some(first_view) = self.first_view.as_mut() {
                let is_new = |router: &&IpAddr| self.known.binary_search(router).is_err();
                if view.known.iter().any(|router| is_new(&router)) {
                    first_view.last_growth = now;
                }
            }
            self.known = view.known.to_vec();
            self.order = ReaderOrder::new(view.known.iter().copied().chain([self.own]));
        }
        self.first_view.take_if(|first_view| !first_view.is_settling(now));
        let origin = self.first_view.map(|first_view| first_view.origin);
        let origin = origin.filter(|origin| match origin {
            ViewOrigin::OwnRead => !view.has_uncertain_read,
            ViewOrigin::Router(router) => !self.skipped.contains_key(router),
        });
        let candidates = self.order.without(|router| self.skipped.contains_key(router));
        let precedes_others = self.order.followed_by(self.own).is_none();
        self.seeks_source = match origin {
            Some(ViewOrigin::Router(_)) => false,
            Some(ViewOrigin::OwnRead) => true,
            None => precedes_others,
        };
        // Frequent reads benefit only the router itself if it has no followers.
        let reads_for_others = (origin.is_none() && precedes_others) || view.has_followers;
        self.interval = if reads_for_others { shared_interval } else { self.solo_interval };
        let followed = match origin {
            Some(ViewOrigin::Router(router)) => Some(router),
            Some(ViewOrigin::OwnRead) => None,
            // A reader with an uncertain read follows the first other candidate, regardless of the order.
            None if self.seeks_source && view.has_uncertain_read => {
                candidates.first_other(self.own)
            }
            None => candidates.followed_by(self.own),
        };
        self.follow(followed, before, view, now);
        match (before, self.role()) {
            (SourceRole::Reader(before), SourceRole::Reader(pause)) => pause < before / 2,
            (before, role) => before != role,
        }
    }

    /// Follows `target`, or reads if it is `None`.
    ///
    /// A router that is up to date changes to another one only once that one has shown to be so too. The first
    /// routers in the order may have just returned from a partition: they know nothing of what has changed,
    /// and until they do, nobody would learn of it if the readers before them stopped.
    fn follow(
        &mut self,
        target: Option<IpAddr>,
        before: SourceRole,
        view: RoleView<'_>,
        now: Instant,
    ) {
        let current = self.followed.map(|followed| followed.router);
        if target == current || target.is_none() {
            self.candidate = None;
            self.followed = self.followed.filter(|_| target.is_some());
            return;
        }
        let is_working = match current {
            Some(current) => self.known.contains(&current) && !self.skipped.contains_key(&current),
            None => matches!(before, SourceRole::Reader(_)) && !view.has_uncertain_read,
        };
        let next = target.map(|router| FollowedRouter { router, last_update: now });
        if !(view.is_up_to_date && is_working) {
            (self.followed, self.candidate) = (next, None);
        } else if self.candidate.map(|candidate| candidate.router) != target {
            self.candidate = next;
        }
    }

    /// Records that `router` sent a newer confirmation than the known one.
    pub fn record_newer(&mut self, router: IpAddr, now: Instant) {
        if let Some(followed) = self.followed.as_mut().filter(|known| known.router == router) {
            followed.last_update = now;
        }
    }

    /// Records that `router` confirmed state that was the newest `age` ago. Returns whether this router
    /// follows it from now on.
    pub fn record_candidate(&mut self, router: IpAddr, age: Duration, now: Instant) -> bool {
        if age >= self.solo_interval {
            return false;
        }
        let candidate = self.candidate.take_if(|candidate| candidate.router == router);
        if let Some(candidate) = candidate {
            self.followed = Some(FollowedRouter { last_update: now, ..candidate });
        }
        candidate.is_some()
    }

    /// Records that `router` still waits for renewals. If this router does so as well after reading the
    /// source, it tries others: one that was in contact all the while knows which servers have departed.
    pub fn record_doubtful(&mut self, router: IpAddr, now: Instant) {
        if self.seeks_source {
            self.skipped.insert(router, now + SKIP_DURATION);
        }
    }

    fn skip_silent(&mut self, max_silence: Duration, now: Instant) {
        let silence =
            |followed: &FollowedRouter| now.saturating_duration_since(followed.last_update);
        for asked in [&mut self.followed, &mut self.candidate] {
            if let Some(silent) = asked.take_if(|asked| silence(asked) >= max_silence) {
                self.skipped.insert(silent.router, now + SKIP_DURATION);
            }
        }
    }
}
