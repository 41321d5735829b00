//! What routers take of the machine.

use std::time::Duration;

use papayamux_state::quantities::ByteCount;
use papayamux_testbed::ProcessUsage;

/// Memory and processor time of routers in one play.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterFootprint {
    /// The program and its libraries, which processes of one instance share, at the start; the most
    /// of all routers.
    pub program: ByteCount,
    /// Other memory at the start, the most of all routers.
    pub rest: ByteCount,
    /// The most resident memory of a router.
    pub peak: ByteCount,
    /// Processor time of all routers for each request.
    pub cpu_a_request: Duration,
}

impl RouterFootprint {
    /// What routers took between two readings, for so many requests.
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
