//! Accepts connections and serves each on a thread of its own.

use std::io::BufReader;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use super::{Gate, Reply, Request};
use crate::error::Result;

/// Answers the requests of one listener.
pub trait Service: Send + Sync + 'static {
    /// Whether a new connection may stay open; `open` counts it.
    fn admits(&self, open: usize) -> bool {
        let _ = open;
        true
    }

    /// May block: every connection has its own thread.
    fn handle(&self, request: &Request) -> Reply;
}

#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds a port of 127.0.0.1; 0 picks a free one.
    pub fn bind(port: u16) -> Result<Self> {
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        let address = socket.local_addr()?;
        Ok(Listener { socket, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves on background threads until the process exits.
    pub fn spawn<S: Service>(self, gate: Arc<Gate>, service: Arc<S>) {
        thread::spawn(move || {
            for stream in self.socket.incoming() {
                match stream {
                    Ok(stream) => accept(stream, &gate, &service),
                    Err(error) => tracing::warn!(%error, "accept failed"),
                }
            }
        });
    }
}

fn accept<S: Service>(stream: TcpStream, gate: &Arc<Gate>, service: &Arc<S>) {
    let Ok(handle) = stream.try_clone() else {
        return;
    };
    if gate.is_crashed() {
        return;
    }
    let (number, open) = gate.connections.add(handle);
    if !service.admits(open) {
        gate.connections.remove(number);
        return;
    }
    let (gate, service) = (gate.clone(), service.clone());
    thread::spawn(move || {
        if let Err(error) = serve(&stream, &gate, &*service) {
            tracing::debug!(%error, "connection failed");
        }
        gate.connections.remove(number);
        let _ = stream.shutdown(Shutdown::Both);
    });
}

fn serve(stream: &TcpStream, gate: &Gate, service: &impl Service) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Some(request) = Request::read(&mut reader)? {
        if !gate.admits(&request) {
            return Ok(());
        }
        let reply = service.handle(&request);
        if gate.loses(&request, &reply) {
            tracing::debug!(uri = %request.uri, "answer lost");
            return Ok(());
        }
        match reply {
            Reply::Answer(response) => response.write(response.body.len(), &mut writer)?,
            Reply::Truncated(response) => {
                return response.write(response.body.len() / 2, &mut writer);
            }
            Reply::Close => return Ok(()),
        }
        if request.closes_connection() {
            return Ok(());
        }
    }
    Ok(())
}
