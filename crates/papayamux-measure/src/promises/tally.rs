//! Counts of one scenario.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;

use super::actual_runs::ActualRuns;
use super::fault_stage::FaultRecord;
use super::request_record::{LearnedOutcome, RequestRecord, RequestWork};

/// A request that broke within this time after the end of a shutdown may have been cut off by it.
const AFTER_SHUTDOWN: Duration = Duration::from_millis(500);
/// A request that broke within this time after another fault may have been broken by it.
const AFTER_FAULT: Duration = Duration::from_secs(10);

/// One line of the report.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PromiseTally {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the workload and the faults.
    pub seed: u64,
    /// Requests sent, including retries.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests never sent because no router accepted the connection.
    pub unsent: u64,
    /// Of the answered, those that their callers resumed at another router.
    pub resumed: u64,
    /// Requests with an unknown outcome: reported as unknown, or the answer broke off.
    pub unknown: u64,
    /// Of the unknown, attempts that were refused for their key and not run: the outcome of an
    /// earlier attempt is unknown.
    pub key_unknown: u64,
    /// Of the unknown, chats.
    pub unknown_chats: u64,
    /// Of the unknown, those whose connection to the router broke off.
    pub broken: u64,
    /// Of the unknown, those that got no answer before the caller timed out.
    pub timed_out: u64,
    /// Requests reported as run and failed.
    pub failed: u64,
    /// Of the failed, requests that no server had started: retries whose key's first run failed,
    /// and others, for which the report would be wrong.
    pub failed_but_never_ran: u64,
    /// Answers that contain bytes of another. Breaks a guarantee.
    pub mixed: u64,
    /// Answers that ended normally but lack bytes. Breaks a guarantee.
    pub short: u64,
    /// Number of duplicated bytes.
    pub doubled_bytes: u64,
    /// Bookings that the service ran twice. Breaks a guarantee.
    pub ran_twice: u64,
    /// Requests reported as not run that a server ran. Breaks a guarantee.
    pub told_not_run_but_ran: u64,
    /// Requests that a graceful shutdown cut off. Breaks a guarantee.
    pub cut_by_shutdown: u64,
    /// Requests that agents still waited for when everything else had finished.
    pub stuck: u64,
    /// Graceful shutdowns that did not exit successfully.
    pub unclean_exits: u64,
    /// Longest time from an agent's shutdown notice to new work at its server.
    pub last_new_work_ms: Option<u64>,
    /// Number of faults that began while requests were in flight, plus keys sent through two
    /// routers.
    pub interleavings: u64,
    /// Duration of the scenario in seconds.
    pub seconds: f64,
    /// Descriptions of the requests that broke a guarantee, for human readers.
    #[serde(skip)]
    pub suspects: Vec<String>,
}

impl PromiseTally {
    /// Compares all records with the actual runs and counts the results.
    pub fn count(
        records: &[RequestRecord],
        faults: &[FaultRecord],
        actual_runs: &ActualRuns,
    ) -> Self {
        let mut tally =
            Self { requests: records.len() as u64, stuck: actual_runs.stuck, ..Self::default() };
        for record in records {
            tally.add_outcome(record);
            tally.add_flaws(record);
            let runs = actual_runs.by_tag.get(&record.tag).copied().unwrap_or_default();
            let claims_not_run =
                matches!(record.learned, LearnedOutcome::NotRun | LearnedOutcome::Unsent);
            tally.told_not_run_but_ran += u64::from(claims_not_run && runs > 0);
            let claims_run = record.learned == LearnedOutcome::Failed;
            tally.failed_but_never_ran += u64::from(claims_run && runs == 0);
            let is_twice = record.work == RequestWork::Booking && runs > 1;
            tally.ran_twice += u64::from(is_twice && record.key.is_none());
            let is_refused = runs == 0 && record.is_refused_for_key();
            let is_cut = !is_refused && was_cut_off(record, faults);
            let is_unknown = record.learned == LearnedOutcome::Unknown;
            tally.key_unknown += u64::from(is_refused && is_unknown);
            tally.cut_by_shutdown += u64::from(is_cut);
            if is_cut || is_twice || (claims_not_run && runs > 0) || record.flaws.break_promise() {
                tally.suspects.push(format!("runs {runs}: {record:?}"));
            }
        }
        let twice = actual_runs.by_key.iter().filter(|(_, runs)| **runs > 1);
        tally.suspects.extend(twice.map(|(key, runs)| format!("runs {runs}: key {key}")));
        tally.ran_twice += actual_runs.by_key.values().filter(|runs| **runs > 1).count() as u64;
        let met = faults.iter().filter(|fault| fault.met_requests).count();
        tally.interleavings = (met + keys_of_two_routers(records)) as u64;
        tally
    }

    /// Returns the number of broken guarantees.
    pub fn broken_promises(&self) -> u64 {
        self.mixed + self.short + self.ran_twice + self.told_not_run_but_ran + self.cut_by_shutdown
    }

    /// Adds another scenario's counts.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unsent += other.unsent;
        self.resumed += other.resumed;
        self.unknown += other.unknown;
        self.key_unknown += other.key_unknown;
        self.unknown_chats += other.unknown_chats;
        self.broken += other.broken;
        self.timed_out += other.timed_out;
        self.failed += other.failed;
        self.failed_but_never_ran += other.failed_but_never_ran;
        self.mixed += other.mixed;
        self.short += other.short;
        self.doubled_bytes += other.doubled_bytes;
        self.ran_twice += other.ran_twice;
        self.told_not_run_but_ran += other.told_not_run_but_ran;
        self.cut_by_shutdown += other.cut_by_shutdown;
        self.stuck += other.stuck;
        self.unclean_exits += other.unclean_exits;
        self.last_new_work_ms = self.last_new_work_ms.max(other.last_new_work_ms);
        self.interleavings += other.interleavings;
        self.seconds += other.seconds;
    }

    fn add_outcome(&mut self, record: &RequestRecord) {
        match record.learned {
            LearnedOutcome::Answered => {
                self.answered += 1;
                self.resumed += u64::from(record.resumes > 0);
            }
            LearnedOutcome::NotRun => self.not_run += 1,
            LearnedOutcome::Unsent => self.unsent += 1,
            LearnedOutcome::Failed => self.failed += 1,
            LearnedOutcome::Unknown => {
                self.unknown += 1;
                self.unknown_chats += u64::from(record.work == RequestWork::Chat);
                self.broken += u64::from(record.broke);
                self.timed_out += u64::from(record.timed_out);
            }
        }
    }

    fn add_flaws(&mut self, record: &RequestRecord) {
        self.mixed += u64::from(record.flaws.mixed);
        self.short += u64::from(record.flaws.short);
        self.doubled_bytes += record.flaws.doubled_bytes;
    }
}

fn keys_of_two_routers(records: &[RequestRecord]) -> usize {
    let mut seen = BTreeSet::new();
    let pairs = records.iter().filter_map(|record| Some((record.key.as_deref()?, record.router)));
    seen.extend(pairs);
    let keys: BTreeSet<_> = seen.iter().map(|(key, _)| key).collect();
    seen.len() - keys.len()
}

/// Returns whether a graceful shutdown cut a request off: the process that exited had it in flight,
/// it broke before the shutdown was over, and no other fault that may explain the break affected
/// it.
fn was_cut_off(record: &RequestRecord, faults: &[FaultRecord]) -> bool {
    let is_open = record.learned == LearnedOutcome::Unknown;
    let mut met = faults.iter().filter(|fault| concerns(fault, record)).peekable();
    is_open && met.peek().is_some() && met.all(|fault| fault.kind.is_graceful())
}

/// Returns whether a fault affected the request's router or server and the request ended while the
/// fault could still have an effect.
fn concerns(fault: &FaultRecord, record: &RequestRecord) -> bool {
    let effect = if fault.kind.is_graceful() { AFTER_SHUTDOWN } else { AFTER_FAULT };
    let in_time = record.ended >= fault.from && record.ended <= fault.to + effect;
    let at_router = fault.router.is_none_or(|router| router == record.router);
    let at_server = match (&fault.server, &record.server) {
        (Some(fault), Some(record)) => fault == record,
        _ => true,
    };
    in_time && at_router && at_server
}
