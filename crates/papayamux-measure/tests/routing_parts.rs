//! Tests of the parts of the routing measurement that determine the meaning of its figures.

use std::time::Duration;

use papayamux_measure::routing::{
    control_bytes, tabulate, AnsweredTurn, LoadSample, PrefixOracle, RunTally, Scenario, SiteName,
    SiteProfile, SkewSummary, TurnOutcome, TurnRecord, Workload,
};

const SECONDS: f64 = 10.0;

fn workload(seed: u64, scenario: Scenario) -> Workload {
    Workload::generate(seed, &SiteProfile::of(SiteName::Yanchang), scenario, SECONDS)
}

#[test]
fn a_seed_gives_one_workload() {
    assert_eq!(workload(1, Scenario::Steady), workload(1, Scenario::Steady));
    assert_ne!(workload(1, Scenario::Steady).chats, workload(2, Scenario::Steady).chats);
}

#[test]
fn organisations_are_of_skewed_size_and_one_surges() {
    let chats_of = |scenario, organisation| {
        let chats = workload(3, scenario).chats;
        chats.iter().filter(|chat| chat.organisation == organisation).count()
    };
    assert!(chats_of(Scenario::Steady, 0) > 4 * chats_of(Scenario::Steady, 9));
    assert!(chats_of(Scenario::Surge, 3) > 3 * chats_of(Scenario::Steady, 3));
    assert_eq!(chats_of(Scenario::Surge, 0), chats_of(Scenario::Steady, 0));
}

#[test]
fn hot_chats_open_alike_and_name_no_conversation() {
    let chats = workload(4, Scenario::Hot).chats;
    let openings = chats.iter().map(|chat| &chat.turns[0].text);
    let most = openings.clone().max_by_key(|text| openings.clone().filter(|t| t == text).count());
    let hot: Vec<_> = chats.iter().filter(|chat| Some(&chat.turns[0].text) == most).collect();
    assert!(hot.len() * 5 > chats.len());
    assert!(hot.iter().all(|chat| chat.conversation.is_none() && chat.organisation == 0));
}

#[test]
fn the_best_placement_uses_the_longest_prefix_of_a_single_engine() {
    let mut oracle = PrefixOracle::default();
    oracle.store(0, &[1, 2, 3]);
    oracle.store(1, &[1, 4]);
    assert_eq!(oracle.best_blocks(&[1, 2, 3, 9]), 3);
    assert_eq!(oracle.best_blocks(&[1, 4, 3]), 2);
    oracle.forget(0b01);
    assert_eq!(oracle.best_blocks(&[1, 2, 3]), 1);
    oracle.forget(0b10);
    assert_eq!(oracle.best_blocks(&[1]), 0);
}

#[test]
fn small_means_do_not_count_towards_the_skew() {
    let sample = |millis, loads: &[u64]| LoadSample {
        at: Duration::from_millis(millis),
        loads: loads.to_vec(),
        demands: loads.iter().map(|load| load + 1).collect(),
    };
    let samples = [sample(50, &[9, 1]), sample(100, &[1, 0]), sample(200, &[6, 2])];
    let skew = SkewSummary::of(&samples, Duration::from_millis(60), Duration::from_secs(1));
    assert_eq!((skew.max, skew.most_above_mean), (1.5, 2.0));
    assert_eq!((skew.samples, skew.left_out), (1, 1));
    assert_eq!(skew.over_bound, 0.0);
    let samples = [sample(100, &[7, 0, 0]), sample(200, &[4, 1, 1])];
    let skew = SkewSummary::of(&samples, Duration::ZERO, Duration::from_secs(1));
    assert_eq!(skew.over_bound, 0.5);
    assert_eq!(samples[0].of_demands().loads, [8, 1, 1]);
}

#[test]
fn a_returning_turn_is_warm_when_all_history_was_cached() {
    let turn = |history_blocks, cached_tokens| TurnRecord {
        sent: Duration::ZERO,
        organisation: 0,
        prompt_tokens: 100,
        answer_tokens: 10,
        history_blocks,
        best_blocks: 4,
        outcome: TurnOutcome::Answered(AnsweredTurn {
            cached_tokens,
            first_token: Duration::from_millis(5),
            token_gap: Duration::from_millis(4),
        }),
    };
    let turns = [turn(0, 0), turn(4, 64), turn(4, 48)];
    let warm: Vec<_> = turns.iter().map(|turn| (turn.is_returning(), turn.is_warm())).collect();
    assert_eq!(warm, [(false, true), (true, true), (true, false)]);
    let tally = RunTally { turns: turns.to_vec(), ..RunTally::default() };
    assert_eq!(tally.token_share(|_, answer| answer.cached_tokens), 112.0 / 300.0);
}

#[test]
fn control_bytes_are_summed_or_unknown() {
    let page = "# HELP x_control_bytes Bytes\nx_control_bytes_total{way=\"in\"} 40\n\
                x_control_bytes_total{way=\"out\"} 2\nother_total 7\n# EOF\n";
    assert_eq!(control_bytes(page), Some(42.0));
    assert_eq!(control_bytes("other_total 7\n"), None);
}

#[test]
fn a_table_shows_the_median_and_the_spread() -> Result<(), Box<dyn std::error::Error>> {
    let line = |warm: f64| {
        format!(
            "{{\"site\":\"s\",\"scenario\":\"hot\",\"policy\":\"p\",\"warm\":{warm},\
             \"refused\":2,\"control_bytes_per_s_router\":null}}\n"
        )
    };
    let table = tabulate([line(0.5), line(0.75), line(0.25)].concat().as_bytes())?;
    let row = table.lines().last().unwrap_or_default();
    assert!(row.starts_with("| p | 3 | 0.500 (0.250–0.750) |"), "{row}");
    assert!(row.contains("| 2 |") && row.ends_with("| – |"), "{row}");
    Ok(())
}
