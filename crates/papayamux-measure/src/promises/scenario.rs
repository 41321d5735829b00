//! The scenarios: no fault, each fault alone, and each pair.

use std::fmt;

use super::fault_kind::FaultKind;

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
