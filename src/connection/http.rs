//! Blocking HTTP client for calls to the platform, to workers and to service instances.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::config::Config;
use ureq::http::{Response, Uri};
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Body, SendBody};

use super::error::{Error, Result};
use super::wire::LeaseRefusal;
use crate::version::MAX_BODY;

/// Idle connections are closed after this time, before a server is likely to close them: a call on
/// a connection that the server has closed fails with an unknown outcome.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Maximum size of an answer's body in bytes.
const MAX_ANSWER: u64 = MAX_BODY + 64 * 1024;

/// Size of each of the two buffers of a connection. The default of `ureq` is 128 KiB, too much with
/// an open connection to every backend server.
const BUFFER_BYTES: usize = 16 * 1024;

/// Resolver that reads IP addresses from the URL and leaves host names to the default resolver.
/// The default resolver starts a thread for every call with a timeout, even on an open connection:
/// 50 threads a second with 100 backend servers.
#[derive(Debug, Default)]
struct AddressResolver {
    fallback: DefaultResolver,
}

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        config: &Config,
        timeout: NextTimeout,
    ) -> std::result::Result<ResolvedSocketAddrs, ureq::Error> {
        let Some(address) = ip_address(uri) else {
            return self.fallback.resolve(uri, config, timeout);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}

/// Address of an `http` URL whose host is an IP address; `None` for other URLs.
fn ip_address(uri: &Uri) -> Option<SocketAddr> {
    if uri.scheme_str() != Some("http") {
        return None;
    }
    let host = uri.host()?.trim_matches(['[', ']']);
    let host: IpAddr = host.parse().ok()?;
    Some(SocketAddr::new(host, uri.port_u16().unwrap_or(80)))
}

/// Blocking HTTP client with keep-alive; clones share the connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    agent: Agent,
    /// Name of this host, sent with every call in the header `client`.
    host_name: String,
}

impl HttpClient {
    /// A client whose calls take at most `timeout` each and that keeps at most `connections` idle
    /// connections; `host_name` identifies this host to the server.
    pub fn new(host_name: &str, timeout: Duration, connections: usize) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .no_delay(true)
            .timeout_global(Some(timeout))
            .timeout_connect(Some(timeout.min(Duration::from_secs(1))))
            .max_idle_connections(connections)
            .max_idle_connections_per_host(connections)
            .max_idle_age(MAX_IDLE_TIME)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .build();
        let agent = Agent::with_parts(
            agent,
            DefaultConnector::default(),
            AddressResolver::default(),
        );
        HttpClient {
            agent,
            host_name: host_name.to_owned(),
        }
    }

    /// Sends `GET url` and decodes the JSON answer; `timeout` overrides that of the client.
    pub fn get<R: DeserializeOwned>(&self, url: &str, timeout: Option<Duration>) -> Result<R> {
        let mut request = self.agent.get(url).header("client", &self.host_name);
        if let Some(timeout) = timeout {
            request = request.config().timeout_global(Some(timeout)).build();
        }
        decode(url, read(url, request.call())?)
    }

    /// Sends `POST url` with a JSON body and decodes the JSON answer.
    pub fn post<T: Serialize, R: DeserializeOwned>(&self, url: &str, body: &T) -> Result<R> {
        let encoded = serde_json::to_vec(body).map_err(|error| Error::Decode {
            address: url.to_owned(),
            reason: error.to_string(),
        })?;
        self.post_bytes(url, &encoded)
    }

    /// Sends `POST url` with a raw body and decodes the JSON answer.
    pub fn post_bytes<R: DeserializeOwned>(&self, url: &str, body: &[u8]) -> Result<R> {
        let request = self.agent.post(url).header("client", &self.host_name);
        decode(url, read(url, request.send(body))?)
    }

    /// Sends `POST url` with headers and a raw body; returns the status and body of the answer,
    /// whatever the status.
    pub fn post_raw(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<(u16, Bytes)> {
        let mut request = self.agent.post(url).header("client", &self.host_name);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.config().timeout_global(Some(timeout)).build();
        let mut body = body.as_ref();
        let length = body.len().to_string();
        let request = request.header("content-length", length);
        read(url, request.send(SendBody::from_reader(&mut body)))
    }
}

fn read(
    url: &str,
    answer: std::result::Result<Response<Body>, ureq::Error>,
) -> Result<(u16, Bytes)> {
    let mut answer = answer.map_err(|error| call_error(url, &error))?;
    let status = answer.status().as_u16();
    let content_length = answer
        .headers()
        .get("content-length")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok());
    let body = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER)
        .read_to_vec()
        .map_err(|error| broken(url, &error))?;
    let length = body.len() as u64;
    if content_length.is_some_and(|content_length| content_length != length) {
        let reason = format!("answer ended after {length} of {content_length:?} bytes");
        return Err(Error::Broken {
            address: url.to_owned(),
            reason,
        });
    }
    Ok((status, Bytes::from(body)))
}

fn decode<R: DeserializeOwned>(url: &str, (status, body): (u16, Bytes)) -> Result<R> {
    if status == 409 {
        if let Ok(refusal) = serde_json::from_slice::<LeaseRefusal>(&body) {
            return Err(Error::Refused(refusal));
        }
    }
    if !(200..300).contains(&status) {
        return Err(Error::Status {
            address: url.to_owned(),
            status,
            body: body.to_vec(),
        });
    }
    serde_json::from_slice(&body).map_err(|error| Error::Decode {
        address: url.to_owned(),
        reason: error.to_string(),
    })
}

fn call_error(url: &str, error: &ureq::Error) -> Error {
    let is_unsent = match error {
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(timeout) => {
            matches!(timeout, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_unsent {
        return Error::NotSent {
            address: url.to_owned(),
            reason: error.to_string(),
        };
    }
    broken(url, error)
}

fn broken(url: &str, error: &ureq::Error) -> Error {
    Error::Broken {
        address: url.to_owned(),
        reason: error.to_string(),
    }
}
