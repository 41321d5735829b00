//! Tests of delayed values, and of delayed and lost cache events.

use std::time::{Duration, Instant};

use papayamux_protocol::engine::CacheChange;
use papayamux_standins::engine::{EventLog, EventLogOptions};
use papayamux_standins::lagged::LaggedValue;

const LAG: Duration = Duration::from_secs(1);

fn stored(count: u64) -> Vec<CacheChange> {
    (1..=count).map(CacheChange::Stored).collect()
}

#[test]
fn a_reader_sees_the_value_of_some_time_ago() {
    let start = Instant::now();
    let mut value = LaggedValue::new(LAG, 0);
    value.set(start, 1);
    value.set(start + LAG / 2, 2);
    assert_eq!((*value.present(), *value.seen(start + LAG / 2)), (2, 0));
    assert_eq!(*value.seen(start + LAG), 1);
    assert_eq!(*value.seen(start + LAG + LAG / 2), 2);
}

#[test]
fn late_events_become_visible_in_order() {
    let start = Instant::now();
    let mut log = EventLog::new(EventLogOptions { lateness: LAG, ..EventLogOptions::default() });
    log.append(start, stored(2));
    log.append(start + LAG, stored(1));
    let early = log.page(start, 0, 10);
    assert_eq!((early.through, early.events.len(), log.last()), (0, 0, 3));
    let late = log.page(start + LAG, 0, 10);
    assert_eq!((late.through, late.events.len()), (2, 2));
    assert_eq!(log.page(start + LAG + LAG, late.through, 10).through, 3);
}

#[test]
fn lost_events_leave_their_numbers_missing() {
    let options = EventLogOptions { gap_share: 0.25, gap_seed: 7, ..EventLogOptions::default() };
    let now = Instant::now();
    let mut log = EventLog::new(options);
    log.append(now, stored(1_000));
    let page = log.page(now, 0, 1_000);
    assert_eq!(page.through, 1_000);
    let lost = 1_000 - page.events.len();
    assert!((150..350).contains(&lost), "{lost} lost");
    let right = |event: &papayamux_protocol::engine::CacheEvent| {
        event.change == CacheChange::Stored(event.number)
    };
    assert!(page.events.iter().all(right));
    let mut again = EventLog::new(options);
    again.append(now, stored(1_000));
    assert_eq!(again.page(now, 0, 1_000).events, page.events);
}

#[test]
fn a_page_and_the_log_are_bounded() {
    let options = EventLogOptions { capacity: 5, ..EventLogOptions::default() };
    let now = Instant::now();
    let mut log = EventLog::new(options);
    log.append(now, stored(20));
    let page = log.page(now, 3, 2);
    assert_eq!((page.first_kept, page.through), (16, 17));
    assert_eq!(page.events.first().map(|event| event.number), Some(16));
    assert_eq!(log.page(now, u64::MAX, 2).events, []);
}
