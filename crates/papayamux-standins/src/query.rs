//! Query parameters of request URIs.

use http::Uri;

/// Returns the value of a numeric query parameter, or `None` if it is absent or not a number.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
