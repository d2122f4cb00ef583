//! Accepts connections and serves each on a thread of its own.

use std::io::BufReader;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use super::{NetworkFaults, Reply, Request};
use crate::error::Result;

/// Answers the requests of one listener.
pub trait Service: Send + Sync + 'static {
    /// Whether to keep a new connection; `open` is the number of connections including it.
    fn accepts_connection(&self, open: usize) -> bool {
        let _ = open;
        true
    }

    /// Answers a request. It may block, because every connection has its own thread.
    fn handle(&self, request: &Request) -> Reply;
}

#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds a port of 127.0.0.1; 0 binds any free port.
    pub fn bind(port: u16) -> Result<Self> {
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        let address = socket.local_addr()?;
        Ok(Listener { socket, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves on background threads until the process exits.
    pub fn spawn<S: Service>(self, faults: Arc<NetworkFaults>, service: Arc<S>) {
        thread::spawn(move || {
            for stream in self.socket.incoming() {
                match stream {
                    Ok(stream) => accept(stream, &faults, &service),
                    Err(error) => tracing::warn!(%error, "cannot accept a connection"),
                }
            }
        });
    }
}

fn accept<S: Service>(stream: TcpStream, faults: &Arc<NetworkFaults>, service: &Arc<S>) {
    let Ok(handle) = stream.try_clone() else {
        return;
    };
    if faults.is_crashed() {
        return;
    }
    let (number, open) = faults.connections.add(handle);
    if !service.accepts_connection(open) {
        faults.connections.remove(number);
        return;
    }
    let (faults, service) = (faults.clone(), service.clone());
    thread::spawn(move || {
        if let Err(error) = serve(&stream, &faults, &*service) {
            tracing::debug!(%error, "connection failed");
        }
        faults.connections.remove(number);
        let _ = stream.shutdown(Shutdown::Both);
    });
}

fn serve(stream: &TcpStream, faults: &NetworkFaults, service: &impl Service) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Some(request) = Request::read(&mut reader)? {
        if !faults.wait_until_admitted(&request) {
            return Ok(());
        }
        let reply = service.handle(&request);
        if faults.drops_answer(&request, &reply) {
            tracing::debug!(uri = %request.uri, "answer dropped by an injected fault");
            return Ok(());
        }
        match reply {
            Reply::Answer(response) => response.write(response.body.len(), &mut writer)?,
            Reply::Truncated(response) => {
                return response.write(response.body.len() / 2, &mut writer);
            }
            Reply::Close => return Ok(()),
        }
        if request.asks_to_close() {
            return Ok(());
        }
    }
    Ok(())
}
