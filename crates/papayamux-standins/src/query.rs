//! Parameters in the queries of requests.

use http::Uri;

/// The value of a parameter that is a number; `None` where it is absent or no number.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
