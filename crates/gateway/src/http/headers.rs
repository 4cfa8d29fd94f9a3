//! Filters hop-by-hop headers.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Returns the headers that a proxy forwards: all but hop-by-hop headers, headers listed in `Connection`, and
/// `Content-Length`, which is set from the body.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(name)
            && name != KEEP_ALIVE
            && name != PROXY_CONNECTION
            && !connection_options.iter().any(|option| option == name.as_str())
    };
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if is_forwarded(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
