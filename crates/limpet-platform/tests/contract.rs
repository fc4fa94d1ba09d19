//! The contract of the ports, checked on each adapter.

use std::net::TcpListener;

use bytes::Bytes;
use limpet_core::{
    DataCentre, Epoch, InstanceId, JobId, Resources, ShardId, TaskId,
};
use limpet_platform::{
    Clock, CommitAnswer, Condition, InstanceEntry, MemberState, Platform,
    PortError, Row, Transaction, WorkerCommand, WorkerRequest, Write,
    embedded::{self, EmbeddedOptions},
    http::{self, HttpOptions},
};
use limpet_standin::platform::PlatformServer;

/// Runs a case on the adapter in memory and on the one over HTTP.
fn on_each_adapter(case: impl AsyncFn(Platform)) {
    let options = EmbeddedOptions::new().workers(2);
    let memory = embedded::platform(&options, Clock::monotonic());
    actix_rt::System::new().block_on(case(memory.ports()));

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let prefix = PlatformServer::worker_address(address);
    let options = options.worker_address(&prefix);
    let served = embedded::platform(&options, Clock::monotonic());
    let server = PlatformServer::start_on(served, listener).unwrap();
    actix_rt::System::new().block_on(async {
        // A call that hangs fails the case with its time-out.
        let options = HttpOptions::new(address).timeout_ms(10_000);
        case(http::platform(options)).await;
    });
    server.stop().unwrap();
}

fn transaction(
    token: &str,
    conditions: &[(&str, u64)],
    writes: &[(&str, Option<&str>)],
) -> Transaction {
    let condition = |&(key, version): &(&str, u64)| Condition {
        key: key.to_owned(),
        version,
    };
    let write = |&(key, value): &(&str, Option<&str>)| Write {
        key: key.to_owned(),
        value: value.map(str::to_owned),
    };
    Transaction {
        token: token.to_owned(),
        conditions: conditions.iter().map(condition).collect(),
        writes: writes.iter().map(write).collect(),
    }
}

fn keys(rows: &[Row]) -> Vec<&str> {
    rows.iter().map(|row| row.key.as_str()).collect()
}

#[test]
fn commit_conditions() {
    on_each_adapter(async |platform| {
        let commit = |t| (platform.table.commit)(t);
        let first = transaction("t1", &[("a", 0)], &[("a", Some("1"))]);
        let answer = commit(first.clone()).await.unwrap();
        assert_eq!(answer, CommitAnswer::Committed { version: 1 });
        // The row exists by now, so the same transaction conflicts.
        let answer = commit(first).await.unwrap();
        let key = "a".to_owned();
        assert_eq!(answer, CommitAnswer::Conflict { key, version: 1 });
        let both = transaction(
            "t2",
            &[("a", 1), ("b", 7)],
            &[("a", Some("2")), ("b", Some("2"))],
        );
        let answer = commit(both).await.unwrap();
        let key = "b".to_owned();
        assert_eq!(answer, CommitAnswer::Conflict { key, version: 0 });
        let row = (platform.table.read)("a".to_owned()).await.unwrap();
        let row = row.unwrap();
        assert_eq!((row.value.as_str(), row.token.as_str()), ("1", "t1"));
    });
}

#[test]
fn versions_grow() {
    on_each_adapter(async |platform| {
        let commit = |t| (platform.table.commit)(t);
        commit(transaction("t1", &[], &[("a", Some("1"))])).await.unwrap();
        commit(transaction("t2", &[], &[("a", None)])).await.unwrap();
        let read = (platform.table.read)("a".to_owned()).await.unwrap();
        assert_eq!(read, None);
        let again = transaction("t3", &[("a", 0)], &[("a", Some("3"))]);
        let answer = commit(again).await.unwrap();
        assert_eq!(answer, CommitAnswer::Committed { version: 3 });
    });
}

#[test]
fn scan_pages() {
    on_each_adapter(async |platform| {
        let names = ["a/1", "a/2", "a/3", "b/1"];
        let writes: Vec<_> = names.iter().map(|&n| (n, Some("x"))).collect();
        let all = transaction("t1", &[], &writes);
        (platform.table.commit)(all).await.unwrap();
        let scan = |after: &str| {
            (platform.table.scan)("a/".to_owned(), after.to_owned(), 2)
        };
        let page = scan("").await.unwrap();
        assert_eq!(keys(&page), ["a/1", "a/2"]);
        let page = scan("a/2").await.unwrap();
        assert_eq!(keys(&page), ["a/3"]);
        assert!(scan("a/3").await.unwrap().is_empty());
        assert!(scan("b").await.unwrap().is_empty());
    });
}

#[test]
fn objects_stored() {
    on_each_adapter(async |platform| {
        let objects = &platform.objects;
        let content = Bytes::from(vec![7; 3 << 20]);
        let put = |name: &str| (objects.put)(name.into(), content.clone());
        put("s/2").await.unwrap();
        put("s/1").await.unwrap();
        (objects.put)("t".into(), Bytes::new()).await.unwrap();
        let read = (objects.get)("s/1".into()).await.unwrap();
        assert!(read == Some(content.clone()));
        let read = (objects.get)("t".into()).await.unwrap();
        assert_eq!(read, Some(Bytes::new()));
        let names = (objects.list)("s/".into()).await.unwrap();
        assert_eq!(names, ["s/1", "s/2"]);
        (objects.delete)("s/1".into()).await.unwrap();
        (objects.delete)("s/1".into()).await.unwrap();
        assert_eq!((objects.get)("s/1".into()).await.unwrap(), None);
    });
}

#[test]
fn instance_listed() {
    on_each_adapter(async |platform| {
        let entry = InstanceEntry {
            instance: InstanceId::new("i-1").unwrap(),
            data_centre: DataCentre::new("athens").unwrap(),
            link_address: "127.0.0.1:7400".to_owned(),
            state: MemberState::Leaving,
        };
        (platform.directory.register)(entry.clone()).await.unwrap();
        let listing = (platform.directory.list)().await.unwrap();
        assert_eq!(listing.instances, [entry]);
        assert_eq!(listing.workers.len(), 2);
    });
}

#[test]
fn task_started() {
    on_each_adapter(async |platform| {
        let listing = (platform.directory.list)().await.unwrap();
        let address = listing.workers[1].address.clone();
        let mut request = WorkerRequest {
            shard: ShardId::new(1),
            epoch: Epoch::new(4),
            stamp_ms: None,
            lease_ms: 60_000,
            commands: Vec::new(),
        };
        let exchange = |request: &WorkerRequest| {
            (platform.workers.exchange)(address.clone(), request.clone())
        };
        let report = exchange(&request).await.unwrap();
        request.stamp_ms = Some(report.stamp_ms);
        request.commands = vec![WorkerCommand::Start {
            task: TaskId::new(JobId::new(3), 1),
            attempt: 1,
            size: Resources::new(1_000, 64, 0),
            run_time_ms: None,
        }];
        let report = exchange(&request).await.unwrap();
        assert_eq!(report.running.len(), 1);
        request.epoch = Epoch::new(3);
        let report = exchange(&request).await.unwrap();
        assert_eq!(
            report.epoch,
            Epoch::new(4),
            "the request of the older epoch is refused"
        );
    });
}

#[test]
fn unknown_worker() {
    on_each_adapter(async |platform| {
        let listing = (platform.directory.list)().await.unwrap();
        let address = listing.workers[0].address.replace("w-1", "w-9");
        let request = WorkerRequest {
            shard: ShardId::new(1),
            epoch: Epoch::new(1),
            stamp_ms: None,
            lease_ms: 1_000,
            commands: Vec::new(),
        };
        let answer = (platform.workers.exchange)(address, request).await;
        assert!(matches!(answer, Err(PortError::Unavailable(_))));
    });
}
