//! The regions to which requests are restricted.

use std::collections::BTreeSet;

use crate::ids::Region;

/// The regions in which requests of a route or an organisation may run. An empty set doesn't restrict
/// them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeRegions(BTreeSet<Region>);

impl HomeRegions {
    /// Returns whether requests may run in `region`, which is `None` if it isn't known. An unknown
    /// region is admitted only if there is no restriction.
    pub fn admit(&self, region: Option<&Region>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }

    /// Returns the regions, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &Region> {
        self.0.iter()
    }

    /// Returns whether requests are restricted to certain regions.
    pub fn bind(&self) -> bool {
        !self.0.is_empty()
    }
}

impl FromIterator<Region> for HomeRegions {
    fn from_iter<I: IntoIterator<Item = Region>>(regions: I) -> Self {
        Self(regions.into_iter().collect())
    }
}
