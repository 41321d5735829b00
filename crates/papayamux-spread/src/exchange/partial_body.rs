//! Partially fetched bodies of large files, whose parts can be sent to other peers before the rest
//! has arrived.

use bytes::{Bytes, BytesMut};
use papayamux_protocol::peer::{BodyPart, VersionKey};
use rand::seq::IteratorRandom;

use super::link_writer::PART_BYTES;

/// A body whose parts arrive from several peers in any order.
#[derive(Debug)]
pub(crate) struct PartialBody {
    key: VersionKey,
    checksum: u64,
    total: usize,
    parts: Vec<Option<Bytes>>,
    missing: usize,
}

impl PartialBody {
    /// Creates a body from its first part. Returns `None` if the part belongs to another version
    /// than the requested one.
    pub(crate) fn from_first_part(first: BodyPart) -> Option<Self> {
        if first.key != first.asked {
            return None;
        }
        let total = usize::try_from(first.total).ok()?;
        let count = total.div_ceil(PART_BYTES);
        let key = first.key.clone();
        let checksum = first.body_checksum;
        let mut body = Self { key, checksum, total, parts: vec![None; count], missing: count };
        body.add_part(first).then_some(body)
    }

    /// Adds a part. Returns `false` if it doesn't fit.
    pub(crate) fn add_part(&mut self, part: BodyPart) -> bool {
        let is_same = part.body_checksum == self.checksum && part.total == self.total as u64;
        let index = part.offset as usize / PART_BYTES;
        let fits = is_same
            && (part.offset as usize).is_multiple_of(PART_BYTES)
            && index < self.parts.len()
            && part.data.len() == self.part_length(index);
        if fits && self.parts[index].is_none() {
            self.parts[index] = Some(part.data);
            self.missing -= 1;
        }
        fits
    }

    fn part_length(&self, index: usize) -> usize {
        PART_BYTES.min(self.total - index * PART_BYTES)
    }

    /// Returns the offset of a random missing part that is not in `asked`. Random choice makes
    /// peers that fetch at the same time hold different parts, which they can send to each other.
    pub(crate) fn pick_missing(&self, asked: &[u64]) -> Option<u64> {
        let missing = self.parts.iter().enumerate().filter(|(_, part)| part.is_none());
        let offsets = missing.map(|(index, _)| (index * PART_BYTES) as u64);
        offsets.filter(|offset| !asked.contains(offset)).choose(&mut rand::rng())
    }

    /// Returns whether all parts have arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Returns the assembled body and its expected checksum.
    pub(crate) fn assemble(&self) -> (Bytes, u64) {
        let mut body = BytesMut::with_capacity(self.total);
        self.parts.iter().flatten().for_each(|part| body.extend_from_slice(part));
        (body.freeze(), self.checksum)
    }

    /// Returns the part at `offset`, as sent to a peer.
    pub(crate) fn part(&self, offset: u64) -> Option<BodyPart> {
        let data = self.parts.get(offset as usize / PART_BYTES)?.clone()?;
        Some(BodyPart {
            asked: self.key.clone(),
            key: self.key.clone(),
            body_checksum: self.checksum,
            total: self.total as u64,
            offset: offset - offset % PART_BYTES as u64,
            data,
        })
    }
}
