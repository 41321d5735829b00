//! Decoders never panic on arbitrary input.

use bolero::check;
use bytes::BytesMut;
use papayamux_protocol::chat::parse_chat_call;
use papayamux_protocol::wire::{AgentFrame, FrameCodec, PeerFrame, RouterFrame};
use papayamux_state::ids::OrganisationId;
use tokio_util::codec::Decoder;

/// The number of inputs per test.
const INPUTS: usize = 20_000;

#[test]
fn router_frame_decoder_never_panics() {
    check!().with_iterations(INPUTS).for_each(|bytes: &[u8]| {
        let mut codec = FrameCodec::<AgentFrame, RouterFrame>::default();
        let mut buffer = BytesMut::from(bytes);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
    });
}

#[test]
fn agent_frame_decoder_never_panics() {
    check!().with_iterations(INPUTS).for_each(|bytes: &[u8]| {
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(bytes);
        let mut codec = FrameCodec::<RouterFrame, AgentFrame>::default();
        let _ = codec.decode(&mut BytesMut::from(&framed[..]));
    });
}

#[test]
fn peer_frame_decoder_never_panics() {
    check!().with_iterations(INPUTS).for_each(|bytes: &[u8]| {
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(bytes);
        let mut codec = FrameCodec::<PeerFrame, PeerFrame>::default();
        let _ = codec.decode(&mut BytesMut::from(&framed[..]));
    });
}

#[test]
fn chat_body_parser_never_panics() {
    let organisation: OrganisationId = "desk".parse().unwrap();
    check!().with_iterations(INPUTS).for_each(|bytes: &[u8]| {
        let _ = parse_chat_call(&organisation, None, bytes);
    });
}
