//! A caller that controls every byte it sends.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Longest wait for an answer.
pub const PATIENCE: Duration = Duration::from_secs(10);

pub struct Caller {
    reader: BufReader<TcpStream>,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// `error` and `ran` of an error answer.
    pub fn refusal(&self) -> (String, String) {
        let body: Value = serde_json::from_slice(&self.body).expect("refusals are JSON");
        let field = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        (field("error"), field("ran"))
    }
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the server listens");
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_write_timeout(Some(PATIENCE)).unwrap();
        Caller {
            reader: BufReader::new(stream),
        }
    }

    pub fn patience(&self, limit: Duration) {
        self.reader.get_ref().set_read_timeout(Some(limit)).unwrap();
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.try_send(bytes).expect("the server reads");
    }

    pub fn try_send(&mut self, bytes: impl AsRef<[u8]>) -> Result<()> {
        self.reader.get_mut().write_all(bytes.as_ref())
    }

    pub fn get(&mut self, path: &str) {
        self.send(format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n"));
    }

    /// Sends the head of a request whose body has `length` bytes.
    pub fn head(&mut self, path: &str, length: usize) {
        self.send(format!(
            "POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n"
        ));
    }

    pub fn head_chunked(&mut self, path: &str) {
        self.send(format!(
            "POST {path} HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n"
        ));
    }

    pub fn post(&mut self, path: &str, body: &[u8]) {
        self.head(path, body.len());
        self.send(body);
    }

    /// Sends nothing more, but still reads.
    pub fn finish(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    pub fn answer(&mut self) -> Answer {
        self.try_answer().expect("a whole answer arrives")
    }

    /// The next answer; an error if the connection closes or is silent before its end.
    pub fn try_answer(&mut self) -> Result<Answer> {
        let status = self.line()?;
        let status = status
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let mut length = 0;
        loop {
            let line = self.line()?.to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().expect("lengths are numbers");
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        Ok(Answer { status, body })
    }

    fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        Ok(line.trim_end().to_owned())
    }

    /// Whether the server closes the connection within the patience.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0))
    }
}
