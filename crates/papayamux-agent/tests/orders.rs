//! Targets of the engine, and the gate that admits requests by model.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::time::{Duration, Instant};

use papayamux_agent::orders::{declared_target, ModelGate, TargetWatch};
use papayamux_agent::settings::AgentSettings;
use papayamux_coordination::orders::ServerTarget;
use papayamux_declarations::{ConfigurationInForce, DeclarationFile, FileSet};
use papayamux_protocol::link::ChatTarget;
use papayamux_state::refusal::RefusalReason;
use papayamux_state::weights::WeightsRef;

const MAX_STATE_AGE: Duration = Duration::from_secs(5);

fn chat(model: &str, adapter: Option<&str>) -> ChatTarget {
    ChatTarget {
        model: model.parse().unwrap(),
        adapter: adapter.map(|name| name.parse().unwrap()),
        chat: "chat-5".parse().unwrap(),
    }
}

#[test]
fn a_target_matches_the_declarations_for_its_server() {
    let text = "[team]\nname = caverns\n\
        [model itinerary]\nversion = 3\nweights = itinerary-3\n\
        [model spare]\nversion = 1\nweights = spare-1\n\
        [adapter taiwanese]\nmodel = itinerary\nversion = 2\nweights = taiwanese-2\n\
        [server engine-0]\nkind = engine\nagent = 10.0.0.1:7000\nfailure_domain = a\nmodels = itinerary\n\
        adapters = taiwanese\nrole = decode\n\
        [server engine-1]\nkind = engine\nagent = 10.0.0.2:7000\nfailure_domain = b\nmodels = itinerary, spare\n\
        role = both\n\
        [server tickets]\nkind = service\nagent = 10.0.0.3:7000\nfailure_domain = b\n";
    let mut set = FileSet::default();
    set.offer(DeclarationFile::new("caverns".parse().unwrap(), 7.into(), text));
    let in_force = ConfigurationInForce::compute(&set);
    assert_eq!(in_force.blocked, []);
    let target = declared_target(&in_force, &"engine-0".parse().unwrap()).unwrap();
    let itinerary = WeightsRef::model(&"itinerary".parse().unwrap());
    let taiwanese = WeightsRef::adapter(&"taiwanese".parse().unwrap());
    let wanted = [(itinerary.clone(), "3".to_string()), (taiwanese.clone(), "2".to_string())];
    assert_eq!((target.revision, target.weights.clone()), (7, wanted.into()));
    assert_eq!(target.role, "decode");
    let declared_peers: Vec<_> =
        target.declared_peers(&itinerary).map(|(name, _)| name.to_string()).collect();
    assert_eq!((declared_peers, target.peers.len()), (vec!["engine-1".to_string()], 1));
    assert!(target.is_in_force(&WeightsRef::model(&"spare".parse().unwrap())));
    assert_eq!(declared_target(&in_force, &"tickets".parse().unwrap()), None);
    assert_eq!(declared_target(&in_force, &"engine-9".parse().unwrap()), None);
}

#[test]
fn a_target_is_never_replaced_by_an_older_revision() {
    let watch = TargetWatch::default();
    let at = |revision| ServerTarget { revision, ..ServerTarget::default() };
    assert!(watch.current().is_none());
    assert!(watch.set(at(4)) && watch.set(at(4)) && !watch.set(at(3)) && watch.set(at(5)));
    assert_eq!(watch.current().unwrap().revision, 5);
    watch.clear();
    assert!(watch.current().is_none() && !watch.set(at(4)) && watch.set(at(5)));
}

#[test]
fn the_gate_refuses_weights_that_are_not_loaded_and_counts_running_requests() {
    let (gate, now) = (ModelGate::new(MAX_STATE_AGE), Instant::now());
    let itinerary = WeightsRef::model(&"itinerary".parse().unwrap());
    let unknown = gate.admit(Some(&chat("other", None)), now);
    assert!(unknown.is_ok(), "the engine's state is not known yet");
    gate.record_loaded([itinerary.clone()].into(), now);
    let refusal = |chat: &ChatTarget, at| gate.admit(Some(chat), at).map(drop).unwrap_err();
    assert_eq!(refusal(&chat("other", None), now), RefusalReason::ModelNotLoaded);
    let adapted = chat("itinerary", Some("taiwanese"));
    assert_eq!(refusal(&adapted, now), RefusalReason::AdapterNotLoaded);
    let pass = gate.admit(Some(&chat("itinerary", None)), now).unwrap();
    assert_eq!(gate.running(&itinerary), 1);
    gate.set_closed([itinerary.clone()].into());
    assert_eq!(refusal(&chat("itinerary", None), now), RefusalReason::Unloading);
    assert!(!gate.is_serving(&itinerary, now));
    drop(pass);
    assert_eq!(gate.running(&itinerary), 0);
    gate.set_closed([].into());
    assert!(gate.is_serving(&itinerary, now));
    assert!(
        !gate.is_serving(&itinerary, now + MAX_STATE_AGE),
        "others can't count on an old reading"
    );
    assert!(gate.admit(Some(&chat("other", None)), now + MAX_STATE_AGE * 2).is_ok());
    gate.supersede();
    assert_eq!(refusal(&chat("itinerary", None), now), RefusalReason::Superseded);
    assert_eq!(gate.admit(None, now).map(drop).unwrap_err(), RefusalReason::Superseded);
}

#[test]
fn invalid_order_settings_are_reported() {
    let text = "[agent]\nlisten = 127.0.0.1:1\noperations = 127.0.0.1:2\nfailure_domain = a\n\
        [server]\nname = engine-0\naddress = 127.0.0.1:3\n\
        [orders]\nmodels = itinerary@\nload_rate = 0\nrole = chief\nlook_every = 2s\n\
        [peer engine 1]\nmodels = itinerary\n";
    let findings = AgentSettings::read("agent.ini", text).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}
