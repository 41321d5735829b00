//! Scenarios of the routing measurement.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// The delay and completeness of the engines' load reports and cache events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineReports {
    /// The age of the state in load reports.
    pub load_lag: Duration,
    /// The time until a cache event is visible.
    pub event_lateness: Duration,
    /// The share of cache events that are lost.
    pub event_gap_share: f64,
}

const USUAL_REPORTS: EngineReports = EngineReports {
    load_lag: Duration::from_millis(50),
    event_lateness: Duration::from_millis(50),
    event_gap_share: 0.0,
};
const LATE_REPORTS: EngineReports = EngineReports {
    load_lag: Duration::from_millis(500),
    event_lateness: Duration::from_millis(1_500),
    event_gap_share: 0.05,
};

/// A scenario of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// No faults and a steady load.
    Steady,
    /// A quarter of all chats have the same opening and no conversation id, so that they share one
    /// key.
    Hot,
    /// One organisation sends eight times its usual turns for a third of the run.
    Surge,
    /// A tenth of the engines is replaced, one at a time.
    Churn10,
    /// Three tenths of the engines are replaced, one at a time.
    Churn30,
    /// One engine's agent is paused and resumed repeatedly.
    Flap,
    /// Each router's list lacks two engines, different ones for each router.
    ListsDiffer,
    /// Cache events are late and incomplete, and load reports lag.
    LateEvents,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 8] = [
        Scenario::Steady,
        Scenario::Hot,
        Scenario::Surge,
        Scenario::Churn10,
        Scenario::Churn30,
        Scenario::Flap,
        Scenario::ListsDiffer,
        Scenario::LateEvents,
    ];

    /// Returns the scenario's name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::Hot => "hot",
            Scenario::Surge => "surge",
            Scenario::Churn10 => "churn10",
            Scenario::Churn30 => "churn30",
            Scenario::Flap => "flap",
            Scenario::ListsDiffer => "lists-differ",
            Scenario::LateEvents => "late-events",
        }
    }

    /// Returns the delay and completeness of the engines' reports.
    pub fn engine_reports(self) -> EngineReports {
        match self {
            Scenario::LateEvents => LATE_REPORTS,
            _ => USUAL_REPORTS,
        }
    }

    /// Returns the number of engines, out of `engines`, that are replaced during the run.
    pub fn replaced(self, engines: usize) -> usize {
        match self {
            Scenario::Churn10 => engines.div_ceil(10),
            Scenario::Churn30 => (engines * 3).div_ceil(10),
            _ => 0,
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = || Scenario::ALL.map(Scenario::name).join(", ");
        Scenario::ALL
            .into_iter()
            .find(|scenario| scenario.name() == text)
            .ok_or_else(|| format!("unknown scenario {text:?}, known: {}", known()))
    }
}
