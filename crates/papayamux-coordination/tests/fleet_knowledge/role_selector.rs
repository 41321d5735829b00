//! A router's selection between reading and following.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::fleet_knowledge::{ReaderOrder, RoleSelector, RoleView, SourceRole};
use papayamux_coordination::source_polling::{PollSchedule, PollView, ReadBounds};

use super::reader_order::address;

const SOLO_INTERVAL: Duration = Duration::from_millis(1_000);

struct FleetRoles {
    all: Vec<IpAddr>,
    order: ReaderOrder,
}

impl FleetRoles {
    fn of(routers: u32) -> Self {
        let all: Vec<_> = (0..routers).map(address).collect();
        Self { order: ReaderOrder::new(all.clone()), all }
    }

    fn reader(&self) -> IpAddr {
        *self.all.iter().find(|router| self.order.followed_by(**router).is_none()).unwrap()
    }

    fn follower(&self) -> IpAddr {
        *self.all.iter().find(|router| self.order.followed_by(**router).is_some()).unwrap()
    }

    fn others(&self, own: IpAddr) -> Vec<IpAddr> {
        self.all.iter().copied().filter(|router| *router != own).collect()
    }
}

/// Returns the selector of a follower in a large fleet, the other routers, and the followed router.
fn following(begun: Instant) -> (RoleSelector, Vec<IpAddr>, IpAddr) {
    let fleet = FleetRoles::of(68);
    let own = fleet.follower();
    let others = fleet.others(own);
    let mut selector = RoleSelector::new(own, SOLO_INTERVAL);
    selector.choose(view(&others), begun);
    let SourceRole::Follower(followed) = selector.role() else {
        panic!("the router must follow another one")
    };
    (selector, others, followed)
}

fn view(known: &[IpAddr]) -> RoleView<'_> {
    RoleView { known, has_uncertain_read: false, has_followers: false, is_up_to_date: false }
}

#[test]
fn router_without_peers_reads_at_its_solo_interval() {
    let mut selector = RoleSelector::new(address(1), SOLO_INTERVAL);
    selector.choose(view(&[]), Instant::now());
    assert_eq!(selector.role(), SourceRole::Reader(SOLO_INTERVAL));
    assert!(selector.seeks_source());
}

#[test]
fn reader_that_discovers_its_fleet_reads_at_once() {
    let fleet = FleetRoles::of(68);
    let own = fleet.reader();
    let (others, now) = (fleet.others(own), Instant::now());
    let mut selector = RoleSelector::new(own, SOLO_INTERVAL);
    assert!(!selector.choose(view(&[]), now));
    // Its next read was scheduled at the solo interval, which is too long for its followers.
    assert!(selector.choose(view(&others), now));
    assert!(!selector.choose(view(&others), now));
}

#[test]
fn silent_router_is_skipped_before_the_own_read_is_due() {
    let begun = Instant::now();
    let (mut selector, others, first) = following(begun);
    assert!(!selector.choose(view(&others), begun + Duration::from_millis(650)));
    assert!(selector.choose(view(&others), begun + Duration::from_millis(750)));
    let SourceRole::Follower(second) = selector.role() else {
        panic!("the router must follow another one")
    };
    assert_ne!(first, second);
    selector.record_newer(first, begun + Duration::from_millis(760));
    assert_eq!(
        selector.role(),
        SourceRole::Follower(second),
        "the abandoned router must be skipped"
    );
}

#[test]
fn router_that_keeps_sending_updates_stays_followed() {
    let begun = Instant::now();
    let (mut selector, others, first) = following(begun);
    for millis in (300..60_000).step_by(300) {
        let now = begun + Duration::from_millis(millis);
        selector.record_newer(first, now);
        assert!(!selector.choose(view(&others), now));
    }
}

#[test]
fn partitioned_reader_follows_another_reader() {
    let fleet = FleetRoles::of(6);
    let own = fleet.reader();
    let others = fleet.others(own);
    let mut selector = RoleSelector::new(own, SOLO_INTERVAL);
    selector.choose(RoleView { has_uncertain_read: true, ..view(&others) }, Instant::now());
    assert!(matches!(selector.role(), SourceRole::Follower(_)));
    assert!(selector.seeks_source(), "the router must keep polling the unavailable source");
    selector.choose(view(&others), Instant::now());
    assert!(matches!(selector.role(), SourceRole::Reader(_)));
}

#[test]
fn router_without_followers_reads_at_its_solo_interval() {
    let fleet = FleetRoles::of(68);
    let own = fleet.follower();
    let (others, mut now) = (fleet.others(own), Instant::now());
    let mut selector = RoleSelector::new(own, SOLO_INTERVAL);
    // No followed router sends an update, until most are skipped.
    for _ in 0..1_000 {
        now += Duration::from_millis(150);
        selector.choose(view(&others), now);
        if let SourceRole::Reader(pause) = selector.role() {
            assert_eq!(pause, SOLO_INTERVAL);
        }
    }
    let followed = RoleView { has_followers: true, ..view(&[]) };
    selector.choose(followed, now);
    assert!(matches!(selector.role(), SourceRole::Reader(_)));
}

fn schedule() -> PollSchedule {
    let bounds = ReadBounds { drain_within: Some(Duration::from_secs(2)), ..ReadBounds::default() };
    PollSchedule::new(bounds)
}

fn follower_view(age: u64, since_read: u64) -> PollView {
    PollView {
        role: SourceRole::Follower(address(1)),
        seeks_source: false,
        awaits_renewals: false,
        since_read: Duration::from_millis(since_read),
        age: Some(Duration::from_millis(age)),
    }
}

#[test]
fn follower_reads_no_later_than_without_peers() {
    for (age, since_read) in [(0, 0), (400, 60_000), (60_000, 400)] {
        let wait = schedule().wait(follower_view(age, since_read), 0.0).unwrap();
        assert_eq!(wait, SOLO_INTERVAL - Duration::from_millis(age.min(since_read)));
    }
    assert_eq!(schedule().wait(follower_view(1_000, 1_000), 0.0), None);
    let unknown = PollView { age: None, ..follower_view(0, 1_000) };
    assert_eq!(schedule().wait(unknown, 0.0), None);
}

#[test]
fn follower_retries_a_failed_read_as_soon_as_a_solo_router() {
    let mut schedule = schedule();
    schedule.record_failure();
    let follower = follower_view(60_000, 300);
    assert_eq!(schedule.wait(follower, 0.0), Some(Duration::from_millis(200)));
    // A failure long ago causes no delay.
    assert_eq!(schedule.wait(follower_view(400, 60_000), 0.0), Some(Duration::from_millis(600)));
    assert_eq!(schedule.wait(PollView { seeks_source: true, ..follower }, 0.0), None);
}

#[test]
fn refused_router_does_not_read_on_every_peer_update() {
    let mut schedule = schedule();
    assert_eq!(schedule.requested_read_spacing(), SOLO_INTERVAL / 2);
    schedule.record_failure();
    assert_eq!(schedule.requested_read_spacing(), SOLO_INTERVAL * 2);
    schedule.record_success();
    assert_eq!(schedule.requested_read_spacing(), SOLO_INTERVAL / 2);
}
