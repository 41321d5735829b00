//! The two writer tasks of a link: one for short messages, one for body parts.

use std::rc::Rc;

use bytes::Bytes;
use futures_channel::mpsc::Receiver;
use futures_util::StreamExt;
use papayamux_protocol::peer::{BodyPart, FetchRequest, PeerMessage};

use super::peer_link::PeerLink;
use crate::core::SpreadCore;
use crate::files::EncodedBody;

/// Bytes of a body in one message.
pub(crate) const PART_BYTES: usize = 2_048;

/// Sends short messages until the link ends.
pub(crate) async fn write_messages(
    core: Rc<SpreadCore>,
    link: Rc<PeerLink>,
    mut wakes: Receiver<()>,
) {
    while wakes.next().await.is_some() {
        while let Some(message) = link.next_message(&core) {
            core.budget.take(message.wire_bytes()).await;
            if !link.send(&core, message) {
                return;
            }
        }
    }
}

/// Answers requests until the link ends.
pub(crate) async fn write_bodies(
    core: Rc<SpreadCore>,
    link: Rc<PeerLink>,
    mut wakes: Receiver<()>,
) {
    while wakes.next().await.is_some() {
        while let Some(request) = link.next_request() {
            let Some(part) = part_for(&core, &request) else {
                link.queue_absent(request.key);
                continue;
            };
            let message = PeerMessage::Part(part);
            core.budget.take(message.wire_bytes()).await;
            if !link.send(&core, message) {
                return;
            }
        }
    }
}

fn part_for(core: &SpreadCore, request: &FetchRequest) -> Option<BodyPart> {
    let partial = core.partials.borrow().get(&request.key).map(|body| body.part(request.offset));
    if let Some(part) = partial {
        return part;
    }
    let body = body_for(core, request)?;
    let total = body.bytes.len();
    let start = usize::try_from(request.offset).ok().filter(|start| *start < total)?;
    let data: Bytes = body.bytes.slice(start..total.min(start + PART_BYTES));
    Some(BodyPart {
        asked: request.key.clone(),
        key: body.key,
        body_checksum: body.checksum,
        total: total as u64,
        offset: request.offset,
        data,
    })
}

/// Returns a delta from the version that the peer has, or else the requested version in full, or
/// else the newest version if it is later.
fn body_for(core: &SpreadCore, request: &FetchRequest) -> Option<EncodedBody> {
    let store = core.store.borrow();
    let name = &request.key.name;
    let step = request.base.and_then(|base| store.delta_from(name, base));
    if let Some(step) = step.filter(|step| step.target.revision <= request.key.revision) {
        return Some(
            core.bodies.borrow_mut().get_or(&step.target, true, || EncodedBody::delta(step)),
        );
    }
    let newest = store.newest(name).filter(|newest| newest.key.revision > request.key.revision);
    let version = store.version(&request.key).or(newest)?;
    Some(core.bodies.borrow_mut().get_or(&version.key, false, || EncodedBody::full(version)))
}
