//! Memory and processor use of routers.

use std::time::Duration;

use papayamux_state::quantities::ByteCount;
use papayamux_testbed::ProcessUsage;

/// Memory and processor time of the routers in one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterFootprint {
    /// Memory of the program and its libraries at the start, which processes on one instance share;
    /// the maximum over all routers.
    pub program: ByteCount,
    /// Other memory at the start; the maximum over all routers.
    pub rest: ByteCount,
    /// Peak resident memory; the maximum over all routers.
    pub peak: ByteCount,
    /// Processor time of all routers per request.
    pub cpu_a_request: Duration,
}

impl RouterFootprint {
    /// Returns the footprint between two readings in which `requests` requests were sent.
    pub fn between(before: &[ProcessUsage], after: &[ProcessUsage], requests: usize) -> Self {
        let most = |bytes: fn(&ProcessUsage) -> u64, usages: &[ProcessUsage]| {
            ByteCount::new(usages.iter().map(bytes).max().unwrap_or_default())
        };
        let spent =
            |usages: &[ProcessUsage]| usages.iter().map(|usage| usage.cpu).sum::<Duration>();
        let requests = u32::try_from(requests).unwrap_or(u32::MAX).max(1);
        Self {
            program: most(|usage| usage.mapped.get(), before),
            rest: most(|usage| usage.resident.get().saturating_sub(usage.mapped.get()), before),
            peak: most(|usage| usage.peak.get(), after),
            cpu_a_request: spent(after).saturating_sub(spent(before)) / requests,
        }
    }
}
