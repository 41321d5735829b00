//! What happens to the streams of a lost connection: each goes on over a new one, at the byte
//! that came last, or is given up.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::agent_link::AgentLink;
use super::agent_peer::PeerCore;
use super::stream_state::StreamState;

/// The pause after the first attempt that failed; each further one is twice as long.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest pause between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Brings streams back, until the time for it is over.
pub async fn recover_streams(peer: Rc<PeerCore>, states: Vec<Rc<StreamState>>) {
    let mut waiting: Vec<_> =
        states.into_iter().filter(|state| keep_or_mark_lost(state.detach(), state)).collect();
    let deadline = Instant::now() + peer.identity().resume_within;
    let mut delay = INITIAL_RETRY_DELAY;
    while !waiting.is_empty() {
        match peer.link().await {
            Ok(link) => {
                waiting.retain(|state| !resume_on(&peer, &link, state));
                if waiting.is_empty() {
                    return;
                }
            }
            Err(_) => {
                waiting.retain(|state| keep_or_mark_lost(!state.may_retry_elsewhere(), state))
            }
        }
        waiting.retain(|state| !state.is_closed());
        if Instant::now() + delay >= deadline {
            break;
        }
        monoio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
    for state in waiting {
        peer.metrics().recoveries.count("given_up");
        state.mark_lost();
    }
}

/// Passes `keep` on, and tells a stream that is not kept.
fn keep_or_mark_lost(keep: bool, state: &StreamState) -> bool {
    if !keep && !state.is_closed() {
        state.mark_lost();
    }
    keep
}

/// Lets one stream go on over `link`; `false` where it has to wait for another connection.
fn resume_on(peer: &PeerCore, link: &Rc<AgentLink>, state: &Rc<StreamState>) -> bool {
    if state.is_closed() {
        return true;
    }
    let origin_incarnation = state.origin().agent;
    if origin_incarnation.is_some_and(|agent| agent != link.welcome().incarnation) {
        peer.metrics().recoveries.count("agent_replaced");
        state.mark_lost();
        return true;
    }
    let resumed = link.reattach_stream(state);
    if resumed {
        peer.metrics().recoveries.count("resumed");
    }
    resumed
}
