//! The configuration depends on the set of received revisions, not on their order, number or sender.

mod support;

use bolero::check;
use papayamux_declarations::{ConfigurationInForce, DeclarationFile, FileSet};
use support::{file_set_of, RevisionChoice};

/// Generated inputs per property: at least as many as run in a second in a debug build.
const GENERATED_INPUTS: usize = 500;

/// Reorders `files` by sorting them by `keys`.
fn reordered(files: &[DeclarationFile], keys: &[u8]) -> Vec<DeclarationFile> {
    let mut keyed: Vec<_> = files
        .iter()
        .enumerate()
        .map(|(index, file)| (keys.get(index).copied().unwrap_or(0), index, file.clone()))
        .collect();
    keyed.sort_by_key(|(key, index, _)| (*key, std::cmp::Reverse(*index)));
    keyed.into_iter().map(|(_, _, file)| file).collect()
}

fn assert_same(left: &FileSet, right: &FileSet) {
    assert_eq!(left.digest(), right.digest());
    let (left, right) = (ConfigurationInForce::compute(left), ConfigurationInForce::compute(right));
    assert_eq!(left, right);
    assert_eq!(left.digest(), right.digest());
}

#[test]
fn any_order_with_duplicates_and_stale_reads_gives_the_same() {
    check!()
        .with_iterations(GENERATED_INPUTS)
        .with_type::<(Vec<RevisionChoice>, Vec<u8>)>()
        .for_each(|(choices, keys)| {
            let files: Vec<_> = choices.iter().map(RevisionChoice::file).collect();
            let shuffled = reordered(&files, keys);
            let mut repeated = file_set_of(shuffled.iter().chain(&files));
            assert_same(&file_set_of(&files), &repeated);
            for file in &files {
                repeated.offer(file.clone());
            }
            assert_same(&file_set_of(&files), &repeated);
        });
}

#[test]
fn a_subset_then_the_rest_gives_the_same() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<(Vec<RevisionChoice>, u64)>().for_each(
        |(choices, mask)| {
            let files: Vec<_> = choices.iter().map(RevisionChoice::file).collect();
            let chosen = |index: usize| mask >> (index % 64) & 1 == 1;
            let numbered = || files.iter().enumerate();
            let first = numbered().filter(|(index, _)| chosen(*index)).map(|(_, file)| file);
            let rest = numbered().filter(|(index, _)| !chosen(*index)).map(|(_, file)| file);
            let mut in_turn = file_set_of(first.clone());
            ConfigurationInForce::compute(&in_turn);
            for file in rest.clone() {
                in_turn.offer(file.clone());
            }
            assert_same(&file_set_of(&files), &in_turn);
            let (mut left, right) = (file_set_of(first), file_set_of(rest));
            left.merge(&right);
            assert_same(&file_set_of(&files), &left);
        },
    );
}

#[test]
fn merging_partial_sets_commutes_associates_and_repeats() {
    type Choices = [Vec<RevisionChoice>; 3];
    check!().with_iterations(GENERATED_INPUTS).with_type::<Choices>().for_each(|choices| {
        let [a, b, c] = choices.each_ref().map(|part| {
            file_set_of(part.iter().map(RevisionChoice::file).collect::<Vec<_>>().iter())
        });
        let join = |left: &FileSet, right: &FileSet| {
            let mut joined = left.clone();
            joined.merge(right);
            joined
        };
        assert_same(&join(&a, &b), &join(&b, &a));
        assert_same(&join(&join(&a, &b), &c), &join(&a, &join(&b, &c)));
        let mut all = join(&join(&a, &b), &c);
        assert!(!all.merge(&a), "a set that is contained changes nothing");
        assert!(!all.clone().merge(&all));
        assert_same(&join(&all, &b), &all);
        all.merge(&c);
    });
}

#[test]
fn file_revisions_never_decrease() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<RevisionChoice>>().for_each(
        |choices| {
            let mut set = FileSet::default();
            let mut previous = ConfigurationInForce::compute(&set);
            for choice in choices {
                set.offer(choice.file());
                let current = ConfigurationInForce::compute(&set);
                for (file, revision) in &previous.files {
                    assert!(
                        current.files.get(file) >= Some(revision),
                        "the revision of {file} decreased"
                    );
                }
                assert!(current.generation() >= previous.generation());
                previous = current;
            }
        },
    );
}

#[test]
fn a_newcomer_learns_the_last_valid_revision_and_the_refusal_from_a_peer() {
    let file = |revision: u64, text: &str| {
        DeclarationFile::new("kiosk".parse().unwrap(), revision.into(), text)
    };
    let valid = file(4, "[team]\nname = kiosk\n[organisation visitors]\nshare = 100%\n");
    let invalid = file(5, "[team]\nname = kiosk\n[organisation visitors]\nshare = much\n");
    let peer = file_set_of([&valid, &invalid]);
    let mut newcomer = file_set_of([&invalid]);
    assert!(ConfigurationInForce::compute(&newcomer).organisations.is_empty());
    for (name, record) in peer.records() {
        if let Some(file) = record.valid() {
            newcomer.offer(file.clone());
        }
        if let Some(refused) = record.refused() {
            newcomer.offer_refused(name, refused.clone());
        }
    }
    assert_same(&peer, &newcomer);
    let in_force = ConfigurationInForce::compute(&newcomer);
    assert_eq!(in_force.organisations.len(), 1);
    assert_eq!(in_force.refused[0].in_force, Some(4.into()));
    assert_eq!(in_force.refused[0].refused.revision, 5.into());
}

#[test]
fn a_refusal_changes_the_set_digest_but_not_the_configuration_digest() {
    let file = |revision: u64, text: &str| {
        DeclarationFile::new("kiosk".parse().unwrap(), revision.into(), text)
    };
    let (valid, invalid) = (file(4, "[team]\nname = kiosk\n"), file(5, "[team]\n"));
    let (without, with) = (file_set_of([&valid]), file_set_of([&valid, &invalid]));
    assert_eq!(
        ConfigurationInForce::compute(&without).digest(),
        ConfigurationInForce::compute(&with).digest()
    );
    assert_ne!(without.digest(), with.digest(), "peers still see that the file sets differ");
}
