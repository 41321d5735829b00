//! Recovers the streams of a lost connection: each is resumed on a new connection after the last
//! byte received, or reported as lost.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::agent_link::AgentLink;
use super::agent_peer::PeerCore;
use super::stream_state::StreamState;

/// Delay after the first failed attempt; it doubles with each further attempt.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Resumes streams, and reports those as lost that aren't resumed within
/// [`RouterIdentity::resume_within`](super::RouterIdentity::resume_within).
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

/// Returns `keep`, and reports the stream as lost if it is `false`.
fn keep_or_mark_lost(keep: bool, state: &StreamState) -> bool {
    if !keep && !state.is_closed() {
        state.mark_lost();
    }
    keep
}

/// Resumes a stream on `link`. Returns `false` if the stream has to wait for another connection.
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
