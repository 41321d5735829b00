//! `papayamux check`: whether the fleet would accept files, each alone and all together.

use std::fmt::Write;

use papayamux_declarations::{ConfigurationInForce, DeclarationFile, FileRefusal};
use papayamux_settings::Findings;

use crate::input_files::file_set;
use crate::output::{CommandOutput, ExitMeaning};
use crate::wire::{to_json, BlockedWire, FileWire, RefusalWire, VerdictWire};

/// Checks `files`. If several revisions of a file are given, the newest is checked.
pub fn check_files(files: &[DeclarationFile], json: bool) -> CommandOutput {
    let in_force = ConfigurationInForce::compute(&file_set(files));
    let refused: Vec<_> =
        in_force.refused.iter().map(|refusal| (refusal, all_findings(files, refusal))).collect();
    let conflicts = in_force.blocked.iter().filter(|blocked| blocked.reason.is_conflict()).count();
    let clean = refused.is_empty() && conflicts == 0;
    let exit = if clean { ExitMeaning::Clean } else { ExitMeaning::Findings };
    let text = match json {
        true => to_json(&verdict(&in_force, &refused, clean)),
        false => report(&in_force, &refused, conflicts),
    };
    CommandOutput::new(exit, text)
}

/// Returns all findings of a refused revision; the refusal itself keeps only the first ones.
fn all_findings(files: &[DeclarationFile], refusal: &FileRefusal) -> Findings {
    let revision = refusal.refused.revision;
    let mut refused =
        files.iter().filter(|file| file.name == refusal.file && file.revision == revision);
    let findings = refused.find_map(|file| file.parse().err());
    findings.unwrap_or_else(|| Findings(refusal.refused.findings.clone()))
}

fn verdict(
    in_force: &ConfigurationInForce,
    refused: &[(&FileRefusal, Findings)],
    clean: bool,
) -> VerdictWire {
    let files = in_force
        .files
        .iter()
        .map(|(file, revision)| FileWire { file: file.to_string(), revision: revision.get() });
    let refused =
        refused.iter().map(|(refusal, findings)| RefusalWire::with_findings(refusal, &findings.0));
    VerdictWire {
        clean,
        files: files.collect(),
        refused: refused.collect(),
        blocked: in_force.blocked.iter().map(BlockedWire::from).collect(),
        digest: in_force.digest().to_string(),
    }
}

fn report(
    in_force: &ConfigurationInForce,
    refused: &[(&FileRefusal, Findings)],
    conflicts: usize,
) -> String {
    let mut text = String::new();
    for (refusal, findings) in refused {
        let FileRefusal { file, in_force, refused } = refusal;
        let fallback = match in_force {
            Some(revision) => format!("{file}@{revision} stays in force"),
            None => "no valid revision is known".to_string(),
        };
        let _ = writeln!(text, "refused: {file}@{}; {fallback}", refused.revision);
        let _ = writeln!(text, "{findings}");
    }
    for blocked in &in_force.blocked {
        let _ = writeln!(text, "without effect: {blocked}");
    }
    for (file, revision) in &in_force.files {
        let _ = writeln!(text, "in force: {file}@{revision}");
    }
    let _ = writeln!(
        text,
        "{} in force, {} refused, {conflicts} conflicts; digest {}",
        in_force.files.len(),
        refused.len(),
        in_force.digest(),
    );
    text
}
