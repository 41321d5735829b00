//! Requests are the same only where all that a server gets of them is.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use papayamux_state::ids::OrganisationId;
use papayamux_state::request_fingerprint::{RequestContent, RequestFingerprint};

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

#[test]
fn fingerprint_is_of_all_fields_and_nothing_else() {
    let (harbour, museum) = (organisation("harbour"), organisation("museum"));
    let content = RequestContent {
        method: "POST",
        host: "tickets.example",
        target: "/chat/a?b",
        organisation: Some(&harbour),
        body: b"draft",
    };
    let fingerprint = RequestFingerprint::from(content);
    assert_eq!(fingerprint, RequestFingerprint::from(content));
    let others = [
        RequestContent { method: "GET", ..content },
        RequestContent { host: "tickets.example.org", ..content },
        RequestContent { target: "/chat/a", ..content },
        RequestContent { organisation: Some(&museum), ..content },
        RequestContent { organisation: None, ..content },
        RequestContent { body: b"drafts", ..content },
        // The same bytes in a row, with another border between path and body.
        RequestContent { target: "/chat/a?bd", body: b"raft", ..content },
    ];
    for other in others {
        assert_ne!(fingerprint, RequestFingerprint::from(other), "{other:?}");
    }
}

#[test]
fn fingerprint_stays_the_same_between_builds() {
    let content =
        RequestContent { method: "GET", host: "h", target: "/", organisation: None, body: b"" };
    assert_eq!(RequestFingerprint::from(content).to_string(), "0ca45f732480855c");
}

/// Keys of the hash XXH3 for the first words of its third and fourth stripe of 64 bytes.
const KEYS: [u64; 2] = [0xdb97_9083_e96d_d4de, 0x1f67_b3b7_a4a4_4072];

/// A body of zeros but for these words at their places.
fn body_with(words: [(usize, u64); 2]) -> Vec<u8> {
    let mut body = vec![0; 1_024];
    for (place, word) in words {
        body[place..place + 8].copy_from_slice(&word.to_le_bytes());
    }
    body
}

/// A caller could write bodies that are different and have the same fingerprint, and so have a request held
/// that is not its own: a hash for tables adds up what it makes of a body's words, and words can be chosen
/// that add up to the same. Here the low half of each word is that of the hash's key at its place.
#[test]
fn bodies_that_were_made_to_collide_in_a_table_have_fingerprints_of_their_own() {
    // Places in the body are at whole stripes of the hash, which comes to it behind 64 bytes of other fields.
    let content = |body| RequestContent {
        method: "POST",
        host: "tickets.example",
        target: "/chat",
        organisation: None,
        body,
    };
    let (first, second) = (64, 128);
    let pair = |high: [u64; 2]| {
        let word = |high: u64, key: u64| (high << 32) | (key & 0xffff_ffff);
        body_with([(first, word(high[0], KEYS[0])), (second, word(high[1], KEYS[1]))])
    };
    let (one, other) = (pair([1, 2]), pair([2, 1]));
    let fingerprints = [&one, &other].map(|body| RequestFingerprint::from(content(body)));
    assert_ne!(fingerprints[0], fingerprints[1]);
}
