//! Addresses: IP numbers only, because entry hosts use no name service.

use std::net::{IpAddr, SocketAddr};

pub(super) const SOCKET: &str = "an IP number and a port from 1 to 65535, such as 10.1.0.7:7400";
pub(super) const URL: &str = "http:// with an IP number, optionally a port, such as \
                              http://10.1.0.9:8080";

pub(super) fn socket(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() != 0)
}

/// Parses `http://IP[:port]` and returns it without a trailing slash.
pub(super) fn url(text: &str) -> Option<String> {
    let base = text.strip_suffix('/').unwrap_or(text);
    let authority = base.strip_prefix("http://")?;
    let bracketed = |ip: &str| {
        ip.strip_prefix('[')
            .and_then(|ip| ip.strip_suffix(']'))
            .map_or_else(|| ip.to_owned(), str::to_owned)
    };
    let known = socket(authority).is_some() || bracketed(authority).parse::<IpAddr>().is_ok();
    known.then(|| base.to_owned())
}
