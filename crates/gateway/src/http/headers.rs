//! Filters hop-by-hop headers, and reads how a body is framed.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use stallmoor_core::serving::online::stream_end::BodyFraming;

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

/// Returns how the end of an answer's body is known, by its headers. A transfer coding overrides a length.
pub fn body_framing(headers: &HeaderMap) -> BodyFraming {
    let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let is_explicit = match coding {
        Some(coding) => coding.as_bytes().trim_ascii_end().to_ascii_lowercase().ends_with(b"chunked"),
        None => headers.contains_key(CONTENT_LENGTH),
    };
    if is_explicit { BodyFraming::Explicit } else { BodyFraming::UntilClose }
}

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
