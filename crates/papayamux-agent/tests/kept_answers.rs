//! The answers that an agent keeps of runs with a key, and its refusals if it keeps none.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use papayamux_agent::claims::{ClaimSettings, KeptAnswers, RunRecorder};
use papayamux_protocol::link::{
    AgentClock, AnswerHead, OpenRequest, RecallRequest, RetryRule, STREAM_WINDOW_BYTES,
};
use papayamux_state::claims::{CallFingerprint, ClaimId};
use papayamux_state::ids::{Incarnation, RequestId};
use papayamux_state::quantities::ByteCount;
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::runtime;

const RETENTION: Duration = Duration::from_secs(60);
const START: Duration = Duration::ZERO;

fn kept(bytes: u64) -> Rc<KeptAnswers> {
    let settings = ClaimSettings::builder().retention(RETENTION);
    KeptAnswers::new(&settings.kept_bytes(ByteCount::new(bytes)).build())
}

fn open(key: &str) -> OpenRequest {
    let id = RequestId { incarnation: Incarnation::from(7), number: 1 };
    OpenRequest {
        id,
        agent: Incarnation::from(8),
        organisation: "desk".parse().unwrap(),
        priority: 0,
        start_before: AgentClock(1_000),
        retry_rule: RetryRule::AtMostOnce(Some(key.parse().unwrap())),
        claim: Some(ClaimId(id)),
        chat: None,
        method: "POST".to_string(),
        path: "/book".to_string(),
        headers: Vec::new(),
        body: Bytes::new(),
        placement: papayamux_protocol::link::PlacementRule::default(),
        sent_after: papayamux_state::crash_record::CrashRecord::default(),
    }
}

fn begin(kept: &Rc<KeptAnswers>, key: &str) -> RunRecorder {
    kept.begin(&open(key), START).unwrap().unwrap()
}

fn run(kept: &Rc<KeptAnswers>, key: &str, length: usize) {
    let recorder = begin(kept, key);
    recorder.head(&AnswerHead { status: 200, headers: Vec::new() });
    recorder.data(&Bytes::from(vec![b'x'; length]));
    recorder.complete();
}

fn recall(kept: &KeptAnswers, key: &str, path: &str) -> Result<usize, RefusalReason> {
    let request = RecallRequest {
        organisation: "desk".parse().unwrap(),
        key: key.parse().unwrap(),
        fingerprint: CallFingerprint::new("POST", path, b""),
    };
    runtime::run(async { kept.recall(&request).await.map(|answer| answer.body.len()) }).unwrap()
}

#[test]
fn a_key_is_answered_from_its_first_run_and_never_run_again_within_the_retention() {
    let kept = kept(1 << 20);
    run(&kept, "a", 10);
    assert_eq!(recall(&kept, "a", "/book"), Ok(10));
    assert_eq!(recall(&kept, "a", "/other"), Err(RefusalReason::KeyReused));
    assert_eq!(recall(&kept, "b", "/book"), Err(RefusalReason::AnswerNotKept));
    let again = |now| kept.begin(&open("a"), now).map(drop).err();
    assert_eq!(again(RETENTION - Duration::from_millis(1)), Some(RefusalReason::KeyRunBefore));
    assert_eq!(again(RETENTION), None);
}

#[test]
fn a_call_without_its_claim_is_refused() {
    let unclaimed = OpenRequest { claim: None, ..open("a") };
    let refused = kept(1 << 20).begin(&unclaimed, START).map(drop);
    assert_eq!(refused, Err(RefusalReason::ClaimMissing));
}

#[test]
fn the_oldest_answers_are_dropped_first_and_oversized_ones_are_not_kept() {
    let kept = kept(10_000);
    for key in ["a", "b", "c"] {
        run(&kept, key, 4_000);
    }
    assert_eq!(recall(&kept, "a", "/book"), Err(RefusalReason::AnswerNotKept));
    assert_eq!(recall(&kept, "c", "/book"), Ok(4_000));
    assert!(kept.kept_bytes().get() <= 10_000);
    run(&kept, "long", STREAM_WINDOW_BYTES as usize + 1);
    assert_eq!(recall(&kept, "long", "/book"), Err(RefusalReason::AnswerNotKept));
}

#[test]
fn a_failed_run_is_reported_and_a_run_that_never_happened_is_forgotten() {
    let kept = kept(1 << 20);
    drop(begin(&kept, "failed"));
    assert_eq!(recall(&kept, "failed", "/book"), Err(RefusalReason::FirstRunFailed));
    begin(&kept, "refused").not_run();
    assert_eq!(recall(&kept, "refused", "/book"), Err(RefusalReason::AnswerNotKept));
    run(&kept, "refused", 3);
    assert_eq!(recall(&kept, "refused", "/book"), Ok(3));
}
