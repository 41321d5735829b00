//! `papayamux-measure table`.

use super::MeasureTask;
use crate::routing::tabulate;

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "table",
    purpose: "read the lines of routing from the standard input and print tables",
    declare: |_| {},
    run: |_| {
        print!("{}", tabulate(std::io::stdin().lock())?);
        Ok(())
    },
};
