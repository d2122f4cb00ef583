//! Addresses in settings. They contain IP addresses only, because entry hosts do not use DNS.

use std::net::{IpAddr, SocketAddr};

pub(super) const SOCKET_FORM: &str =
    "an IP address and a port from 1 to 65535, such as 10.1.0.7:7400";
pub(super) const URL_FORM: &str = "http:// with an IP address, optionally a port, such as \
                              http://10.1.0.9:8080";

/// Parses `IP:port`.
pub(super) fn parse_socket(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() != 0)
}

/// Parses `http://IP[:port]` and returns it without a trailing slash.
pub(super) fn parse_url(text: &str) -> Option<String> {
    let base = text.strip_suffix('/').unwrap_or(text);
    let authority = base.strip_prefix("http://")?;
    let without_brackets = |ip: &str| {
        ip.strip_prefix('[')
            .and_then(|ip| ip.strip_suffix(']'))
            .map_or_else(|| ip.to_owned(), str::to_owned)
    };
    let is_valid =
        parse_socket(authority).is_some() || without_brackets(authority).parse::<IpAddr>().is_ok();
    is_valid.then(|| base.to_owned())
}
