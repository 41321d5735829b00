//! Which requests may be retried, and which outcomes are reported to callers.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use papayamux_coordination::attempt_plan::{AttemptHistory, AttemptLoss, NextStep};
use papayamux_state::service_config::RequestKind;

const LOSSES: [AttemptLoss; 3] =
    [AttemptLoss::NotSent, AttemptLoss::Rejected, AttemptLoss::Unknown];
const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::Once,
    RequestKind::Stream { resumable: true },
    RequestKind::Stream { resumable: false },
];

/// Follows every order of losses to its end.
fn follow(kind: RequestKind, max_runs: u32, history: AttemptHistory, runs: u32, depth: u32) {
    assert!(depth < 10, "attempts are bounded");
    for loss in LOSSES {
        let mut history = history;
        let runs = runs + u32::from(loss == AttemptLoss::Unknown);
        match history.after_loss(kind, max_runs, loss) {
            NextStep::Again { counts } => {
                assert_eq!(counts, loss != AttemptLoss::NotSent);
                assert!(runs < max_runs.max(1) || runs == 0, "{kind:?}: {runs} of {max_runs}");
                assert!(
                    runs == 0 || kind.may_retry(),
                    "{kind:?} may have run and would be retried"
                );
                follow(kind, max_runs, history, runs, depth + 1);
            }
            NextStep::TellNotRun => assert_eq!(runs, 0, "{kind:?} may have run"),
            NextStep::TellUnknown => assert!(runs > 0),
        }
    }
}

#[test]
fn every_order_of_losses_upholds_the_guarantees() {
    for kind in KINDS {
        for max_runs in 0..4 {
            follow(kind, max_runs, AttemptHistory::default(), 0, 0);
        }
    }
}

#[test]
fn silent_server_is_abandoned_only_if_another_run_is_allowed() {
    let history = AttemptHistory::default();
    assert!(history.may_fail_over(RequestKind::Idempotent, 2));
    assert!(!history.may_fail_over(RequestKind::Idempotent, 1));
    assert!(!history.may_fail_over(RequestKind::Once, 3));
    let mut second = history;
    second.after_loss(RequestKind::Idempotent, 2, AttemptLoss::Unknown);
    assert!(!second.may_fail_over(RequestKind::Idempotent, 2));
}
