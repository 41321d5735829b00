//! The measuring process in the role of an agent whose server is always at capacity.

use std::error::Error;
use std::net::SocketAddr;

use monoio::net::{TcpListener, TcpStream};
use papayamux_protocol::link::{
    Addressed, AgentClock, AgentMessage, AgentWelcome, PongNotice, ProbeReply, RefusalNotice,
    RouterMessage, PROTOCOL_VERSION,
};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::ids::{FailureDomain, Incarnation, ServerId};
use papayamux_state::load::LoadReport;
use papayamux_state::quantities::TokenCount;
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::link::start_link;
use papayamux_transport::listen::listen;

/// The delay that a refusal asks for before the router's next attempt.
const RETRY_AFTER_MS: u32 = 500;

/// Starts an agent of `server` and returns its address.
pub fn start_agent_standin(server: &ServerId) -> Result<SocketAddr, Box<dyn Error>> {
    let listener = listen("127.0.0.1:0".parse()?)?;
    let address = listener.local_addr()?;
    monoio::spawn(accept_links(listener, server.clone(), "a".parse()?));
    Ok(address)
}

async fn accept_links(listener: TcpListener, server: ServerId, domain: FailureDomain) {
    while let Ok((stream, _)) = listener.accept().await {
        monoio::spawn(serve_link(stream, server.clone(), domain.clone()));
    }
}

async fn serve_link(stream: TcpStream, server: ServerId, domain: FailureDomain) {
    let Ok((sender, mut receiver)) = start_link::<AgentFrame, RouterFrame, AgentMessage>(stream)
    else {
        return;
    };
    while let Some(Ok(Addressed { stream, message })) = receiver.receive().await {
        let answer = match message {
            RouterMessage::Hello(_) => AgentMessage::Welcome(AgentWelcome {
                version: PROTOCOL_VERSION,
                incarnation: Incarnation::generate(),
                server: server.clone(),
                domain: domain.clone(),
                clock: AgentClock(1),
                nonce: None,
                proof: None,
            }),
            RouterMessage::Probe(_) => AgentMessage::Probed(ProbeReply {
                load: LoadReport::default(),
                warm: 0,
                prefill_rate: TokenCount::new(1),
                elsewhere: None,
            }),
            RouterMessage::Open(_) => {
                let full = RefusalReason::AtCapacity;
                AgentMessage::Refused(RefusalNotice::new(full, RETRY_AFTER_MS))
            }
            RouterMessage::Ping(number) => {
                AgentMessage::Pong(PongNotice { number, clock: AgentClock(1) })
            }
            _ => continue,
        };
        sender.send(stream, answer);
    }
}
