//! The faults that a soak injects and their schedule.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// Kills a router and restarts it when the fault ends.
    KillRouter,
    /// Pauses a router's process.
    PauseRouter,
    /// Shuts a router down gracefully and restarts it.
    EndRouter,
    /// Makes a router reload its settings.
    ReloadRouter,
    /// Silences a router's open connections to the store; new connections work.
    SilenceStoreLink,
    /// Blocks everything that the store sends to a router.
    MuteStoreLink,
    /// Refuses a router's connections to the store.
    RefuseStoreLink,
    /// Makes the store answer nobody.
    SilenceStore,
    /// Makes the store refuse all clients.
    RefuseStore,
    /// Makes the store drop its history by compaction.
    CompactStore,
    /// Delays all traffic to and from a server.
    DelayServerLink,
    /// Resets a server's connections.
    CutServerLink,
    /// Holds back everything sent to a server and delivers it late.
    HoldServerLink,
    /// Drops a server's answers.
    MuteServerLink,
    /// Drains a server, removes it and adds a replacement.
    DrainServer,
    /// Routes plain requests to the other service.
    ChangeConfiguration,
    /// Replaces the older key.
    ReplaceKey,
    /// Restarts a server under the same name.
    RestartServer,
    /// Writes entries that describe no valid server, one of them over a server's own entry.
    WriteEntries,
    /// Restores the store from a copy taken when the fault begins, and has everything written again that the copy
    /// lacks.
    RestoreStore,
}

impl FaultKind {
    /// The kinds that every soak samples from. [`FaultKind::OF_ENTRIES`] and [`FaultKind::OF_RESTORES`] are kept
    /// apart so that seeds from before those kinds existed still give the same faults.
    pub const ALL: [FaultKind; 17] = [
        FaultKind::KillRouter,
        FaultKind::PauseRouter,
        FaultKind::EndRouter,
        FaultKind::ReloadRouter,
        FaultKind::SilenceStoreLink,
        FaultKind::MuteStoreLink,
        FaultKind::RefuseStoreLink,
        FaultKind::SilenceStore,
        FaultKind::RefuseStore,
        FaultKind::CompactStore,
        FaultKind::DelayServerLink,
        FaultKind::CutServerLink,
        FaultKind::HoldServerLink,
        FaultKind::MuteServerLink,
        FaultKind::DrainServer,
        FaultKind::ChangeConfiguration,
        FaultKind::ReplaceKey,
    ];

    /// Faults of server entries, scheduled in addition to the others on request.
    pub const OF_ENTRIES: [FaultKind; 2] = [FaultKind::RestartServer, FaultKind::WriteEntries];

    /// A store that comes back from a copy, and servers that leave about that time; scheduled in addition to the
    /// others on request.
    pub const OF_RESTORES: [FaultKind; 2] = [FaultKind::RestoreStore, FaultKind::DrainServer];

    /// Rollouts, and routers whose streams callers then resume elsewhere; scheduled in addition to the others on
    /// request.
    pub const OF_ROLLOUTS: [FaultKind; 2] = [FaultKind::DrainServer, FaultKind::KillRouter];

    /// Outages of the store for all routers beside others for some, and servers that leave about their ends;
    /// scheduled in addition to the others on request.
    pub const OF_OUTAGES: [FaultKind; 5] = [
        FaultKind::RefuseStore,
        FaultKind::RefuseStoreLink,
        FaultKind::MuteStoreLink,
        FaultKind::CompactStore,
        FaultKind::DrainServer,
    ];

    /// Returns whether the fault is planned work by the operator, which has no duration.
    pub fn is_order(self) -> bool {
        matches!(
            self,
            FaultKind::ReloadRouter
                | FaultKind::DrainServer
                | FaultKind::ChangeConfiguration
                | FaultKind::ReplaceKey
        )
    }
}

/// A scheduled fault and its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Start time, relative to the start of fault injection.
    pub at: Duration,
    /// Duration; zero for planned work.
    pub length: Duration,
    /// Index of the router or server, modulo their number.
    pub target: usize,
}

/// Start of the first fault; callers have connected by then.
const FIRST_FAULT: Duration = Duration::from_secs(1);
/// Duration of a fault, in milliseconds: from less than a connection timeout to more than the bound
/// on revoked keys.
const FAULT_MILLIS: std::ops::Range<u64> = 100..7_000;
/// Pause between the starts of two faults, in milliseconds. Most faults overlap and some stand
/// alone.
const PAUSE_MILLIS: std::ops::Range<u64> = 100..2_500;
/// Probability that a fault repeats the kind and target of the previous one.
const SERIES_CHANCE: f64 = 0.25;

/// Returns the faults of a soak for its seed.
pub fn draw_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    draw_series(seed, length, &FaultKind::ALL)
}

/// Separates the random sequence of entry faults from that of the other faults.
const ENTRY_SERIES: u64 = 0x656e_7472_6965_7300;

/// Separates the random sequence of restores from that of the other faults.
const RESTORE_SERIES: u64 = 0x7265_7374_6f72_6573;

/// Returns the faults of [`draw_faults`] together with faults of server entries, ordered by start
/// time.
pub fn draw_with_entries(seed: u64, length: Duration) -> Vec<PlannedFault> {
    merge(draw_faults(seed, length), seed ^ ENTRY_SERIES, length, &FaultKind::OF_ENTRIES)
}

/// Adds restores of the store from copies, and servers that leave about that time, to the faults of a seed.
pub fn add_restores(faults: Vec<PlannedFault>, seed: u64, length: Duration) -> Vec<PlannedFault> {
    merge(faults, seed ^ RESTORE_SERIES, length, &FaultKind::OF_RESTORES)
}

/// Separates the random sequence of rollouts from that of the other faults.
const ROLLOUT_SERIES: u64 = 0x726f_6c6c_6f75_7473;

/// Adds rollouts, and routers that are killed about that time, to the faults of a seed.
pub fn add_rollouts(faults: Vec<PlannedFault>, seed: u64, length: Duration) -> Vec<PlannedFault> {
    merge(faults, seed ^ ROLLOUT_SERIES, length, &FaultKind::OF_ROLLOUTS)
}

/// Separates the random sequence of outages from that of the other faults.
const OUTAGE_SERIES: u64 = 0x6f75_7461_6765_7300;

/// Adds outages of the store for all and for some routers, and servers that leave about that time, to the
/// faults of a seed.
pub fn add_outages(faults: Vec<PlannedFault>, seed: u64, length: Duration) -> Vec<PlannedFault> {
    merge(faults, seed ^ OUTAGE_SERIES, length, &FaultKind::OF_OUTAGES)
}

fn merge(
    mut faults: Vec<PlannedFault>,
    seed: u64,
    length: Duration,
    kinds: &[FaultKind],
) -> Vec<PlannedFault> {
    faults.extend(draw_series(seed, length, kinds));
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_series(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults: Vec<PlannedFault> = Vec::new();
    let mut at = FIRST_FAULT;
    while at < length {
        let drawn = kinds[random.random_range(0..kinds.len())];
        let again = faults.last().filter(|_| random.random_bool(SERIES_CHANCE)).copied();
        let kind = again.map_or(drawn, |last| last.kind);
        let lasts = Duration::from_millis(random.random_range(FAULT_MILLIS));
        let target = random.random_range(0..1_000);
        faults.push(PlannedFault {
            kind,
            at,
            length: if kind.is_order() { Duration::ZERO } else { lasts },
            target: again.map_or(target, |last| last.target),
        });
        at += Duration::from_millis(random.random_range(PAUSE_MILLIS));
    }
    faults
}
