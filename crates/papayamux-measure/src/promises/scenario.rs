//! The scenarios: no fault, each fault alone, and each pair.

use std::fmt;

use thiserror::Error;

use super::fault_kind::FaultKind;

/// The error of looking up an unknown scenario.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown scenario {name:?}; known scenarios: {known}")]
pub struct UnknownScenario {
    /// The unknown name.
    pub name: String,
    /// All known names, separated by commas.
    pub known: String,
}

fn list(scenarios: &[FaultScenario]) -> String {
    scenarios.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

/// Faults injected in the same run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultScenario {
    /// Kinds of fault, without duplicates.
    pub faults: Vec<FaultKind>,
}

impl FaultScenario {
    /// Returns every scenario: no fault, each fault alone, and each pair.
    pub fn all() -> Vec<Self> {
        let mut scenarios = vec![Self { faults: Vec::new() }];
        scenarios.extend(FaultKind::ALL.map(|kind| Self { faults: vec![kind] }));
        for (place, first) in FaultKind::ALL.into_iter().enumerate() {
            let later = &FaultKind::ALL[place + 1..];
            scenarios.extend(later.iter().map(|second| Self { faults: vec![first, *second] }));
        }
        scenarios
    }

    /// Returns the scenarios with the given names, or all if no name is given.
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

    /// Returns whether the routers have different server lists.
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
