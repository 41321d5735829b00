//! The scenarios: no fault, each fault alone, and each pair.

use std::fmt;

use thiserror::Error;

use super::fault_kind::FaultKind;

/// No scenario has this name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no scenario {name:?}; known: {known}")]
pub struct UnknownScenario {
    /// The name.
    pub name: String,
    /// All names.
    pub known: String,
}

fn list(scenarios: &[FaultScenario]) -> String {
    scenarios.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

/// Faults that happen in the same run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultScenario {
    /// The kinds, none twice.
    pub faults: Vec<FaultKind>,
}

impl FaultScenario {
    /// Every scenario: none, alone, pairs.
    pub fn all() -> Vec<Self> {
        let mut scenarios = vec![Self { faults: Vec::new() }];
        scenarios.extend(FaultKind::ALL.map(|kind| Self { faults: vec![kind] }));
        for (place, first) in FaultKind::ALL.into_iter().enumerate() {
            let later = &FaultKind::ALL[place + 1..];
            scenarios.extend(later.iter().map(|second| Self { faults: vec![first, *second] }));
        }
        scenarios
    }

    /// The scenarios with the given names, or all where no name is given.
    pub fn named(names: &[String]) -> Result<Vec<Self>, UnknownScenario> {
        let all = Self::all();
        if names.is_empty() {
            return Ok(all);
        }
        let find = |name: &String| {
            let found = all.iter().find(|scenario| scenario.to_string() == *name);
            found.cloned().ok_or_else(|| UnknownScenario { name: name.clone(), known: list(&all) })
        };
        names.iter().map(find).collect()
    }

    /// Whether the routers know different servers.
    pub fn lists_differ(&self) -> bool {
        self.faults.contains(&FaultKind::ListsDiffer)
    }
}

impl fmt::Display for FaultScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.faults.is_empty() {
            return formatter.write_str("no_fault");
        }
        let names: Vec<_> = self.faults.iter().map(FaultKind::to_string).collect();
        formatter.write_str(&names.join("+"))
    }
}
