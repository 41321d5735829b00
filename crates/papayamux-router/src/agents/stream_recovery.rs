//! What happens to the streams of a lost connection: each goes on over a new one, at the byte
//! that came last, or is given up.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::agent_link::AgentLink;
use super::agent_peer::PeerCore;
use super::stream_slot::StreamSlot;

/// The pause after the first attempt that failed; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Brings streams back, until the time for it is over.
pub async fn recover_streams(peer: Rc<PeerCore>, slots: Vec<Rc<StreamSlot>>) {
    let mut waiting: Vec<_> =
        slots.into_iter().filter(|slot| keep_or_lose(slot.rise(), slot)).collect();
    let until = Instant::now() + peer.identity().resume_within;
    let mut pause = FIRST_PAUSE;
    while !waiting.is_empty() {
        match peer.link().await {
            Ok(link) => {
                waiting.retain(|slot| !resume_on(&peer, &link, slot));
                if waiting.is_empty() {
                    return;
                }
            }
            Err(_) => waiting.retain(|slot| keep_or_lose(!slot.may_move(), slot)),
        }
        waiting.retain(|slot| !slot.is_closed());
        if Instant::now() + pause >= until {
            break;
        }
        monoio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    for slot in waiting {
        peer.metrics().recoveries.count("given_up");
        slot.lose();
    }
}

/// Passes `keep` on, and tells a stream that is not kept.
fn keep_or_lose(keep: bool, slot: &StreamSlot) -> bool {
    if !keep && !slot.is_closed() {
        slot.lose();
    }
    keep
}

/// Lets one stream go on over `link`; `false` where it has to wait for another connection.
fn resume_on(peer: &PeerCore, link: &Rc<AgentLink>, slot: &Rc<StreamSlot>) -> bool {
    if slot.is_closed() {
        return true;
    }
    let life = slot.origin().agent;
    if life.is_some_and(|agent| agent != link.welcome().incarnation) {
        peer.metrics().recoveries.count("agent_replaced");
        slot.lose();
        return true;
    }
    let resumed = link.resume_slot(slot);
    if resumed {
        peer.metrics().recoveries.count("resumed");
    }
    resumed
}
