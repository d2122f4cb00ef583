//! One HTTP/1.1 request.

use std::io::{BufRead, Read};

use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode, Uri};
use serde::de::DeserializeOwned;

use super::response::Response;
use crate::error::{Error, Result};

/// Maximum size of a request's head and body, in bytes; urgent requests have at most 16 MiB.
const MAX_HEAD_BYTES: u64 = 64 * 1024;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

#[derive(Debug)]
pub struct Request {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request of a connection; `None` if the client has closed the connection.
    pub fn read(reader: &mut impl BufRead) -> Result<Option<Request>> {
        let mut head = reader.by_ref().take(MAX_HEAD_BYTES);
        let Some(line) = read_line(&mut head)? else {
            return Ok(None);
        };
        let (method, uri) = parse_request_line(&line)?;
        let headers = read_headers(&mut head)?;
        let body = read_body(reader, &headers)?;
        Ok(Some(Request {
            method,
            uri,
            headers,
            body,
        }))
    }

    /// Returns the segments of the path, for example `["streams", "contracts", "records"]`.
    pub fn segments(&self) -> Vec<&str> {
        self.uri.path().trim_matches('/').split('/').collect()
    }

    /// Returns the numeric query parameter `name`.
    pub fn query(&self, name: &str) -> Option<u64> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON; the error is the response to a malformed body.
    pub fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Response> {
        serde_json::from_slice(&self.body).map_err(|error| {
            tracing::warn!(%error, uri = %self.uri, "malformed request body");
            Response::error(StatusCode::BAD_REQUEST, &error.to_string())
        })
    }

    pub fn is_control(&self) -> bool {
        self.segments()[0] == "control"
    }

    pub fn asks_to_close(&self) -> bool {
        self.headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(Error::Http("head is truncated or too large"));
    }
    line.truncate(line.trim_end().len());
    Ok(Some(line))
}

fn parse_request_line(line: &str) -> Result<(Method, Uri)> {
    let malformed = Error::Http("invalid request line");
    let mut parts = line.split(' ');
    let (Some(method), Some(uri), Some("HTTP/1.1"), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(malformed);
    };
    match (method.parse(), uri.parse()) {
        (Ok(method), Ok(uri)) => Ok((method, uri)),
        _ => Err(malformed),
    }
}

fn read_headers(reader: &mut impl BufRead) -> Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    loop {
        let line = read_line(reader)?.ok_or(Error::Http("truncated head"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line
            .split_once(':')
            .ok_or(Error::Http("header line without a colon"))?;
        let name: HeaderName = name
            .parse()
            .map_err(|_| Error::Http("invalid header name"))?;
        let value: HeaderValue = value
            .trim()
            .parse()
            .map_err(|_| Error::Http("invalid header value"))?;
        headers.append(name, value);
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HeaderMap) -> Result<Vec<u8>> {
    if headers.contains_key(http::header::TRANSFER_ENCODING) {
        return Err(Error::Http("transfer-encoding is not supported"));
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        return Ok(Vec::new());
    };
    let length: u64 = length
        .to_str()
        .ok()
        .and_then(|length| length.parse().ok())
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(Error::Http("invalid or too large content-length"))?;
    let mut body = Vec::with_capacity(length as usize);
    reader.by_ref().take(length).read_to_end(&mut body)?;
    if body.len() as u64 != length {
        return Err(Error::Http("truncated body"));
    }
    Ok(body)
}
