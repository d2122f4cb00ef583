use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;
use ureq::http::{Request, StatusCode};

/// HTTP client that opens a connection for every request and returns every status as a reply.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
    headers: Vec<(String, String)>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Client {
    pub fn new() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(Duration::from_secs(20)))
            .build()
            .new_agent();
        Client {
            agent,
            headers: Vec::new(),
        }
    }

    /// Adds a header to every request.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Sends a request; fails if the connection fails or closes before the complete answer.
    pub fn call(
        &self,
        method: &str,
        address: &str,
        path: &str,
        body: impl Into<Vec<u8>>,
    ) -> Result<Reply, ureq::Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(body.into())?;
        let request = self
            .agent
            .configure_request(request)
            .allow_non_standard_methods(true)
            .build();
        let mut response = self.agent.run(request)?;
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(64 * 1024 * 1024)
            .read_to_vec()?;
        Ok(Reply { status, body })
    }

    pub fn get(&self, address: &str, path: &str) -> Result<Reply, ureq::Error> {
        self.call("GET", address, path, Vec::new())
    }

    pub fn post(
        &self,
        address: &str,
        path: &str,
        body: impl Into<Vec<u8>>,
    ) -> Result<Reply, ureq::Error> {
        self.call("POST", address, path, body)
    }

    pub fn post_json(
        &self,
        address: &str,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Reply, ureq::Error> {
        let body = serde_json::to_vec(body).expect("test bodies are valid JSON");
        self.post(address, path, body)
    }
}

impl Reply {
    /// Returns the body parsed as JSON; panics unless the status is 200.
    pub fn ok<T: DeserializeOwned>(&self) -> T {
        assert_eq!(self.status, StatusCode::OK.as_u16(), "{}", self.text());
        self.json()
    }

    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{:?}: {error}", self.text()))
    }

    /// Returns the field `error` of an error answer.
    pub fn error(&self) -> String {
        let body: Value = self.json();
        body["error"].as_str().unwrap_or_default().to_owned()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
