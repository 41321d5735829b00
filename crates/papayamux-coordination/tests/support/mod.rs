//! Requests for the tests of admission.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use papayamux_protocol::link::{AgentClock, OpenRequest, PlacementRule, RetryRule};
use papayamux_state::ids::{Incarnation, RequestId};
use papayamux_state::load::{GroupId, GroupLoad};

pub type TestResult = Result<(), Box<dyn Error>>;

/// Incarnation of the agent that the requests are for.
pub const AGENT: u64 = 7;

/// Returns a mean over a group of four servers.
pub fn mean_load(mean: f64) -> GroupLoad {
    GroupLoad { group: GroupId(1), mean, samples: 4.0, servers: 4 }
}

/// Returns request number `number` of an organisation.
pub fn request(number: u64, organisation: &str) -> Result<OpenRequest, Box<dyn Error>> {
    let incarnation = Incarnation::from(1);
    Ok(OpenRequest {
        id: RequestId { incarnation, number },
        agent: Incarnation::from(AGENT),
        organisation: organisation.parse()?,
        priority: 2,
        start_before: AgentClock(1_000_000),
        retry_rule: RetryRule::Idempotent,
        claim: None,
        chat: None,
        method: "POST".to_string(),
        path: "/".to_string(),
        headers: Vec::new(),
        body: Bytes::new(),
        placement: PlacementRule {
            wait_budget: Duration::MAX,
            share: 1,
            ..PlacementRule::default()
        },
        sent_after: papayamux_state::crash_record::CrashRecord::default(),
    })
}
