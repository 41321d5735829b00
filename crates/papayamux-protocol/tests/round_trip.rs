//! What one side writes, the other reads as it was meant.

use bytes::{Bytes, BytesMut};
use papayamux_protocol::link::{
    Addressed, AgentClock, ChatTarget, HeaderField, OpenRequest, RepeatRule, RouterMessage,
};
use papayamux_protocol::wire::{AgentFrame, FrameCodec, RouterFrame};
use papayamux_state::ids::{Incarnation, RequestId};
use tokio_util::codec::{Decoder, Encoder};

#[test]
fn an_open_request_keeps_all_its_parts() {
    let open = OpenRequest {
        id: RequestId { incarnation: Incarnation::from(7), number: 9 },
        agent: Incarnation::from(8),
        organisation: "desk".parse().unwrap(),
        priority: 3,
        start_before: AgentClock(1_234),
        repeat: RepeatRule::AtMostOnce(Some("booking-4".parse().unwrap())),
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
    };
    let sent = Addressed { stream: 11, message: RouterMessage::Open(Box::new(open)) };
    let mut buffer = BytesMut::new();
    FrameCodec::<RouterFrame, AgentFrame>::default().encode(sent.clone(), &mut buffer).unwrap();
    let received = FrameCodec::<AgentFrame, RouterFrame>::default().decode(&mut buffer).unwrap();
    assert_eq!(received, Some(sent));
    assert!(buffer.is_empty());
}
