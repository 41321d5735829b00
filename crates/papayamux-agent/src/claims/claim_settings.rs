//! The section `[claims]` of the agent's settings.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bon::Builder;
use papayamux_settings::{DurationSetting, IniFile};
use papayamux_state::claims::{DeclaredServer, FleetView};
use papayamux_state::quantities::ByteCount;

/// Maximum offset between the wall clocks of two instances; see [`ClaimSettings::ready_in`].
const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// Settings of claims. `retention`, `witnesses` and `fleet` must be equal in the whole fleet,
/// because they are part of the fleet digest that each claim carries.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ClaimSettings {
    /// The duration for which a key is remembered.
    #[builder(default = Duration::from_secs(900))]
    pub retention: Duration,
    /// The number of witnesses of a key.
    #[builder(default = 3)]
    pub witnesses: usize,
    /// The declared servers, each with its failure domain. If the list is empty, the witness
    /// learns the fleet from the claims that it grants.
    #[builder(default)]
    pub fleet: Vec<DeclaredServer>,
    /// The Unix time in seconds from which the fleet accepts calls with keys.
    pub opens_at: Option<u64>,
    /// Maximum number of remembered claims.
    #[builder(default = 65_536)]
    pub most_claims: usize,
    /// Maximum number of bytes of kept answers.
    #[builder(default = ByteCount::new(8 * 1024 * 1024))]
    pub kept_bytes: ByteCount,
}

impl ClaimSettings {
    /// Reads the section `[claims]`.
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

    /// Returns the declared fleet, or `None` if the settings declare none.
    pub fn view(&self) -> Option<FleetView> {
        if self.fleet.is_empty() {
            return None;
        }
        FleetView::new(self.fleet.clone(), self.witnesses, self.retention).ok()
    }

    /// Returns the time from a start at `now` during which a witness grants nothing, since an
    /// earlier incarnation may have granted keys. A witness that starts before `opens_at`, by more
    /// than the clock margin, has to wait only until then: no earlier incarnation can have granted
    /// any.
    pub fn ready_in(&self, now: SystemTime) -> Duration {
        let opens_at =
            self.opens_at.and_then(|seconds| UNIX_EPOCH.checked_add(Duration::from_secs(seconds)));
        let opens_in = opens_at.and_then(|opens_at| opens_at.duration_since(now).ok());
        match opens_in {
            Some(opens_in) if opens_in > CLOCK_MARGIN => opens_in.min(self.retention),
            _ => self.retention,
        }
    }
}
