//! What routers know of a configuration that can't be read, in any order of reads and reports.

use bolero::{check, TypeGenerator};
use papayamux_coordination::configuration_readability::ConfigurationReadability;
use papayamux_state::source::{SourceEra, SourcePosition};

/// Number of routers in a generated sequence.
const ROUTERS: usize = 3;
/// Number of generated sequences.
const SEQUENCES: usize = 20_000;

fn at(revision: u64) -> SourcePosition {
    SourcePosition::new(SourceEra(0), revision)
}

#[test]
fn late_reads_do_not_bring_an_earlier_configuration_back() {
    let mut readability = ConfigurationReadability::default();
    assert!(!readability.record(at(5), true));
    assert!(readability.record(at(9), false));
    assert!(!readability.record(at(5), true));
    assert!(!readability.is_readable());
    assert!(readability.record(at(12), true));
    assert!(!readability.record(at(9), false));
    assert!(readability.is_readable());
    // In a later era the revision starts anew.
    assert!(readability.record(SourcePosition::new(SourceEra(1), 2), false));
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// A configuration is written that can be read, or not.
    Write(bool),
    /// A router reads the source as it was some writes ago.
    Read { router: u8, writes_ago: u8 },
    /// A router reports to another one.
    Report { from: u8, to: u8 },
}

/// A router, with the write up to which it knows the source.
#[derive(Debug, Clone, Copy, Default)]
struct Router {
    known: usize,
    readability: ConfigurationReadability,
}

#[test]
fn routers_agree_with_the_latest_write_that_they_know() {
    check!().with_iterations(SEQUENCES).with_type::<Vec<Step>>().for_each(|steps| {
        let mut writes = vec![true];
        let mut routers = [Router::default(); ROUTERS];
        for step in steps {
            match *step {
                Step::Write(is_readable) => writes.push(is_readable),
                Step::Read { router, writes_ago } => {
                    let router = &mut routers[usize::from(router) % ROUTERS];
                    let read = (writes.len() - 1).saturating_sub(usize::from(writes_ago));
                    let revision = u64::try_from(read).unwrap_or_default();
                    router.readability.record(at(revision), writes[read]);
                    router.known = router.known.max(read);
                }
                Step::Report { from, to } => {
                    let sender = routers[usize::from(from) % ROUTERS];
                    let receiver = &mut routers[usize::from(to) % ROUTERS];
                    let revision = u64::try_from(sender.known).unwrap_or_default();
                    let readable = sender.readability.is_readable();
                    receiver.readability.record(at(revision), readable);
                    receiver.known = receiver.known.max(sender.known);
                }
            }
        }
        for router in routers {
            assert_eq!(router.readability.is_readable(), writes[router.known], "{router:?}");
        }
    });
}
