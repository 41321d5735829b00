//! Ranges of IP addresses that may connect.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use thiserror::Error;

/// Why a text is not a range of addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a range is an IP address, or one with a slash and its prefix length behind it")]
pub struct RangeError;

/// All addresses that share the leading bits of one address.
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

/// The bits of an address, left aligned.
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
    /// Whether `address` is in the range. An IPv4 address that came mapped into IPv6 counts as
    /// IPv4.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        if address.is_ipv4() != self.base.is_ipv4() {
            return false;
        }
        let differing = bits(address) ^ bits(self.base);
        self.prefix == 0 || differing >> (u128::BITS - self.prefix) == 0
    }
}

/// Whether `address` may connect: an empty list admits all.
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
        let longest = max_prefix_length(base);
        let prefix = match prefix {
            Some(prefix) => prefix.parse().map_err(|_| RangeError)?,
            None => longest,
        };
        if prefix > longest {
            return Err(RangeError);
        }
        Ok(Self { base, prefix })
    }
}
