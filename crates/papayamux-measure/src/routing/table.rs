//! Formats many runs as tables with the median and range of each figure over the seeds.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::BufRead;

use serde_json::Value;

/// The columns: heading, field of the report and number of decimals.
const COLUMNS: [(&str, &str, usize); 18] = [
    ("warm", "warm", 3),
    ("token share", "warm_prompt_token_share", 3),
    ("of best", "share_of_best", 3),
    ("skew p50", "skew_p50", 2),
    ("skew max", "skew_max", 2),
    ("over c", "over_bound", 3),
    ("demand skew p50", "demand_skew_p50", 2),
    ("demand skew max", "demand_skew_max", 2),
    ("TTFT p50 ms", "ttft_p50_ms", 1),
    ("TTFT p95 ms", "ttft_p95_ms", 0),
    ("others p95 ms", "ttft_p95_others_ms", 0),
    ("plain p99 ms", "turnstile_p99_ms", 0),
    ("refused", "refused", 0),
    ("failed", "failed", 0),
    ("cut", "cut", 0),
    ("control B/s router", "control_bytes_per_s_router", 0),
    ("control B/s agent", "control_bytes_per_s_agent", 0),
    ("load average", "load_average", 0),
];

/// Runs grouped by site, scenario and policy, in the order of first occurrence.
#[derive(Debug, Default)]
struct RunGroups {
    order: Vec<[String; 3]>,
    runs: BTreeMap<[String; 3], Vec<Value>>,
}

impl RunGroups {
    fn add(&mut self, run: Value) {
        let label = |field: &str| run[field].as_str().unwrap_or_default().to_string();
        let key = [label("site"), label("scenario"), label("policy")];
        if !self.runs.contains_key(&key) {
            self.order.push(key.clone());
        }
        self.runs.entry(key).or_default().push(run);
    }
}

/// Reads reports, one JSON line each, and returns a Markdown table per site and scenario.
pub fn tabulate(lines: impl BufRead) -> Result<String, Box<dyn std::error::Error>> {
    let mut groups = RunGroups::default();
    for line in lines.lines() {
        let line = line?;
        if line.starts_with('{') {
            groups.add(serde_json::from_str(&line)?);
        }
    }
    let mut text = String::new();
    let mut heading = String::new();
    for key in &groups.order {
        let [site, scenario, policy] = key;
        let runs = &groups.runs[key];
        if heading != format!("{site}, {scenario}") {
            heading = format!("{site}, {scenario}");
            write_heading(&mut text, &heading);
        }
        let _ = write!(text, "| {policy} | {} |", runs.len());
        for (_, field, digits) in COLUMNS {
            let _ = write!(text, " {} |", cell(runs, field, digits));
        }
        text.push('\n');
    }
    Ok(text)
}

fn write_heading(text: &mut String, heading: &str) {
    let _ = write!(text, "\n**{heading}**\n\n| policy | runs |");
    COLUMNS.iter().for_each(|(name, _, _)| {
        let _ = write!(text, " {name} |");
    });
    let _ = writeln!(text, "\n|---|{}", "---|".repeat(COLUMNS.len() + 1));
}

/// Formats a cell as `median (lowest–highest)`, or as a dash if no run has the figure.
fn cell(runs: &[Value], field: &str, digits: usize) -> String {
    let mut values: Vec<f64> = runs.iter().filter_map(|run| run[field].as_f64()).collect();
    values.sort_by(f64::total_cmp);
    let (Some(lowest), Some(highest)) = (values.first(), values.last()) else {
        return "–".to_string();
    };
    let median = values[(values.len() - 1) / 2];
    match lowest == highest {
        true => format!("{median:.digits$}"),
        false => format!("{median:.digits$} ({lowest:.digits$}–{highest:.digits$})"),
    }
}
