//! HTTP caller that controls every byte that it sends.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Default timeout of reads and writes.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

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

    /// The fields `error` and `ran` of an error answer.
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
        stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(DEFAULT_TIMEOUT)).unwrap();
        Caller {
            reader: BufReader::new(stream),
        }
    }

    /// Sets the timeout of reads.
    pub fn set_timeout(&self, timeout: Duration) {
        self.reader
            .get_ref()
            .set_read_timeout(Some(timeout))
            .unwrap();
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
    pub fn send_head(&mut self, path: &str, length: usize) {
        self.send(format!(
            "POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n"
        ));
    }

    /// Sends the head of a request with a chunked body.
    pub fn send_chunked_head(&mut self, path: &str) {
        self.send(format!(
            "POST {path} HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n"
        ));
    }

    pub fn post(&mut self, path: &str, body: &[u8]) {
        self.send_head(path, body.len());
        self.send(body);
    }

    /// Closes the sending half of the connection; answers can still be read.
    pub fn close_sending(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    pub fn answer(&mut self) -> Answer {
        self.try_answer().expect("a whole answer arrives in time")
    }

    /// Reads the next answer. Fails if the connection closes before its end, or if nothing arrives
    /// until the timeout.
    pub fn try_answer(&mut self) -> Result<Answer> {
        let status = self.read_line()?;
        let status = status
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let mut length = 0;
        loop {
            let line = self.read_line()?.to_ascii_lowercase();
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

    fn read_line(&mut self) -> Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        Ok(line.trim_end().to_owned())
    }

    /// Whether the server closes the connection before the timeout.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0))
    }
}
