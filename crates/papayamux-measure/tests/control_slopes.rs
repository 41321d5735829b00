//! Tests of slope fitting, spreads and the names of the parts.

use papayamux_measure::control::{fit_slope, ControlPart, Spread, ALL_PARTS};

#[test]
fn fit_slope_uses_least_squares() {
    assert_eq!(fit_slope(&[(0.0, 5.0), (10.0, 25.0), (20.0, 45.0)]), 2.0);
    assert_eq!(fit_slope(&[(3.0, 5.0), (3.0, 9.0)]), 0.0);
    assert_eq!(fit_slope(&[]), 0.0);
}

#[test]
fn a_spread_has_the_lowest_median_and_highest_value() {
    let spread = Spread::over(vec![3.0, 1.0, 2.0]);
    assert_eq!((spread.low, spread.median, spread.high), (1.0, 2.0, 3.0));
}

#[test]
fn parts_are_parsed_by_name() {
    for part in ALL_PARTS {
        assert_eq!(part.to_string().parse(), Ok(part));
    }
    assert!("nonsense".parse::<ControlPart>().is_err());
}
