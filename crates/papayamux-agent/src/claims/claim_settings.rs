//! Settings of claims: section `[claims]` of the agent's settings.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bon::Builder;
use papayamux_settings::{DurationSetting, IniFile};
use papayamux_state::claims::{DeclaredServer, FleetView};
use papayamux_state::quantities::ByteCount;

/// By how much the wall clocks of two instances may differ; see [`ClaimSettings::ready_in`].
const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// Settings of claims. `retention`, `witnesses` and `fleet` must be the same in the whole fleet:
/// the digest of the fleet that a claim names covers them.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ClaimSettings {
    /// How long a key is remembered.
    #[builder(default = Duration::from_secs(900))]
    pub retention: Duration,
    /// Witnesses of a key.
    #[builder(default = 3)]
    pub witnesses: usize,
    /// The declared servers, each with its failure domain. Where none are given, the witness
    /// learns of the fleet from the claims that it grants.
    #[builder(default)]
    pub fleet: Vec<DeclaredServer>,
    /// Seconds since 1970 at which the fleet takes its first calls with keys.
    pub opens_at: Option<u64>,
    /// Claims remembered at most.
    #[builder(default = 65_536)]
    pub most_claims: usize,
    /// Bytes of kept answers at most.
    #[builder(default = ByteCount::new(8 * 1024 * 1024))]
    pub kept_bytes: ByteCount,
}

impl ClaimSettings {
    /// Reads section `[claims]`.
    pub fn read(file: &IniFile) -> Self {
        let section = file.optional_section("claims");
        let settings = Self::builder()
            .maybe_retention(section.optional("retention").map(|time: DurationSetting| time.0))
            .maybe_witnesses(section.optional("witnesses"))
            .fleet(section.list("fleet"))
            .maybe_opens_at(section.optional("opens_at"))
            .maybe_most_claims(section.optional("most_claims"))
            .maybe_kept_bytes(section.optional("kept_bytes"))
            .build();
        if settings.witnesses.is_multiple_of(2) {
            section.report("witnesses", "the number of witnesses must be odd", "take 3 or 5");
        }
        section.report_unknown_keys();
        settings
    }

    /// The declared fleet, where it is given.
    pub fn view(&self) -> Option<FleetView> {
        if self.fleet.is_empty() {
            return None;
        }
        FleetView::new(self.fleet.clone(), self.witnesses, self.retention).ok()
    }

    /// How long after its start at `now` a witness grants nothing. A witness that starts before
    /// the fleet takes its first calls can't have had a predecessor that granted any.
    pub fn ready_in(&self, now: SystemTime) -> Duration {
        let opens_at = self.opens_at.map(|seconds| UNIX_EPOCH + Duration::from_secs(seconds));
        let opens_in = opens_at.and_then(|opens_at| opens_at.duration_since(now).ok());
        match opens_in {
            Some(opens_in) if opens_in > CLOCK_MARGIN => opens_in.min(self.retention),
            _ => self.retention,
        }
    }
}
