//! Names by which experiments disable mechanisms.

use papayamux_coordination::mechanism::{DisabledMechanisms, Mechanism};

#[test]
fn mechanism_names_round_trip_through_text() {
    for mechanism in Mechanism::all() {
        assert_eq!(mechanism.to_string().parse(), Ok(mechanism));
    }
}

#[test]
fn error_lists_the_names_that_are_known() {
    let error = "copy".parse::<Mechanism>().map_err(|error| error.to_string());
    insta::assert_snapshot!(error.err().unwrap_or_default());
}

#[test]
fn only_disabled_mechanisms_are_not_allowed() {
    let disabled: DisabledMechanisms = [Mechanism::Line, Mechanism::Copies].into_iter().collect();
    let used = Mechanism::all().filter(|mechanism| disabled.allow(*mechanism));
    assert_eq!(used.count(), Mechanism::all().count() - 2);
    assert!(!disabled.allow(Mechanism::Line));
    assert_eq!(disabled.to_string(), "copies, line");
    assert!(DisabledMechanisms::default().is_empty());
}

#[test]
fn settings_page_lists_each_mechanism() {
    let page = include_str!("../../../docs/operators/settings.md");
    for mechanism in Mechanism::all() {
        assert!(
            page.contains(&format!("`{mechanism}`")),
            "{mechanism} is missing from the settings page"
        );
    }
}
