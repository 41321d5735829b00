//! Findings name their place, and come all at once.

use bolero::check;
use papayamux_settings::{IniFile, Millis};

/// Inputs tried by the property.
const INPUTS: usize = 10_000;

#[test]
fn no_text_makes_the_reader_panic() {
    check!().with_iterations(INPUTS).for_each(|bytes: &[u8]| {
        let Ok(text) = std::str::from_utf8(bytes) else { return };
        if let Ok(file) = IniFile::parse("fuzz.ini", text) {
            let section = file.section("router");
            let _: Option<Millis> = section.required("within");
            section.refuse_other_keys();
            file.refuse_other_sections(&["router"], &["server"]);
            let _ = file.finish(|| Some(()));
        }
    });
}

#[test]
fn repeats_and_strays_are_found() {
    let text = "stray = 1\n[a]\nx = 1\nx = 2\n; note\n[a]\ny = 3\n";
    let file = IniFile::parse("teams.ini", text).unwrap();
    let findings = file.finish(|| Some(())).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}
