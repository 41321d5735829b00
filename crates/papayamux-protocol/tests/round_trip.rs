//! Messages between routers and agents survive encoding and decoding unchanged.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use papayamux_protocol::link::{
    Addressed, AgentClock, AgentMessage, AgentWelcome, AnswerHead, ChatTarget, ClaimChange,
    ClaimNotice, ClaimReply, ClaimRequest, HeaderField, LoadProbe, MovedChat, OpenRequest,
    PlacementRule, ProbeReply, RecallRequest, RefusalNotice, ResumeNotice, ResumePoint,
    ResumeRequest, RetryRule, RouterHello, RouterMessage,
};
use papayamux_protocol::proof::{ProofNonce, ProofTag};
use papayamux_protocol::wire::{AgentFrame, FrameCodec, RouterFrame};
use papayamux_state::claims::{
    CallFingerprint, ClaimId, ClaimKey, ClaimQuery, HeldClaim, RunLocation,
};
use papayamux_state::crash_record::CrashRecord;
use papayamux_state::ids::{Incarnation, RequestId, ServerId};
use papayamux_state::load::{GroupId, GroupLoad, LoadReport};
use papayamux_state::quantities::{RequestCount, TokenCount};
use papayamux_state::refusal::RefusalReason;
use tokio_util::codec::{Decoder, Encoder};

#[test]
fn open_request_round_trips() {
    let open = OpenRequest {
        id: RequestId { incarnation: Incarnation::from(7), number: 9 },
        agent: Incarnation::from(8),
        organisation: "desk".parse().unwrap(),
        priority: 3,
        start_before: AgentClock(1_234),
        retry_rule: RetryRule::AtMostOnce(Some("booking-4".parse().unwrap())),
        claim: Some(claim()),
        chat: Some(ChatTarget {
            model: "itinerary".parse().unwrap(),
            adapter: Some("taiwanese".parse().unwrap()),
            chat: "chat-5".parse().unwrap(),
        }),
        method: "POST".to_string(),
        path: "/v1/chat/completions".to_string(),
        headers: vec![HeaderField {
            name: "accept".to_string(),
            value: Bytes::from_static(b"*/*"),
        }],
        body: Bytes::from_static(b"{}"),
        placement: PlacementRule {
            share: 5,
            wait_budget: Duration::from_millis(45),
            may_redirect: true,
            group_load: Some(GROUP_LOAD),
        },
        sent_after: CrashRecord { cleared: 1, crashes: 2 },
    };
    assert_router_round_trip(RouterMessage::Open(Box::new(open)));
}

const GROUP_LOAD: GroupLoad =
    GroupLoad { group: GroupId(6), mean: 2.25, samples: 11.5, servers: 12 };

#[test]
fn probe_messages_round_trip() {
    let probe =
        LoadProbe { checkpoints: vec![1, u32::MAX], chat: 77, group_load: Some(GROUP_LOAD) };
    assert_router_round_trip(RouterMessage::Probe(probe));
    let server: ServerId = "engine-4".parse().unwrap();
    assert_router_round_trip(RouterMessage::Moved(MovedChat { chat: 77, server: server.clone() }));
    let load = LoadReport {
        running: RequestCount::new(4),
        waiting: RequestCount::new(1),
        limit: RequestCount::new(6),
        backlog: Duration::from_millis(35),
    };
    assert_agent_round_trip(AgentMessage::Load(load));
    assert_agent_round_trip(AgentMessage::Probed(ProbeReply {
        load,
        warm: 3,
        prefill_rate: TokenCount::new(30_000),
        elsewhere: Some(server),
    }));
}

#[test]
fn refusals_round_trip() {
    for reason in RefusalReason::ALL {
        let mut notice = RefusalNotice::new(*reason, 250);
        assert_agent_round_trip(AgentMessage::Refused(notice.clone()));
        notice.better = Some("engine-9".parse().unwrap());
        assert_agent_round_trip(AgentMessage::Refused(notice));
    }
}

fn claim() -> ClaimId {
    ClaimId(RequestId { incarnation: Incarnation::from(7), number: 10 })
}

fn place() -> RunLocation {
    RunLocation { server: "service-1".parse().unwrap(), agent: "127.0.0.1:9".parse().unwrap() }
}

#[test]
fn claim_messages_round_trip() {
    let fingerprint = CallFingerprint::new("POST", "/book", b"{}");
    let ask = ClaimQuery {
        key: ClaimKey::from(u128::MAX - 3),
        fingerprint,
        claim: claim(),
        views: vec![4.into(), 5.into()],
    };
    let agent = Incarnation::from(8);
    let request = ClaimRequest { agent, grant_before: AgentClock(99), ask };
    assert_router_round_trip(RouterMessage::Claim(request));
    for change in [ClaimChange::Placed(place()), ClaimChange::Released] {
        let notice = ClaimNotice { key: ClaimKey::from(1), claim: claim(), change };
        assert_router_round_trip(RouterMessage::ClaimNotice(notice));
    }
    assert_router_round_trip(RouterMessage::Recall(RecallRequest {
        organisation: "desk".parse().unwrap(),
        key: "booking-4".parse().unwrap(),
        fingerprint,
    }));
    let notice = RefusalNotice::new(RefusalReason::KeyHeld, 5);
    let held = Some(HeldClaim { claim: claim(), place: Some(place()) });
    for reply in [ClaimReply::Granted, ClaimReply::Refused { notice, held }] {
        assert_agent_round_trip(AgentMessage::Claim(reply));
    }
}

fn assert_router_round_trip(message: RouterMessage) {
    let sent = Addressed { stream: 11, message };
    let mut buffer = BytesMut::new();
    FrameCodec::<RouterFrame, AgentFrame>::default().encode(sent.clone(), &mut buffer).unwrap();
    let received = FrameCodec::<AgentFrame, RouterFrame>::default().decode(&mut buffer).unwrap();
    assert_eq!(received, Some(sent));
    assert!(buffer.is_empty());
}

fn assert_agent_round_trip(message: AgentMessage) {
    let sent = Addressed { stream: 12, message };
    let mut buffer = BytesMut::new();
    FrameCodec::<AgentFrame, RouterFrame>::default().encode(sent.clone(), &mut buffer).unwrap();
    let received = FrameCodec::<RouterFrame, AgentFrame>::default().decode(&mut buffer).unwrap();
    assert_eq!(received, Some(sent));
}

#[test]
fn resume_and_proof_messages_round_trip() {
    let nonce = Some(ProofNonce([5; 16]));
    let proof = ProofTag(Bytes::from_static(&[6; 32]));
    let (incarnation, domain) = (Incarnation::from(7), || "a".parse().unwrap());
    let hello = RouterHello { version: 1, incarnation, domain: domain(), nonce };
    let resume = ResumeRequest {
        id: RequestId { incarnation, number: 9 },
        agent: Some(incarnation),
        organisation: "desk".parse().unwrap(),
        start_before: Some(AgentClock(1_234)),
        from: ResumePoint::Offset(77),
    };
    let after_event = ResumeRequest {
        agent: None,
        start_before: None,
        from: ResumePoint::AfterEvent(0),
        ..resume.clone()
    };
    assert_router_round_trip(RouterMessage::Hello(hello));
    assert_router_round_trip(RouterMessage::Prove(proof.clone()));
    assert_router_round_trip(RouterMessage::Resume(Box::new(resume)));
    assert_router_round_trip(RouterMessage::Resume(Box::new(after_event)));
    assert_router_round_trip(RouterMessage::Received);
    assert_router_round_trip(RouterMessage::Pong(3));
    assert_agent_round_trip(AgentMessage::Welcome(AgentWelcome {
        version: 1,
        incarnation,
        server: "engine-0".parse().unwrap(),
        domain: domain(),
        clock: AgentClock(5),
        nonce,
        proof: Some(proof),
    }));
    let head = Some(AnswerHead { status: 200, headers: Vec::new() });
    assert_agent_round_trip(AgentMessage::Resumed(ResumeNotice { offset: 8, head }));
    assert_agent_round_trip(AgentMessage::NotHeld);
    assert_agent_round_trip(AgentMessage::Ping(4));
}
