//! The measuring process as a router before an agent.

use std::error::Error;
use std::net::SocketAddr;

use papayamux_protocol::link::{AgentMessage, RouterHello, RouterMessage, PROTOCOL_VERSION};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::ids::Incarnation;
use papayamux_transport::link::{connect, start_link, LinkSender};

/// A welcomed connection; it stays open for as long as the sender lives.
pub type RouterEnd = LinkSender<RouterMessage>;

/// Opens a connection as a router does, and reads it from then on.
pub async fn open_router_end(agent: SocketAddr) -> Result<RouterEnd, Box<dyn Error>> {
    let stream = connect(agent).await?;
    let (sender, mut receiver) = start_link::<RouterFrame, AgentFrame, RouterMessage>(stream)?;
    let (incarnation, domain) = (Incarnation::generate(), "a".parse()?);
    let hello = RouterHello { version: PROTOCOL_VERSION, incarnation, domain, nonce: None };
    sender.send(0, RouterMessage::Hello(hello));
    let first = receiver.receive().await.ok_or("the agent closed the connection")??;
    if !matches!(first.message, AgentMessage::Welcome(_)) {
        return Err("the agent sent no welcome".into());
    }
    monoio::spawn(async move { while let Some(Ok(_)) = receiver.receive().await {} });
    Ok(sender)
}
