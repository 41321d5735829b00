//! What may be sent again, and what a caller may be told.
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
fn follow(kind: RequestKind, attempts: u32, history: AttemptHistory, runs: u32, depth: u32) {
    assert!(depth < 10, "attempts are bounded");
    for loss in LOSSES {
        let mut history = history;
        let runs = runs + u32::from(loss == AttemptLoss::Unknown);
        match history.after_loss(kind, attempts, loss) {
            NextStep::Again { counts } => {
                assert_eq!(counts, loss != AttemptLoss::NotSent);
                assert!(runs < attempts.max(1) || runs == 0, "{kind:?}: {runs} of {attempts}");
                assert!(runs == 0 || kind.may_retry(), "{kind:?} ran and would run again");
                follow(kind, attempts, history, runs, depth + 1);
            }
            NextStep::TellNotRun => assert_eq!(runs, 0, "{kind:?} may have run"),
            NextStep::TellUnknown => assert!(runs > 0),
        }
    }
}

#[test]
fn every_order_of_losses_keeps_the_promises() {
    for kind in KINDS {
        for attempts in 0..4 {
            follow(kind, attempts, AttemptHistory::default(), 0, 0);
        }
    }
}

#[test]
fn silent_server_is_left_only_where_another_run_is_allowed() {
    let history = AttemptHistory::default();
    assert!(history.may_leave(RequestKind::Idempotent, 2));
    assert!(!history.may_leave(RequestKind::Idempotent, 1));
    assert!(!history.may_leave(RequestKind::Once, 3));
    let mut second = history;
    second.after_loss(RequestKind::Idempotent, 2, AttemptLoss::Unknown);
    assert!(!second.may_leave(RequestKind::Idempotent, 2));
}
