//! `papayamux explain`: which file and revision decide an item, and what was refused and why.

use papayamux_declarations::{ConfigurationInForce, DeclarationFile, ExplainQuery, Explanation};

use crate::input_files::file_set;
use crate::output::{CommandOutput, ExitMeaning};
use crate::wire::{to_json, ExplanationWire};

/// Answers `queries` from the configuration of a process that has received `files`.
pub fn explain_files(
    files: &[DeclarationFile],
    queries: Vec<ExplainQuery>,
    json: bool,
) -> CommandOutput {
    let in_force = ConfigurationInForce::compute(&file_set(files));
    let explanations: Vec<_> =
        queries.into_iter().map(|query| Explanation::new(&in_force, query)).collect();
    let all_in_force = explanations.iter().all(|explanation| explanation.origin.is_some());
    let exit = if all_in_force { ExitMeaning::Clean } else { ExitMeaning::Findings };
    let text = match json {
        true => to_json(&explanations.iter().map(ExplanationWire::from).collect::<Vec<_>>()),
        false => explanations.iter().map(Explanation::to_string).collect(),
    };
    CommandOutput::new(exit, text)
}
