//! The examples on the operators' page are valid as printed.

use papayamux_declarations::{ConfigurationInForce, DeclarationFile, FileSet};

const PAGE: &str = include_str!("../../../docs/operators/declarations.md");

#[test]
fn the_examples_are_clean_together() {
    let mut set = FileSet::default();
    let examples = PAGE.split("```ini\n").skip(1).filter_map(|rest| rest.split("```").next());
    for (example, name) in examples.zip(["caverns", "owners"]) {
        set.offer(DeclarationFile::new(name.parse().unwrap(), 1.into(), example));
    }
    let in_force = ConfigurationInForce::compute(&set);
    assert_eq!(in_force.files.len(), 2);
    assert_eq!((in_force.refused, in_force.blocked), (vec![], vec![]));
}
