//! Accepts connections of routers.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{select, Either};
use monoio::net::TcpListener;
use papayamux_state::address_range::admits;

use crate::agent_core::AgentCore;
use crate::router_link::serve_router;

/// Maximum number of open connections of routers.
const MAX_LINKS: i64 = 2_048;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of routers until the agent closes its connections.
pub async fn accept_routers(core: Rc<AgentCore>, listener: TcpListener) {
    loop {
        let closing = std::pin::pin!(core.closing.triggered());
        let accept = std::pin::pin!(listener.accept());
        let accepted = match select(closing, accept).await {
            Either::Left(_) => return,
            Either::Right((accepted, _)) => accepted,
        };
        let stream = match accepted {
            Ok((_, peer)) if !admits(&core.trust.allow, peer.ip()) => {
                core.metrics.link_failures.count("address");
                log::warn!(peer:% = peer; "connection refused: its address may not connect");
                continue;
            }
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accepting failed");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if core.metrics.router_links.get() >= MAX_LINKS {
            core.metrics.link_failures.count("too_many");
            continue;
        }
        let core = core.clone();
        monoio::spawn(async move {
            core.metrics.router_links.inc();
            serve_router(&core, stream).await;
            core.metrics.router_links.dec();
        });
    }
}
