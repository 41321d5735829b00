//! Who may hold memory for its callers' sake, and who yields, under the load patterns that crowds bring.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use bolero::{check, TypeGenerator};
use papayamux_coordination::caller_memory::{
    HolderId, HolderStage, MemoryLedger, MemoryLimits, CONNECTION_BYTES, SMALL_HOLDER_BYTES,
};
use papayamux_state::quantities::ByteCount;

/// Memory of the smallest instance, in bytes.
const SMALL_INSTANCE: ByteCount = ByteCount::new(112_000_000);
/// Largest body that the configuration allows.
const BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Unit in which bodies claim memory.
const SEGMENT_BYTES: u64 = 64 * 1024;

/// A ledger at a point in time that the test moves.
struct Replay {
    ledger: MemoryLedger,
    now: Instant,
    evicted: Vec<HolderId>,
}

impl Replay {
    fn start() -> Self {
        let ledger = MemoryLedger::new(MemoryLimits::of_machine(SMALL_INSTANCE));
        Self { ledger, now: Instant::now(), evicted: Vec::new() }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    fn claim(&mut self, id: HolderId, bytes: u64) -> bool {
        let claim = self.ledger.claim(id, ByteCount::new(bytes), self.now);
        let is_granted = claim.is_ok();
        self.evicted.extend(claim.unwrap_or_default());
        is_granted
    }

    fn connect(&mut self) -> HolderId {
        let id = self.ledger.open(self.now);
        assert!(self.claim(id, CONNECTION_BYTES.get()), "no memory for a connection");
        id
    }

    /// Connects a caller that has accepted an answer and waits.
    fn connect_kept(&mut self) -> HolderId {
        let id = self.connect();
        self.ledger.record_served(id);
        id
    }

    /// Receives up to `bytes` of a body. Returns how many there was memory for.
    fn receive(&mut self, id: HolderId, bytes: u64) -> u64 {
        self.ledger.set_stage(id, HolderStage::Receiving, self.now);
        let mut received = 0;
        while received < bytes && self.claim(id, SEGMENT_BYTES) {
            self.ledger.record_bytes(id, ByteCount::new(SEGMENT_BYTES), self.now);
            received += SEGMENT_BYTES;
        }
        received
    }

    fn receive_whole(&mut self, id: HolderId) -> bool {
        let is_whole = self.receive(id, BODY_BYTES) >= BODY_BYTES;
        if is_whole {
            self.ledger.set_stage(id, HolderStage::Busy, self.now);
        }
        is_whole
    }

    /// Connects callers until no body of full size is taken any more. Returns those that were.
    fn fill_with_bodies(&mut self, receive: fn(&mut Self, HolderId) -> bool) -> Vec<HolderId> {
        let mut taken = Vec::new();
        loop {
            let id = self.connect();
            if !receive(self, id) {
                self.ledger.close(id);
                return taken;
            }
            taken.push(id);
        }
    }
}

fn receive_one_segment_short(replay: &mut Replay, id: HolderId) -> bool {
    let bytes = BODY_BYTES - SEGMENT_BYTES;
    replay.receive(id, bytes) >= bytes
}

#[test]
fn body_of_full_size_is_taken_in_calm_on_the_smallest_instance() {
    let mut replay = Replay::start();
    for _ in 0..100 {
        replay.connect_kept();
    }
    let id = replay.connect();
    assert!(replay.receive_whole(id));
    assert!(replay.evicted.is_empty());
}

/// A crowd whose bodies stop short of their end fills the memory. Once it is stalled it yields to others.
#[test]
fn stalled_bodies_yield_to_bodies_of_full_size() {
    let mut replay = Replay::start();
    let crowd = replay.fill_with_bodies(receive_one_segment_short);
    let early = replay.connect();
    assert!(!replay.receive_whole(early), "bodies that still arrive yield to no large one");
    replay.wait(Duration::from_secs(1));
    let late = replay.connect();
    assert!(replay.receive_whole(late));
    assert!(replay.evicted.iter().all(|id| crowd.contains(id)));
}

/// A trickle of bytes is no progress.
#[test]
fn bodies_that_trickle_yield_like_those_that_stop() {
    let mut replay = Replay::start();
    let crowd = replay.fill_with_bodies(receive_one_segment_short);
    for _ in 0..10 {
        replay.wait(Duration::from_millis(100));
        for id in &crowd {
            replay.ledger.record_bytes(*id, ByteCount::new(1), replay.now);
        }
    }
    let id = replay.connect();
    assert!(replay.receive_whole(id));
}

/// Bodies that arrive at a usual pace aren't evicted by newcomers of the same kind, so that they complete; a small
/// request evicts one of them.
#[test]
fn bodies_that_make_progress_yield_to_small_requests_alone() {
    let mut replay = Replay::start();
    let crowd = replay.fill_with_bodies(receive_one_segment_short);
    for _ in 0..50 {
        let id = replay.connect();
        assert!(!replay.receive_whole(id));
        replay.ledger.close(id);
    }
    assert!(replay.evicted.is_empty());
    let mut small = 0;
    while replay.evicted.is_empty() {
        let id = replay.connect();
        assert!(replay.claim(id, SEGMENT_BYTES), "small request {small}");
        replay.ledger.set_stage(id, HolderStage::Busy, replay.now);
        small += 1;
    }
    assert_eq!(replay.evicted.len(), 1);
    assert!(crowd.contains(&replay.evicted[0]));
    assert!(small > 100, "{small} small requests fit beside the large ones");
}

/// Complete requests may run at servers and never yield. What is left of the limit is for small ones.
#[test]
fn complete_bodies_leave_room_for_small_requests() {
    let mut replay = Replay::start();
    let crowd = replay.fill_with_bodies(Replay::receive_whole);
    replay.wait(Duration::from_secs(60));
    for number in 0..100 {
        let id = replay.connect();
        assert!(replay.claim(id, SEGMENT_BYTES), "small request {number}");
        replay.ledger.set_stage(id, HolderStage::Busy, replay.now);
    }
    assert!(replay.evicted.is_empty());
    replay.ledger.close(crowd[0]);
    let id = replay.connect();
    assert!(!replay.receive_whole(id), "the reserve is for small requests");
}

/// A caller that doesn't read its answer yields once it is stalled.
#[test]
fn unread_answers_yield() {
    let mut replay = Replay::start();
    let crowd = replay.fill_with_bodies(Replay::receive_whole);
    for id in &crowd {
        replay.ledger.set_stage(*id, HolderStage::Unread, replay.now);
    }
    replay.wait(Duration::from_secs(1));
    let id = replay.connect();
    assert!(replay.receive_whole(id));
    assert_eq!(replay.evicted.len(), 1);
}

/// Of scarce connections those that bring no request are closed, the oldest first, and kept ones stay.
#[test]
fn silent_connections_are_closed_before_kept_ones() {
    let mut replay = Replay::start();
    let kept = replay.connect_kept();
    replay.wait(Duration::from_secs(5));
    let silent: Vec<_> = (0..10).map(|_| replay.connect()).collect();
    assert_eq!(replay.ledger.longest_unserved(replay.now), None, "they may just be opening");
    replay.wait(Duration::from_secs(1));
    for id in silent {
        assert_eq!(replay.ledger.longest_unserved(replay.now), Some(id));
        assert_eq!(replay.ledger.longest_stalled(replay.now), Some(id));
        replay.ledger.close(id);
    }
    assert_eq!(replay.ledger.longest_unserved(replay.now), None);
    assert_eq!(replay.ledger.longest_stalled(replay.now), Some(kept), "the last resort");
    let receiving = replay.connect();
    replay.receive(receiving, SEGMENT_BYTES);
    assert_eq!(
        replay.ledger.longest_stalled(replay.now),
        None,
        "another one may stall or end soon"
    );
    replay.wait(Duration::from_secs(1));
    assert_eq!(replay.ledger.longest_stalled(replay.now), Some(receiving));
}

#[test]
fn connections_take_half_of_the_limit_at_most() {
    let limits = MemoryLimits::of_machine(SMALL_INSTANCE);
    let connections = limits.max_connections() as u64 * CONNECTION_BYTES.get();
    assert!(connections <= limits.total.get() / 2);
    assert!(limits.total < SMALL_INSTANCE && limits.large < limits.total);
    assert!(limits.large.get() - connections >= BODY_BYTES, "a body fits beside all connections");
}

/// One step of a random history.
#[derive(Debug, TypeGenerator)]
enum Step {
    Open,
    Close(u8),
    Claim(u8, u32),
    Charge(u8, u16),
    Release(u8, u32),
    Stage(u8, u8),
    Served(u8),
    Wait(u16),
}

/// Guards the sum: it is what the holders hold, never exceeds the limit by claims, and ends at zero.
#[test]
fn sum_stays_within_the_limit_in_every_history() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let limits = MemoryLimits::of_machine(ByteCount::new(4 * 1024 * 1024));
        let mut ledger = MemoryLedger::new(limits);
        let (mut now, mut open, mut charged) = (Instant::now(), Vec::new(), 0);
        let pick = |open: &[HolderId], index: u8| open.get(usize::from(index)).copied();
        for step in steps {
            match step {
                Step::Open => open.push(ledger.open(now)),
                Step::Close(index) if usize::from(*index) < open.len() => {
                    ledger.close(open.remove(usize::from(*index)));
                }
                Step::Close(_) => {}
                Step::Claim(index, bytes) => {
                    let Some(id) = pick(&open, *index) else { continue };
                    let before = ledger.held();
                    let bytes = ByteCount::new(u64::from(*bytes));
                    match ledger.claim(id, bytes, now) {
                        Ok(evicted) => {
                            assert!(!evicted.contains(&id), "the claimant evicts itself");
                            assert!(ledger.held().get() <= limits.total.get().max(charged));
                        }
                        Err(_) => assert_eq!(ledger.held(), before),
                    }
                }
                Step::Charge(index, bytes) => {
                    let Some(id) = pick(&open, *index) else { continue };
                    ledger.charge(id, ByteCount::new(u64::from(*bytes)));
                    charged = charged.max(ledger.held().get());
                }
                Step::Release(index, bytes) => {
                    let Some(id) = pick(&open, *index) else { continue };
                    ledger.release(id, ByteCount::new(u64::from(*bytes)));
                }
                Step::Stage(index, stage) => {
                    let Some(id) = pick(&open, *index) else { continue };
                    let stages = [
                        HolderStage::Waiting,
                        HolderStage::Receiving,
                        HolderStage::Busy,
                        HolderStage::Unread,
                    ];
                    ledger.set_stage(id, stages[usize::from(*stage) % stages.len()], now);
                }
                Step::Served(index) => {
                    let Some(id) = pick(&open, *index) else { continue };
                    ledger.record_served(id);
                }
                Step::Wait(millis) => now += Duration::from_millis(u64::from(*millis)),
            }
            assert!(ledger.served_count() <= ledger.len());
        }
        open.into_iter().for_each(|id| ledger.close(id));
        assert_eq!((ledger.held(), ledger.served_count()), (ByteCount::default(), 0));
        assert!(ledger.is_empty());
    });
}

#[test]
fn small_requests_are_larger_than_their_connections() {
    assert!(CONNECTION_BYTES.get() + SEGMENT_BYTES <= SMALL_HOLDER_BYTES.get());
}
