//! Invariants that a recorded history must satisfy.
//!
//! Time bounds apply only to routers that were not disturbed; the rules on runs and keys apply to
//! all.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use super::history::{CallRecord, CallResult, RunRecord, SoakHistory, StreamRecord, Subject};
use super::options::FatalKind;
use super::scarce_checks::check_scarce;
use super::servers::FOREIGN_SERVICE;

/// Bounds written into the routers' settings.
pub(super) const REVOKE_WITHIN: Duration = Duration::from_secs(5);
pub(super) const APPLY_WITHIN: Duration = Duration::from_secs(2);
pub(super) const DRAIN_WITHIN: Duration = Duration::from_secs(2);
pub(super) const RETRY_RATIO: f64 = 0.1;
pub(super) const RETRY_SLACK: f64 = 16.0;
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Deadline that callers set on a request.
pub(super) const DEADLINE: Duration = Duration::from_secs(3);

/// Tolerance for scheduling delays on a busy machine.
const MACHINE_SLACK: Duration = Duration::from_millis(500);
/// A time bound is checked only if nothing was disturbed for this long beforehand.
pub(super) const UNDISTURBED_BEFORE: Duration = Duration::from_secs(4);
/// A router that fails to exit counts as stuck only if no other fault was active for this long
/// before it was killed: its grace period of 4 s, the wait for its exit, and the usual undisturbed
/// span.
const UNDISTURBED_BEFORE_KILL: Duration = Duration::from_secs(14);
/// After the third server has crashed under a request, routers have this long to learn of it; the
/// request may then reach servers at most `MAX_LATE_RUNS` more times.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_LATE_RUNS: usize = 3;
/// Number of servers that may crash under a request before its routers must know.
const MAX_CONTENT_CRASHES: usize = 3;
/// The same for requests that share a part.
const MAX_PART_CRASHES: usize = 5;
/// Fewer resumed streams show nothing about the share that goes on.
const MIN_RESUMED: usize = 12;
/// Every request must be served from this long after the last disturbance.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// A guarantee that routers give.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Promise {
    /// A caller receives the complete answer to its own request, or can tell that it did not.
    OwnWholeAnswer,
    /// A request reported as not run never runs.
    NotRunIsTrue,
    /// No request runs more often than its kind allows.
    RunsAtMost,
    /// Retries stay within the fleet's retry budget.
    RetryBudget,
    /// Revoked keys stop working within their bound.
    KeysEnd,
    /// A draining server receives no new request after its bound.
    DrainsKept,
    /// A new configuration takes effect within its bound.
    ConfigurationApplies,
    /// A router never returns to an older configuration.
    ConfigurationRises,
    /// A graceful shutdown truncates no answer.
    GracefulShutdown,
    /// Every request completes within its deadline.
    DeadlineKept,
    /// Every request is served again once the disturbances are over.
    Recovery,
    /// A request that crashes servers is kept away from the remaining ones.
    CrashesEnd,
    /// No stream holds events of two software versions.
    OneVersion,
    /// Most streams that callers resume go on.
    StreamsGoOn,
    /// Entries that other writers put into the server list receive no requests.
    ForeignUnused,
    /// Few requests reach a server of a small service whose slots and queue are full.
    SlotsKept,
    /// An organisation within its share isn't refused while another one is served beyond its share.
    FairShares,
}

/// A broken guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee that was broken.
    pub promise: Promise,
    /// Description of the observed fault.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.promise, self.seen)
    }
}

/// A history with its runs and calls indexed by request identifier.
struct CheckedHistory<'a> {
    history: &'a SoakHistory,
    runs: HashMap<&'a str, Vec<&'a RunRecord>>,
    calls: HashMap<&'a str, &'a CallRecord>,
}

/// Returns all violations found in a history.
pub fn check_history(history: &SoakHistory) -> Vec<Violation> {
    let mut runs: HashMap<_, Vec<_>> = HashMap::new();
    for run in &history.runs {
        runs.entry(run.id.as_str()).or_default().push(run);
    }
    let calls = history.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let checked = CheckedHistory { history, runs, calls };
    let mut violations = Vec::new();
    for call in &history.calls {
        violations.extend(checked.check_answer(call));
        violations.extend(checked.check_runs(call));
        violations.extend(checked.check_end(call));
        violations.extend(checked.check_recovery(call));
    }
    for run in &history.runs {
        violations.extend(check_foreign(run));
        if let Some(call) = checked.calls.get(run.id.as_str()) {
            violations.extend(checked.check_key(call, run));
            violations.extend(checked.check_drain(call, run));
            violations.extend(checked.check_service(call, run));
        }
    }
    violations.extend(checked.check_fatal_answers());
    violations.extend(checked.check_fatal_runs());
    violations.extend(checked.check_stuck());
    violations.extend(checked.check_budget());
    violations.extend(checked.check_rising());
    violations.extend(history.streams.iter().filter_map(check_versions));
    violations.extend(checked.check_resumed());
    violations.extend(check_scarce(history));
    violations
}

fn check_versions(stream: &StreamRecord) -> Option<Violation> {
    if stream.versions.len() <= 1 {
        return None;
    }
    let seen = format!("stream {} holds events of {:?}", stream.began_by, stream.versions);
    broken(Promise::OneVersion, seen)
}

fn broken(promise: Promise, seen: String) -> Option<Violation> {
    Some(Violation { promise, seen })
}

fn check_foreign(run: &RunRecord) -> Option<Violation> {
    if run.service != FOREIGN_SERVICE {
        return None;
    }
    broken(Promise::ForeignUnused, format!("{} reached a server of another's entry", run.id))
}

impl CheckedHistory<'_> {
    fn check_answer(&self, call: &CallRecord) -> Option<Violation> {
        match &call.result {
            CallResult::Wrong(seen) => {
                broken(Promise::OwnWholeAnswer, format!("request {} got {seen}", call.id))
            }
            CallResult::NotRun if self.runs.contains_key(call.id.as_str()) => {
                broken(Promise::NotRunIsTrue, format!("request {} ran all the same", call.id))
            }
            _ => None,
        }
    }

    fn check_runs(&self, call: &CallRecord) -> Option<Violation> {
        let runs = self.runs.get(call.id.as_str()).map_or(0, Vec::len);
        let most = call.kind.max_runs();
        if runs <= most {
            return None;
        }
        broken(Promise::RunsAtMost, format!("{:?} {} ran {runs} times", call.kind, call.id))
    }

    /// Checks that a request completed on time and that a graceful shutdown did not truncate its
    /// answer.
    fn check_end(&self, call: &CallRecord) -> Option<Violation> {
        let router = Subject::Router(call.router);
        let before = call.sent.saturating_sub(UNDISTURBED_BEFORE);
        let mut on_router = self.history.disturbances.iter().filter(|one| one.subject == router);
        let late = call.ended - call.sent > DEADLINE + MACHINE_SLACK;
        if late && self.history.is_calm(router, before, call.ended) {
            let elapsed = call.ended - call.sent;
            return broken(Promise::DeadlineKept, format!("request {} took {elapsed:?}", call.id));
        }
        let overlaps = |from: Duration, until: Duration| from <= call.ended && until >= before;
        let shutdown = on_router
            .find(|one| one.graceful && one.from >= call.sent && one.from <= call.ended)?;
        let alone = self
            .history
            .disturbances
            .iter()
            .all(|one| std::ptr::eq(one, shutdown) || !overlaps(one.from, one.until));
        if !alone || !matches!(call.result, CallResult::Nothing) || self.lost_its_server(call) {
            return None;
        }
        let seen = format!("request {} was cut off by the end of router {}", call.id, call.router);
        broken(Promise::GracefulShutdown, seen)
    }

    /// Returns whether a server crashed under a fatal request while it ran this one.
    fn lost_its_server(&self, call: &CallRecord) -> bool {
        let runs = self.runs.get(call.id.as_str()).into_iter().flatten();
        let mut crashes = runs.flat_map(|run| {
            let fatal_runs = self.history.fatal_runs.iter();
            fatal_runs.filter(|fatal_run| fatal_run.server == run.server && fatal_run.at >= run.at)
        });
        crashes.any(|fatal_run| fatal_run.at <= call.ended)
    }

    fn check_recovery(&self, call: &CallRecord) -> Option<Violation> {
        let newest = self.history.configurations.last()?;
        let after = call.sent > self.history.calm_from + RECOVERY_TIMEOUT;
        if !after || call.result == CallResult::Served || !newest.keys.contains(&call.key) {
            return None;
        }
        broken(Promise::Recovery, format!("request {} got {:?} in the calm", call.id, call.result))
    }

    fn check_key(&self, call: &CallRecord, run: &RunRecord) -> Option<Violation> {
        let good_until = self.key_ended(&call.key)?;
        if call.sent <= good_until + REVOKE_WITHIN {
            return None;
        }
        let seen = format!("{} ran {:?} after its key's end", run.id, call.sent - good_until);
        broken(Promise::KeysEnd, seen)
    }

    /// Returns the time when the operator revoked a key for good.
    fn key_ended(&self, key: &str) -> Option<Duration> {
        let holds = |keys: &[String]| keys.iter().any(|known| known == key);
        let mut ended = None;
        for configuration in &self.history.configurations {
            match holds(&configuration.keys) {
                true => ended = None,
                false => ended = ended.or(Some(configuration.at)),
            }
        }
        ended
    }

    fn knows_the_store(&self, router: usize, from: Duration, until: Duration) -> bool {
        let from = from.saturating_sub(UNDISTURBED_BEFORE);
        self.history.is_calm(Subject::Router(router), from, until)
            && self.history.is_calm(Subject::Store, from, until)
    }

    fn check_drain(&self, call: &CallRecord, run: &RunRecord) -> Option<Violation> {
        let drained = self.history.drains.iter().find(|(server, _)| *server == run.server);
        let (server, drained) = drained?;
        let bound = *drained + DRAIN_WITHIN + MACHINE_SLACK;
        let in_touch = self.knows_the_store(call.router, *drained, run.at)
            && self.history.is_calm(Subject::Servers, *drained, run.at);
        if run.at <= bound || !in_touch {
            return None;
        }
        let late = run.at - *drained;
        broken(Promise::DrainsKept, format!("{} ran at {server} {late:?} after its drain", run.id))
    }

    fn check_service(&self, call: &CallRecord, run: &RunRecord) -> Option<Violation> {
        if call.kind.is_stream() {
            return None;
        }
        let bound = APPLY_WITHIN + MACHINE_SLACK;
        let settled = call.sent.checked_sub(bound)?;
        let newer = self.history.configurations.iter().skip_while(|one| one.at <= settled);
        let at_settled = self.history.configurations.iter().take_while(|one| one.at <= settled);
        let mut allowed = at_settled.last().into_iter().chain(newer);
        let first = self.history.configurations.first()?.at;
        if settled < first || !self.knows_the_store(call.router, settled, call.ended) {
            return None;
        }
        if allowed.any(|one| one.service == run.service) {
            return None;
        }
        let seen =
            format!("{} ran at {}, which no configuration of late allows", run.id, run.service);
        broken(Promise::ConfigurationApplies, seen)
    }

    /// Checks that the runs of each router fit a sequence of rising configuration versions.
    fn check_rising(&self) -> Vec<Violation> {
        let mut plain: Vec<_> = self
            .history
            .runs
            .iter()
            .filter_map(|run| {
                let call = *self.calls.get(run.id.as_str())?;
                (!call.kind.is_stream()).then_some((call, run))
            })
            .collect();
        plain.sort_by_key(|(call, _)| call.sent);
        let mut reached: HashMap<(usize, usize), (usize, Duration)> = HashMap::new();
        let mut violations = Vec::new();
        for (call, run) in plain {
            let incarnation = self.incarnation(call);
            let (least, seen) =
                reached.get(&(call.router, incarnation)).copied().unwrap_or_default();
            // Requests sent before the newer version was observed may still have been in flight.
            if call.sent < seen + MACHINE_SLACK {
                continue;
            }
            let configurations = self.history.configurations.iter().enumerate().skip(least);
            let mut known = configurations.filter(|(_, one)| one.at <= run.at);
            match known.find(|(_, one)| one.service == run.service) {
                Some((version, _)) if version > least => {
                    reached.insert((call.router, incarnation), (version, run.at));
                }
                Some(_) => {}
                None => {
                    let seen = format!("{} ran at {} after a newer one", run.id, run.service);
                    violations.extend(broken(Promise::ConfigurationRises, seen));
                }
            }
        }
        violations
    }

    /// Returns the number of restarts of the call's router before the call, which identifies the
    /// incarnation that served it.
    fn incarnation(&self, call: &CallRecord) -> usize {
        let starts = self.history.starts.iter();
        starts.filter(|(router, at)| *router == call.router && *at <= call.sent).count()
    }

    /// Returns a violation for each call of a fatal request that was reported as not run but did
    /// run.
    fn check_fatal_answers(&self) -> Vec<Violation> {
        let not_run =
            self.history.fatal_calls.iter().filter(|call| call.result == CallResult::NotRun);
        let ran = |id: &str| self.history.fatal_runs.iter().any(|run| run.id == id);
        let false_ones = not_run.filter(|call| ran(&call.id)).filter_map(|call| {
            broken(Promise::NotRunIsTrue, format!("request {} ran all the same", call.id))
        });
        false_ones.collect()
    }

    /// Checks how often fatal requests ran after enough servers had crashed, at routers that could
    /// know of the crashes.
    fn check_fatal_runs(&self) -> Option<Violation> {
        let enough = match self.history.fatal {
            FatalKind::Part => MAX_PART_CRASHES,
            FatalKind::Content | FatalKind::Absent => MAX_CONTENT_CRASHES,
        };
        let last = self.history.fatal_runs.get(enough - 1)?.at;
        let known = last + CRASH_REPORT_TIMEOUT + MACHINE_SLACK;
        let late = self.history.fatal_runs.iter().filter(|run| {
            let call = self.history.fatal_calls.iter().find(|call| call.id == run.id);
            run.at > known
                && call.is_some_and(|call| {
                    let from = call.sent.saturating_sub(UNDISTURBED_BEFORE);
                    self.history.is_calm(Subject::Router(call.router), from, run.at)
                })
        });
        let late = late.count();
        if late <= MAX_LATE_RUNS {
            return None;
        }
        broken(Promise::CrashesEnd, format!("{late} runs after {enough} servers had ended"))
    }

    /// Checks for routers that did not exit within their grace period although no other fault
    /// delayed them.
    fn check_stuck(&self) -> Vec<Violation> {
        let stuck = self.history.stuck_ends.iter().filter(|(router, at)| {
            let from = at.saturating_sub(UNDISTURBED_BEFORE_KILL);
            let subject = Subject::Router(*router);
            let others = self.history.disturbances.iter().filter(|one| !one.graceful);
            let mut others = others.filter(|one| one.subject == subject);
            !others.any(|one| one.from <= *at && one.until >= from)
        });
        let violations = stuck.filter_map(|(router, _)| {
            broken(Promise::GracefulShutdown, format!("router {router} did not end"))
        });
        violations.collect()
    }

    /// Checks that at least half of the streams go on that are resumed at calm routers while two
    /// servers of their version are listed.
    fn check_resumed(&self) -> Option<Violation> {
        let may_go_on = |stream: &&StreamRecord| {
            let CallRecord { router, sent, ended, .. } = stream.resumed;
            let listed = self.history.listings.iter().filter(|listing| {
                stream.versions.contains(&listing.version)
                    && listing.from <= sent
                    && listing.until.is_none_or(|until| until >= ended)
            });
            let before = sent.saturating_sub(UNDISTURBED_BEFORE);
            listed.count() >= 2
                && self.knows_the_store(router, sent, ended)
                && self.history.is_calm(Subject::Servers, before, ended)
        };
        let resumed: Vec<_> = self.history.streams.iter().filter(may_go_on).collect();
        let went_on = |stream: &&&StreamRecord| stream.resumed.result == CallResult::Served;
        let went_on = resumed.iter().filter(went_on).count();
        if resumed.len() < MIN_RESUMED || went_on * 2 >= resumed.len() {
            return None;
        }
        let seen = format!("{went_on} of {} resumed streams went on", resumed.len());
        broken(Promise::StreamsGoOn, seen)
    }

    fn check_budget(&self) -> Option<Violation> {
        let mut repeats = Vec::new();
        for runs in self.runs.values() {
            let mut times: Vec<_> = runs.iter().map(|run| run.at).collect();
            times.sort();
            repeats.extend(times.into_iter().skip(1));
        }
        repeats.sort();
        for (index, begun) in repeats.iter().enumerate() {
            let until = *begun + RETRY_WINDOW;
            let count = repeats[index..].iter().take_while(|at| **at < until).count();
            // The budget may count the requests of this window or of the one that began half a
            // window earlier.
            let early = begun.saturating_sub(RETRY_WINDOW / 2);
            let sent = |from: Duration| {
                let inside = |call: &&CallRecord| (from..from + RETRY_WINDOW).contains(&call.sent);
                self.history.calls.iter().filter(inside).count()
            };
            let requests = sent(*begun).max(sent(early)) as f64;
            if count as f64 > requests * RETRY_RATIO + RETRY_SLACK {
                let seen = format!("{count} repeats for {requests} requests from {begun:?}");
                return broken(Promise::RetryBudget, seen);
            }
        }
        None
    }
}
