//! Cost of a request on a server.

use std::time::Duration;

use papayamux_coordination::route_cost::{route_cost, PromptCheckpoints};
use papayamux_protocol::link::ProbeReply;
use papayamux_state::load::LoadReport;
use papayamux_state::quantities::{RequestCount, TokenCount};

fn reply(warm: u32, backlog_ms: u64) -> ProbeReply {
    let load = LoadReport {
        limit: RequestCount::new(8),
        backlog: Duration::from_millis(backlog_ms),
        ..LoadReport::default()
    };
    ProbeReply { load, warm, prefill_rate: TokenCount::new(16_000), elsewhere: None }
}

fn checkpoints(blocks: u64) -> PromptCheckpoints {
    let hashes: Vec<u64> = (1..=blocks).collect();
    PromptCheckpoints::new(&hashes, TokenCount::new(blocks * 16))
}

#[test]
fn checkpoints_cover_a_prompt_of_any_length_to_its_end() {
    for blocks in 0..300 {
        let checkpoints = checkpoints(blocks);
        let count = checkpoints.hashes().len() as u32;
        assert_eq!(checkpoints.cold_tokens(count), TokenCount::new(0), "{blocks}");
        assert_eq!(checkpoints.cold_tokens(0), TokenCount::new(blocks * 16));
        let left: Vec<_> = (0..=count).map(|warm| checkpoints.cold_tokens(warm)).collect();
        assert!(left.windows(2).all(|pair| pair[0] > pair[1]), "{left:?}");
    }
}

#[test]
fn a_short_wait_where_the_prompt_is_warm_beats_computing_it_elsewhere() {
    let prompt = checkpoints(100);
    let all_checkpoints = prompt.hashes().len() as u32;
    let idle = route_cost(&reply(0, 0), &prompt);
    assert!(route_cost(&reply(all_checkpoints, 50), &prompt) < idle);
    assert!(route_cost(&reply(all_checkpoints, 5_000), &prompt) > idle);
}

#[test]
fn server_that_accepts_no_requests_is_no_candidate() {
    let mut draining = reply(1, 0);
    draining.load.limit = RequestCount::new(0);
    assert_eq!(route_cost(&draining, &checkpoints(10)), None);
}
