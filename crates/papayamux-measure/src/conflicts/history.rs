//! Random histories: teams edit their files without coordination, and processes receive a part
//! of the submissions.

use std::collections::BTreeMap;

use papayamux_declarations::{DeclarationFile, FileName};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;

/// The number of items in the first submission of a file.
const INITIAL_ITEMS: usize = 6;
/// Maximum number of edits in one submission.
const MAX_EDITS: usize = 3;

/// The parameters of a random history.
#[derive(Debug, Clone, Copy)]
pub struct HistoryPlan {
    /// The number of teams, each with one file.
    pub teams: usize,
    /// The number of submissions after the first one of each team.
    pub submissions: usize,
    /// The percentage of new items whose name any team may use.
    pub shared_names: u32,
    /// The percentage of submissions that are invalid by themselves.
    pub invalid: u32,
}

#[derive(Debug, Clone, Default)]
struct TeamFile {
    sections: BTreeMap<String, String>,
    revision: u64,
}

/// Generates a history and returns its submissions in order.
pub fn generate_history(plan: HistoryPlan, random: &mut StdRng) -> Vec<DeclarationFile> {
    let mut files = vec![TeamFile::default(); plan.teams];
    let mut history = Vec::new();
    for team in 0..plan.teams {
        for _ in 0..INITIAL_ITEMS {
            add_item(plan, team, &mut files, random);
        }
        history.extend(submit(team, &mut files[team], true));
    }
    for _ in 0..plan.submissions {
        let team = random.random_range(0..plan.teams);
        for _ in 0..random.random_range(1..=MAX_EDITS) {
            edit(plan, team, &mut files, random);
        }
        let valid = !random.random_ratio(plan.invalid, 100);
        history.extend(submit(team, &mut files[team], valid));
    }
    history
}

fn edit(plan: HistoryPlan, team: usize, files: &mut [TeamFile], random: &mut StdRng) {
    let titles: Vec<_> = files[team].sections.keys().cloned().collect();
    match titles.choose(random) {
        Some(title) if titles.len() >= INITIAL_ITEMS => {
            files[team].sections.remove(title);
        }
        _ => add_item(plan, team, files, random),
    }
}

fn add_item(plan: HistoryPlan, team: usize, files: &mut [TeamFile], random: &mut StdRng) {
    let name = match random.random_ratio(plan.shared_names, 100) {
        true => format!("n{}", random.random_range(0..12)),
        false => format!("team-{team}/n{}", random.random_range(0..12)),
    };
    let weights = format!("version = {}\nweights = w\n", random.random_range(0..100));
    let (title, body) = match random.random_range(0..4) {
        0 => (format!("organisation {name}"), "share = 5%\n".to_string()),
        1 => (format!("model {name}"), weights),
        2 => match some_model(files, random) {
            Some(model) => (format!("adapter {name}"), format!("{weights}model = {model}\n")),
            None => (format!("model {name}"), weights),
        },
        _ => {
            let port = 1_000 * (team + 1) + random.random_range(0..1_000);
            let models = some_model(files, random).unwrap_or_default();
            let body = format!(
                "kind = engine\nagent = 10.0.0.1:{port}\nfailure_domain = d\nmodels = {models}\n"
            );
            (format!("server {name}"), body)
        }
    };
    files[team].sections.insert(title, body);
}

/// Samples a model that some file currently declares, as a team sees it when it writes a
/// reference.
fn some_model(files: &[TeamFile], random: &mut StdRng) -> Option<String> {
    let titles = files.iter().flat_map(|file| file.sections.keys());
    let models: Vec<_> = titles.filter_map(|title| title.strip_prefix("model ")).collect();
    models.choose(random).map(ToString::to_string)
}

fn submit(team: usize, file: &mut TeamFile, valid: bool) -> Option<DeclarationFile> {
    file.revision += 1;
    let name: FileName = format!("team-{team}").parse().ok()?;
    let mut text = format!("[team]\nname = {name}\n");
    for (title, body) in &file.sections {
        text.push_str(&format!("[{title}]\n{body}"));
    }
    if !valid {
        text.push_str("[mistake]\n");
    }
    Some(DeclarationFile::new(name, file.revision.into(), text))
}

/// Returns the submissions of `history` in the order in which one process receives them. `gap`
/// percent are missed and the others arrive up to `lag` positions late, because reads are stale
/// and peers relay what they have.
pub fn sample_received(
    history: &[DeclarationFile],
    (gap, lag): (u32, usize),
    random: &mut StdRng,
) -> Vec<DeclarationFile> {
    let mut received: Vec<(usize, &DeclarationFile)> = Vec::new();
    for (index, file) in history.iter().enumerate() {
        if !random.random_ratio(gap, 100) {
            received.push((index + random.random_range(0..=lag), file));
        }
    }
    received.sort_by_key(|(position, _)| *position);
    received.into_iter().map(|(_, file)| file.clone()).collect()
}
