//! `jayfork request`.

use std::fs::{File, OpenOptions};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process;

use clap::ArgMatches;
use http::Method;

use crate::base::Name;

use super::client::{Call, Effect};
use super::error::{Error, Result};
use super::output::Output;
use super::run::{client, path, read};

/// Sends a request; writes nothing unless the whole answer arrived.
pub(super) fn send(arguments: &ArgMatches, output: Output) -> Result<()> {
    let text = |id: &str| -> &Name { arguments.get_one(id).expect("clap requires the name") };
    let id = arguments
        .get_one::<Name>("id")
        .map_or_else(fresh_id, |id| id.to_string());
    let client = client(arguments)?;
    let body = read(path(arguments, "body"))?;
    // Opened first, because an answer that cannot be written is lost.
    let target = arguments
        .get_one::<PathBuf>("output")
        .map(|path| open(path).map(|file| (path, file)))
        .transpose()?;
    let call = Call {
        method: Method::POST,
        path: format!("/v1/requests/{}/{}", text("customer"), text("class")),
        request_id: Some(id.clone()),
        body: Some(body),
        effect: Effect::Once,
        work: true,
    };
    let reply = client.call(&call).map_err(|error| {
        error.with_hint(|| {
            format!("the request id was {id}; --id {id} attaches to it while it runs")
        })
    })?;
    match target {
        Some((path, file)) => write(path, file, &reply.body),
        None => {
            output.bytes(&reply.body);
            Ok(())
        }
    }
}

/// Opens for writing and keeps what the file holds until the answer is there.
fn open(path: &Path) -> Result<File> {
    OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(|source| Error::Write {
            path: path.to_owned(),
            source,
        })
}

fn write(path: &Path, mut file: File, bytes: &[u8]) -> Result<()> {
    file.set_len(0)
        .and_then(|()| file.write_all(bytes))
        .map_err(|source| Error::Write {
            path: path.to_owned(),
            source,
        })
}

/// An id that no other call uses, with overwhelming likelihood: the hasher's keys are random.
fn fresh_id() -> String {
    let random = || RandomState::new().build_hasher().finish();
    format!("cli-{:016x}-{:x}", random(), process::id())
}
