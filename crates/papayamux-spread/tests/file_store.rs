//! The store is independent of the order of its versions and never returns to an older one.

use bolero::{check, TypeGenerator};
use papayamux_spread::files::{EncodedBody, FileStore, FileVersion, JoinOutcome};

/// Number of inputs of each property: at least as many as one second takes in a debug build.
const GENERATED_INPUTS: usize = 6_000;
/// Number of inputs for bodies, which are cheaper; at least as many as one second takes in a debug
/// build.
const GENERATED_BODIES: usize = 220_000;

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Published {
    name: u8,
    revision: u8,
    content: u8,
    removed: bool,
}

/// Accepts texts of even length. The same revision may occur with two contents.
fn passes(_: &str, text: &str) -> bool {
    text.len().is_multiple_of(2)
}

impl Published {
    fn version(self) -> FileVersion {
        let name = format!("team-{}", self.name % 3);
        let revision = u64::from(self.revision % 16);
        match self.removed && self.content.is_multiple_of(4) {
            true => FileVersion::removed(&name, revision),
            false => FileVersion::new(&name, revision, "x".repeat(usize::from(self.content % 4))),
        }
    }
}

fn store_of(versions: impl Iterator<Item = Published>) -> FileStore {
    let mut store = FileStore::new(passes);
    versions.for_each(|published| {
        store.join(published.version());
    });
    store
}

#[test]
fn join_is_independent_of_order_and_repetition() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<(Vec<Published>, Vec<u8>)>().for_each(
        |(versions, order)| {
            let first = store_of(versions.iter().copied());
            let mut shuffled = versions.clone();
            for (index, target) in order.iter().enumerate().take(versions.len()) {
                shuffled.swap(index, usize::from(*target) % versions.len());
            }
            let second = store_of(shuffled.iter().rev().chain(versions).copied());
            assert_eq!(first.digest(), second.digest());
            assert_eq!(first.inventory(|_| true), second.inventory(|_| true));
        },
    );
}

#[test]
fn stores_that_exchange_versions_become_equal() {
    check!()
        .with_iterations(GENERATED_INPUTS)
        .with_type::<(Vec<Published>, Vec<Published>)>()
        .for_each(|(left, right)| {
            let mut full = store_of(left.iter().chain(right).copied());
            let (mut left, mut right) =
                (store_of(left.iter().copied()), store_of(right.iter().copied()));
            for _ in 0..2 {
                transfer_versions(&left, &mut right);
                transfer_versions(&right, &mut left);
            }
            assert_eq!(left.digest(), right.digest());
            transfer_versions(&full, &mut left);
            transfer_versions(&right, &mut full);
            assert_eq!(left.digest(), right.digest());
            assert_eq!(full.digest(), right.digest());
        });
}

/// Simulates a link: the sender lists its keys, and the receiver fetches the versions that it
/// needs.
fn transfer_versions(from: &FileStore, to: &mut FileStore) {
    let wanted = from.inventory(|_| true).into_iter().filter(|key| to.wants(key));
    let versions: Vec<_> = wanted.filter_map(|key| from.version(&key).cloned()).collect();
    versions.into_iter().for_each(|version| {
        to.join(version);
    });
}

#[test]
fn join_never_decreases_revisions() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<Published>>().for_each(|versions| {
        let mut store = FileStore::new(passes);
        for published in versions {
            let version = published.version();
            let name = version.key.name.clone();
            let before = (store.revision(), store.newest(&name).map(|newest| newest.key.revision));
            let accepted_before = accepted_revision(&store, &name);
            let digest = store.digest();
            let outcome = store.join(version);
            let after = (store.revision(), store.newest(&name).map(|newest| newest.key.revision));
            assert!(after >= before);
            assert!(accepted_revision(&store, &name) >= accepted_before);
            assert_eq!(outcome == JoinOutcome::Stored, digest != store.digest());
        }
    });
}

fn accepted_revision(store: &FileStore, name: &str) -> Option<u64> {
    let mut accepted = store.latest().filter_map(|latest| latest.accepted);
    accepted.find(|version| version.key.name == name).map(|version| version.key.revision)
}

#[test]
fn body_decodes_to_its_version() {
    let text: String = (0..400).map(|line| format!("[organisation {line}]\nshare = 1\n")).collect();
    let version = FileVersion::new("team", 3, text.clone());
    let body = EncodedBody::full(&version);
    assert_eq!(EncodedBody::decode(&version.key, &body.bytes, "").expect("decodes"), version);
    let mut store = FileStore::new(passes);
    store.join(version.clone());
    let edited = text.replace("[organisation 7]", "[organisation seven]");
    let later = FileVersion::new("team", 4, edited);
    store.join(later.clone());
    let step = papayamux_spread::files::DeltaStep::between(&version, &later).expect("worthwhile");
    let delta = EncodedBody::delta(&step);
    assert!(delta.bytes.len() * 10 < body.bytes.len(), "{} bytes", delta.bytes.len());
    assert_eq!(EncodedBody::decode(&later.key, &delta.bytes, &text).expect("decodes"), later);
    assert!(EncodedBody::decode(&later.key, &delta.bytes, "another base").is_err());
}

#[test]
fn decoder_never_panics() {
    check!().with_iterations(GENERATED_BODIES).with_type::<(Vec<u8>, bool)>().for_each(
        |(bytes, is_delta)| {
            let version = FileVersion::new("team", 1, "text".to_string());
            let body = [vec![u8::from(*is_delta)], bytes.clone()].concat();
            assert!(EncodedBody::decode(&version.key, &body, "base\n").is_err());
        },
    );
}
