//! Invariants of the configuration for any set of received revisions.

mod support;

use std::collections::HashSet;

use bolero::check;
use papayamux_declarations::{
    ConfigurationInForce, DeclarationFile, FileSet, ParsedFile, ServerTask, ShareFraction,
};
use support::{file_set_of, RevisionChoice};

/// Generated inputs per property: at least as many as run in a second in a debug build.
const GENERATED_INPUTS: usize = 500;
/// Generated inputs per property over texts, which run faster.
const GENERATED_TEXTS: usize = 30_000;

fn in_force(choices: &[RevisionChoice]) -> (FileSet, ConfigurationInForce) {
    let files: Vec<DeclarationFile> = choices.iter().map(RevisionChoice::file).collect();
    let set = file_set_of(&files);
    let in_force = ConfigurationInForce::compute(&set);
    (set, in_force)
}

#[test]
fn no_reference_dangles() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<RevisionChoice>>().for_each(
        |choices| {
            let (_, in_force) = in_force(choices);
            for adapter in in_force.adapters.values() {
                assert!(in_force.models.contains_key(&adapter.value.model));
            }
            for (name, server) in &in_force.servers {
                let ServerTask::Engine { models, adapters, .. } = &server.value.task else {
                    continue;
                };
                assert!(models.iter().all(|model| in_force.models.contains_key(model)));
                for adapter in adapters {
                    assert!(models.contains(&in_force.adapters[adapter].value.model));
                }
                let target = in_force.engine_target(name).unwrap();
                assert_eq!(
                    (target.models.len(), target.adapters.len()),
                    (models.len(), adapters.len())
                );
            }
            for server in in_force.routes.values().flat_map(|route| &route.value.servers) {
                assert_eq!(in_force.servers[server].value.task, ServerTask::Service);
            }
        },
    );
}

#[test]
fn a_name_has_one_owner_which_declares_it_and_limits_stay_in_bounds() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<RevisionChoice>>().for_each(
        |choices| {
            let (set, in_force) = in_force(choices);
            for (name, model) in &in_force.models {
                let record = set.record(&model.origin.file).unwrap();
                assert_eq!(record.valid().unwrap().revision, model.origin.revision);
                assert!(record.parsed().unwrap().models.contains_key(name));
            }
            let agents: HashSet<_> =
                in_force.servers.values().map(|server| server.value.agent).collect();
            assert_eq!(agents.len(), in_force.servers.len());
            let shares =
                in_force.organisations.values().map(|organisation| organisation.value.share);
            assert!(ShareFraction::sum(shares).is_some(), "the shares exceed the whole");
        },
    );
}

#[test]
fn everything_declared_is_in_force_or_blocked() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<RevisionChoice>>().for_each(
        |choices| {
            let (set, in_force) = in_force(choices);
            let declared: usize = set
                .records()
                .filter_map(|(_, record)| record.parsed())
                .map(ParsedFile::item_count)
                .sum();
            let in_force_count = in_force.organisations.len()
                + in_force.models.len()
                + in_force.adapters.len()
                + in_force.servers.len()
                + in_force.routes.len();
            let blocked: HashSet<_> = in_force
                .blocked
                .iter()
                .filter(|item| {
                    item.key.is_none() || ["missing", "agent_taken"].contains(&item.reason.label())
                })
                .filter(|item| match item.key {
                    None | Some("model") | Some("agent") => true,
                    Some(_) => false,
                })
                .map(|item| (&item.origin, item.kind, &item.name))
                .collect();
            assert_eq!(in_force_count + blocked.len(), declared);
        },
    );
}

#[test]
fn no_text_makes_the_parser_panic() {
    let name = "kiosk".parse().unwrap();
    check!().with_iterations(GENERATED_TEXTS).with_type::<Vec<u8>>().for_each(|bytes| {
        let text = String::from_utf8_lossy(bytes);
        let _ = ParsedFile::parse(&name, &text);
        let _ = ParsedFile::parse(&name, &format!("[team]\nname = kiosk\n[server s]\n{text}"));
        let _ = ParsedFile::parse(&name, &format!("[team]\nname = kiosk\n[route /{text}]\n"));
        let _ = ParsedFile::parse(&"owners".parse().unwrap(), &format!("[grant {text}"));
    });
}

#[test]
fn a_text_is_refused_or_read_the_same_twice() {
    let name = "kiosk".parse().unwrap();
    let words = ["[model m]", "[team]", "name = kiosk", "=", "\r", "\n", "weights=w", "version:1"];
    check!().with_iterations(GENERATED_TEXTS).with_type::<Vec<u8>>().for_each(|picks| {
        let text: String =
            picks.iter().map(|pick| words[usize::from(*pick) % words.len()]).collect();
        let parsed = ParsedFile::parse(&name, &text);
        assert_eq!(parsed, ParsedFile::parse(&name, &text));
        if let Ok(parsed) = parsed {
            let models = text.matches("[model m]").count();
            assert_eq!(parsed.models.len(), models, "a section was passed over in {text:?}");
        }
    });
}
