use std::rc::Rc;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures::{FutureExt, future};

use super::{
    call::{Caller, expect_ok},
    message::{
        COMMIT_PATH, EXCHANGE_PATH_SUFFIX, LIST_MEMBERS_PATH,
        LIST_OBJECTS_PATH, ListObjectsRequest, OBJECT_PATH_PREFIX, READ_PATH,
        REGISTER_PATH, ReadRequest, SCAN_PATH, ScanRequest,
    },
    options::HttpOptions,
};
use crate::port::{
    DirectoryPort, ObjectPort, Platform, PortError, PortFuture, TablePort,
    WorkerPort,
};

/// Returns the ports to a platform over HTTP, for the calling thread, which
/// must run an `actix_rt` system.
///
/// # Errors
///
/// A closure fails with [`PortError::Unavailable`] if no connection opened or
/// the server reports that the call had no effect, and with
/// [`PortError::Unknown`] after a time-out, a broken connection or any other
/// refusal.
pub fn platform(options: HttpOptions) -> Platform {
    let caller = Caller::new(options);
    Platform {
        table: table_port(&caller),
        objects: object_port(&caller),
        directory: directory_port(&caller),
        workers: worker_port(&caller),
    }
}

fn table_port(caller: &Caller) -> TablePort {
    let (commit, read, scan) =
        (caller.clone(), caller.clone(), caller.clone());
    TablePort {
        commit: Rc::new(move |transaction| {
            let caller = commit.clone();
            let url = caller.url(COMMIT_PATH);
            async move { caller.post(url, &transaction).await }.boxed_local()
        }),
        read: Rc::new(move |key| {
            let caller = read.clone();
            let url = caller.url(READ_PATH);
            let request = ReadRequest { key };
            async move { caller.post_read(url, &request).await }.boxed_local()
        }),
        scan: Rc::new(move |prefix, after, limit| {
            let caller = scan.clone();
            let url = caller.url(SCAN_PATH);
            let request = ScanRequest { prefix, after, limit };
            async move { caller.post_read(url, &request).await }.boxed_local()
        }),
    }
}

fn object_port(caller: &Caller) -> ObjectPort {
    let (put, get) = (caller.clone(), caller.clone());
    let (list, delete) = (caller.clone(), caller.clone());
    ObjectPort {
        put: Rc::new(move |name, content| {
            with_object(&put, name, |caller, url| async move {
                let answer = caller.send(Method::PUT, url, content).await?;
                expect_ok(&answer)
            })
        }),
        get: Rc::new(move |name| {
            with_object(&get, name, |caller, url| async move {
                let answer =
                    caller.fetch(Method::GET, url, Bytes::new()).await?;
                if answer.status == StatusCode::NO_CONTENT {
                    return Ok(None);
                }
                expect_ok(&answer)?;
                Ok(Some(answer.body))
            })
        }),
        list: Rc::new(move |prefix| {
            let caller = list.clone();
            let url = caller.url(LIST_OBJECTS_PATH);
            let request = ListObjectsRequest { prefix };
            async move { caller.post_read(url, &request).await }.boxed_local()
        }),
        delete: Rc::new(move |name| {
            with_object(&delete, name, |caller, url| async move {
                let answer =
                    caller.send(Method::DELETE, url, Bytes::new()).await?;
                expect_ok(&answer)
            })
        }),
    }
}

fn directory_port(caller: &Caller) -> DirectoryPort {
    let (list, register) = (caller.clone(), caller.clone());
    DirectoryPort {
        list: Rc::new(move || {
            let caller = list.clone();
            let url = caller.url(LIST_MEMBERS_PATH);
            async move { caller.post_read(url, &()).await }.boxed_local()
        }),
        register: Rc::new(move |entry| {
            let caller = register.clone();
            let url = caller.url(REGISTER_PATH);
            async move { caller.post(url, &entry).await }.boxed_local()
        }),
    }
}

fn worker_port(caller: &Caller) -> WorkerPort {
    let caller = caller.clone();
    WorkerPort {
        exchange: Rc::new(move |address, request| {
            let caller = caller.clone();
            let url = format!("http://{address}{EXCHANGE_PATH_SUFFIX}");
            async move { caller.post(url, &request).await }.boxed_local()
        }),
    }
}

/// Runs `call` with the URL of an object. Fails without a call if the name has
/// characters that aren't allowed in the path.
fn with_object<T: 'static, F>(
    caller: &Caller,
    name: String,
    call: impl FnOnce(Caller, String) -> F,
) -> PortFuture<T>
where
    F: Future<Output = Result<T, PortError>> + 'static,
{
    let allowed = |c: char| c.is_ascii_alphanumeric() || "/-_.".contains(c);
    if name.is_empty() || !name.chars().all(allowed) {
        let why = format!(
            "object name {name:?}: ASCII letters, digits, `/`, `-`, `_` and \
             `.` are allowed"
        );
        return future::ready(Err(PortError::Unavailable(why))).boxed_local();
    }
    let url = caller.url(&format!("{OBJECT_PATH_PREFIX}{name}"));
    call(caller.clone(), url).boxed_local()
}
