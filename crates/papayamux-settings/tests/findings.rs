//! Parsing never panics, and all findings are reported together with their locations.

use bolero::check;
use papayamux_settings::{DurationSetting, IniFile};

/// Generated inputs of the property test.
const GENERATED_INPUTS: usize = 10_000;

#[test]
fn no_text_makes_the_reader_panic() {
    check!().with_iterations(GENERATED_INPUTS).for_each(|bytes: &[u8]| {
        let Ok(text) = std::str::from_utf8(bytes) else { return };
        if let Ok(file) = IniFile::parse("fuzz.ini", text) {
            let section = file.section("router");
            let _: Option<DurationSetting> = section.required("within");
            section.report_unknown_keys();
            file.report_unknown_sections(&["router"], &["server"]);
            let _ = file.finish(|| Some(()));
        }
    });
}

#[test]
fn duplicates_and_stray_keys_are_reported() {
    let text = "stray = 1\n[a]\nx = 1\nx = 2\n; note\n[a]\ny = 3\n";
    let file = IniFile::parse("teams.ini", text).unwrap();
    let findings = file.finish(|| Some(())).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}
