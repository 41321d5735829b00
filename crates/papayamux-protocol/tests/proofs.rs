//! A proof is valid for one secret, one role and one connection only.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use papayamux_protocol::proof::{ProofContext, ProofNonce, ProofRole, ProofTag, SharedSecret};
use papayamux_state::ids::Incarnation;

fn secret(text: &str) -> SharedSecret {
    text.parse().unwrap()
}

fn context() -> ProofContext {
    ProofContext {
        router_nonce: ProofNonce([1; 16]),
        agent_nonce: ProofNonce([2; 16]),
        router: Incarnation::from(3),
        agent: Incarnation::from(4),
        server: "engine-0".parse().unwrap(),
    }
}

#[test]
fn a_proof_holds_for_its_own_connection_only() {
    let fleet = secret("the secret of the fleet");
    let tag = fleet.prove(ProofRole::Router, &context());
    assert!(fleet.accepts(ProofRole::Router, &context(), &tag));
    assert!(!fleet.accepts(ProofRole::Agent, &context(), &tag));
    assert!(!secret("the secret of another").accepts(ProofRole::Router, &context(), &tag));
    assert!(!fleet.accepts(ProofRole::Router, &context(), &ProofTag(Default::default())));
    let others = [
        ProofContext { router_nonce: ProofNonce([9; 16]), ..context() },
        ProofContext { agent_nonce: ProofNonce([9; 16]), ..context() },
        ProofContext { router: Incarnation::from(9), ..context() },
        ProofContext { agent: Incarnation::from(9), ..context() },
        ProofContext { server: "engine-1".parse().unwrap(), ..context() },
    ];
    for other in others {
        assert!(!fleet.accepts(ProofRole::Router, &other, &tag), "{other:?}");
    }
}

#[test]
fn a_secret_is_never_shown() {
    assert_eq!(format!("{:?}", secret("the secret of the fleet")), "SharedSecret(hidden)");
    let error = "too short".parse::<SharedSecret>().unwrap_err();
    assert_eq!(error.to_string(), "the secret has 9 bytes, it must have at least 16");
}
