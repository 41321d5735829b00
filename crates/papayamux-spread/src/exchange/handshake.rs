//! Handshake of a peer connection: hello messages and proofs of the fleet's secret.

use std::time::Duration;

use papayamux_protocol::link::{Addressed, PROTOCOL_VERSION};
use papayamux_protocol::peer::{PeerHello, PeerMessage};
use papayamux_protocol::proof::{PeerProofContext, PeerSide, ProofNonce};
use papayamux_protocol::wire::PeerFrame;
use papayamux_state::ids::Incarnation;
use papayamux_transport::link::{LinkReceiver, LinkSender};

use super::peer_error::PeerError;
use crate::core::SpreadCore;

/// Timeout for each handshake message of the peer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) type PeerReceiver = LinkReceiver<PeerFrame, PeerFrame>;

/// Exchanges hello messages. If this process has a secret, both sides must prove that they know it.
pub(crate) async fn perform_handshake(
    core: &SpreadCore,
    sender: &LinkSender<PeerMessage>,
    receiver: &mut PeerReceiver,
    side: PeerSide,
) -> Result<PeerHello, PeerError> {
    let nonce = core.secret.as_ref().map(|_| ProofNonce::generate());
    send(core, sender, PeerMessage::Hello(core.hello(nonce)));
    let PeerMessage::Hello(hello) = receive(receiver).await? else {
        return Err(PeerError::NoHello);
    };
    if hello.version != PROTOCOL_VERSION {
        return Err(PeerError::Version(hello.version));
    }
    if hello.incarnation == core.incarnation {
        return Err(PeerError::SelfConnection);
    }
    if let (Some(secret), Some(own)) = (&core.secret, nonce) {
        let theirs = hello.nonce.ok_or(PeerError::Proof)?;
        let here = (own, core.incarnation);
        let there = (theirs, hello.incarnation);
        let context = match side {
            PeerSide::Opener => proof_context(here, there),
            PeerSide::Acceptor => proof_context(there, here),
        };
        send(core, sender, PeerMessage::Proof(secret.prove_to_peer(side, &context)));
        let PeerMessage::Proof(tag) = receive(receiver).await? else {
            return Err(PeerError::Proof);
        };
        if !secret.accepts_peer(side.other(), &context, &tag) {
            return Err(PeerError::Proof);
        }
    }
    Ok(hello)
}

fn proof_context(
    (opener_nonce, opener): (ProofNonce, Incarnation),
    (acceptor_nonce, acceptor): (ProofNonce, Incarnation),
) -> PeerProofContext {
    PeerProofContext { opener_nonce, acceptor_nonce, opener, acceptor }
}

fn send(core: &SpreadCore, sender: &LinkSender<PeerMessage>, message: PeerMessage) {
    core.metrics.sent_bytes.inc_by(message.wire_bytes());
    sender.send(0, message);
}

async fn receive(receiver: &mut PeerReceiver) -> Result<PeerMessage, PeerError> {
    match monoio::time::timeout(MESSAGE_TIMEOUT, receiver.receive()).await {
        Ok(Some(Ok(Addressed { message, .. }))) => Ok(message),
        Ok(Some(Err(error))) => Err(error.into()),
        Ok(None) | Err(_) => Err(PeerError::NoHello),
    }
}
