//! Ranges of IP addresses, used to restrict who may connect.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use thiserror::Error;

/// The error of parsing an [`AddressRange`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an address range is an IP address, optionally followed by a slash and a prefix length")]
pub struct RangeError;

/// A range of addresses in CIDR notation: all addresses with the same leading bits.
///
/// ```
/// use papayamux_state::address_range::AddressRange;
/// let range: AddressRange = "10.1.0.0/16".parse().unwrap();
/// assert!(range.contains("10.1.200.3".parse().unwrap()));
/// assert!(!range.contains("10.2.0.1".parse().unwrap()));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressRange {
    base: IpAddr,
    prefix: u32,
}

/// Returns the bits of an address, left-aligned.
fn bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()) << (u128::BITS - u32::BITS),
        IpAddr::V6(address) => address.to_bits(),
    }
}

fn max_prefix_length(address: IpAddr) -> u32 {
    match address {
        IpAddr::V4(_) => u32::BITS,
        IpAddr::V6(_) => u128::BITS,
    }
}

impl AddressRange {
    /// Returns whether `address` is in the range. An IPv4-mapped IPv6 address counts as IPv4.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        if address.is_ipv4() != self.base.is_ipv4() {
            return false;
        }
        let differing = bits(address) ^ bits(self.base);
        self.prefix == 0 || differing >> (u128::BITS - self.prefix) == 0
    }
}

/// Returns whether `address` may connect. An empty list of ranges admits every address.
pub fn admits(ranges: &[AddressRange], address: IpAddr) -> bool {
    ranges.is_empty() || ranges.iter().any(|range| range.contains(address))
}

impl fmt::Display for AddressRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.base, self.prefix)
    }
}

impl FromStr for AddressRange {
    type Err = RangeError;

    fn from_str(text: &str) -> Result<Self, RangeError> {
        let (address, prefix) = match text.split_once('/') {
            Some((address, prefix)) => (address, Some(prefix)),
            None => (text, None),
        };
        let base: IpAddr = address.parse().map_err(|_| RangeError)?;
        let max_length = max_prefix_length(base);
        let prefix = match prefix {
            Some(prefix) => prefix.parse().map_err(|_| RangeError)?,
            None => max_length,
        };
        if prefix > max_length {
            return Err(RangeError);
        }
        Ok(Self { base, prefix })
    }
}
