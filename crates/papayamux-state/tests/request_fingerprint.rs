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
    assert_eq!(RequestFingerprint::from(content).to_string(), "748a45855a7c770e");
}
