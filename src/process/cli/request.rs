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
use super::run::{new_client, path_argument, read_input};

/// Sends a request. Writes the answer only if it arrived in full.
pub(super) fn send(arguments: &ArgMatches, output: Output) -> Result<()> {
    let text = |id: &str| -> &Name { arguments.get_one(id).expect("clap requires the name") };
    let id = arguments
        .get_one::<Name>("id")
        .map_or_else(random_id, |id| id.to_string());
    let client = new_client(arguments)?;
    let body = read_input(path_argument(arguments, "body"))?;
    // Opened before the call, because an answer that cannot be written would be lost.
    let output_file = arguments
        .get_one::<PathBuf>("output")
        .map(|path| open_output(path).map(|file| (path, file)))
        .transpose()?;
    let call = Call {
        method: Method::POST,
        path: format!("/v1/requests/{}/{}", text("customer"), text("class")),
        request_id: Some(id.clone()),
        body: Some(body),
        effect: Effect::NonIdempotent,
        is_work: true,
    };
    let reply = client.call(&call).map_err(|error| {
        error.with_hint(|| {
            format!("the request id was {id}; --id {id} attaches to it while it runs")
        })
    })?;
    match output_file {
        Some((path, file)) => write_output(path, file, &reply.body),
        None => {
            output.write_bytes(&reply.body);
            Ok(())
        }
    }
}

/// Opens a file for writing. Its content stays until the answer has arrived.
fn open_output(path: &Path) -> Result<File> {
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

/// Replaces the content of the file.
fn write_output(path: &Path, mut file: File, bytes: &[u8]) -> Result<()> {
    file.set_len(0)
        .and_then(|()| file.write_all(bytes))
        .map_err(|source| Error::Write {
            path: path.to_owned(),
            source,
        })
}

/// Returns a random id. The keys of the hasher are random, which makes it very unlikely that
/// another request has the same id.
fn random_id() -> String {
    let random = || RandomState::new().build_hasher().finish();
    format!("cli-{:016x}-{:x}", random(), process::id())
}
