//! Fingerprints are equal only for requests that look the same to a server.
#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

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
        body: &[b"draft"],
    };
    let fingerprint = RequestFingerprint::from(content);
    assert_eq!(fingerprint, RequestFingerprint::from(content));
    let others = [
        RequestContent { method: "GET", ..content },
        RequestContent { host: "tickets.example.org", ..content },
        RequestContent { target: "/chat/a", ..content },
        RequestContent { organisation: Some(&museum), ..content },
        RequestContent { organisation: None, ..content },
        RequestContent { body: &[b"drafts"], ..content },
        // The same sequence of bytes with another boundary between path and body.
        RequestContent { target: "/chat/a?bd", body: &[b"raft"], ..content },
    ];
    for other in others {
        assert_ne!(fingerprint, RequestFingerprint::from(other), "{other:?}");
    }
}

#[test]
fn fingerprint_stays_the_same_between_builds() {
    let content =
        RequestContent { method: "GET", host: "h", target: "/", organisation: None, body: &[b""] };
    assert_eq!(RequestFingerprint::from(content).to_string(), "0ca45f732480855c");
}

#[test]
fn fingerprint_does_not_depend_on_the_segments_of_a_body() {
    let fingerprint = |body: &[&[u8]]| {
        let (method, host, target) = ("POST", "h", "/");
        RequestFingerprint::from(RequestContent { method, host, target, organisation: None, body })
    };
    let whole = fingerprint(&[b"draft"]);
    assert_eq!(whole, fingerprint(&[b"dr", b"", b"aft"]));
    assert_ne!(whole, fingerprint(&[b"dr", b"aft", b"s"]));
}

/// The secret words that XXH3 uses for the first words of its third and fourth 64-byte stripes.
const KEYS: [u64; 2] = [0xdb97_9083_e96d_d4de, 0x1f67_b3b7_a4a4_4072];

/// Returns a body of zeros, except for `words` at their offsets.
fn body_with(words: [(usize, u64); 2]) -> Vec<u8> {
    let mut body = vec![0; 1_024];
    for (place, word) in words {
        body[place..place + 8].copy_from_slice(&word.to_le_bytes());
    }
    body
}

/// Guards against crafted collisions, with which a caller could get another caller's request quarantined.
/// A non-cryptographic hash such as XXH3 sums up a value computed from each word of the body, so that a caller
/// can choose words with the same sum. Here the low half of each word equals that of the hash's secret at its
/// offset.
#[test]
fn bodies_crafted_to_collide_in_xxh3_have_different_fingerprints() {
    // The words are at the start of a stripe, because the other fields take up the 64 bytes before the body.
    let fingerprint = |body: &[u8]| {
        RequestFingerprint::from(RequestContent {
            method: "POST",
            host: "tickets.example",
            target: "/chat",
            organisation: None,
            body: &[body],
        })
    };
    let (first, second) = (64, 128);
    let pair = |high: [u64; 2]| {
        let word = |high: u64, key: u64| (high << 32) | (key & 0xffff_ffff);
        body_with([(first, word(high[0], KEYS[0])), (second, word(high[1], KEYS[1]))])
    };
    let (one, other) = (pair([1, 2]), pair([2, 1]));
    let fingerprints = [&one, &other].map(|body| fingerprint(body));
    assert_ne!(fingerprints[0], fingerprints[1]);
}
