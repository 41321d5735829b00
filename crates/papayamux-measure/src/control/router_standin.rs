//! The measuring process in the role of a router connected to an agent.

use std::error::Error;
use std::net::SocketAddr;

use papayamux_protocol::link::{AgentMessage, RouterHello, RouterMessage, PROTOCOL_VERSION};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::ids::Incarnation;
use papayamux_transport::link::{connect, start_link, LinkSender};

/// A connection that the agent has accepted. It stays open until the sender is dropped.
pub type RouterStandin = LinkSender<RouterMessage>;

/// Opens a connection as a router does, and keeps reading and discarding the agent's messages.
pub async fn open_router_standin(agent: SocketAddr) -> Result<RouterStandin, Box<dyn Error>> {
    let stream = connect(agent).await?;
    let (sender, mut receiver) = start_link::<RouterFrame, AgentFrame, RouterMessage>(stream)?;
    let (incarnation, domain) = (Incarnation::generate(), "a".parse()?);
    let hello = RouterHello { version: PROTOCOL_VERSION, incarnation, domain, nonce: None };
    sender.send(0, RouterMessage::Hello(hello));
    let first = receiver.receive().await.ok_or("the agent closed the connection")??;
    if !matches!(first.message, AgentMessage::Welcome(_)) {
        return Err("the agent's first message was not a welcome".into());
    }
    monoio::spawn(async move { while let Some(Ok(_)) = receiver.receive().await {} });
    Ok(sender)
}
