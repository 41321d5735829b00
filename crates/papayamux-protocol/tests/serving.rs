//! Queries between agents survive encoding and decoding unchanged.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use bytes::BytesMut;
use papayamux_protocol::link::{Addressed, AgentMessage, RouterMessage};
use papayamux_protocol::serving::{ServingAnswer, ServingQuery, ServingRefusal};
use papayamux_protocol::wire::{AgentFrame, FrameCodec, RouterFrame};
use papayamux_state::weights::{WeightsKind, WeightsRef};
use tokio_util::codec::{Decoder, Encoder};

#[test]
fn serving_queries_and_answers_round_trip() {
    let mut buffer = BytesMut::new();
    for kind in [WeightsKind::Model, WeightsKind::Adapter] {
        let weights = WeightsRef { kind, name: "taiwanese".to_string() };
        let query = ServingQuery { weights, asker: "engine-3".parse().unwrap() };
        let sent = Addressed { stream: 1, message: RouterMessage::AskServing(query) };
        FrameCodec::<RouterFrame, AgentFrame>::default().encode(sent.clone(), &mut buffer).unwrap();
        let received = FrameCodec::<AgentFrame, RouterFrame>::default().decode(&mut buffer);
        assert_eq!(received.unwrap(), Some(sent));
    }
    let refused = ServingRefusal::ALL.into_iter().map(ServingAnswer::Refused);
    for answer in refused.chain([ServingAnswer::Serves]) {
        let sent = Addressed { stream: 1, message: AgentMessage::Serving(answer) };
        FrameCodec::<AgentFrame, RouterFrame>::default().encode(sent.clone(), &mut buffer).unwrap();
        let received = FrameCodec::<RouterFrame, AgentFrame>::default().decode(&mut buffer);
        assert_eq!(received.unwrap(), Some(sent));
    }
}
