//! A query answers for the whole cell or names what is missing.
//!
//! Guards against a count that silently omits the jobs of a shard whose owner
//! was killed, in the time until another instance takes the shard over.

mod support;

use std::net::{SocketAddr, TcpListener};

use limpet_platform::{
    Clock,
    embedded::{self, EmbeddedOptions},
};
use limpet_standin::{
    cell::{Daemon, DaemonSettings, LoopbackHost},
    platform::PlatformServer,
};
use support::{Ctl, limpetd, wait_for, write_job};

const CENTRES: [&str; 3] = ["athens", "patras", "volos"];

/// Starts a platform with six workers in the three data centres.
fn start_platform() -> PlatformServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let centres = CENTRES.map(|name| name.parse().unwrap()).to_vec();
    let options = EmbeddedOptions::new()
        .workers(6)
        .data_centres(centres)
        .worker_address(&PlatformServer::worker_address(address));
    let platform = embedded::platform(&options, Clock::monotonic());
    PlatformServer::start_on(platform, listener).unwrap()
}

/// Starts the instance of a data centre. Its leases and intervals are short,
/// so that another instance takes over soon after it is killed.
async fn start_daemon(centre: &str, platform: SocketAddr) -> Daemon {
    let instance = format!("{centre}-1");
    let settings =
        DaemonSettings::new(&instance, centre, LoopbackHost::next())
            .platform(platform)
            .data_centres(&CENTRES)
            .control("lease_ms", 1_000)
            .control("renew_ms", 200)
            .control("worker_lease_ms", 1_500)
            .control("detached_ms", 3_000)
            .control("exchange_ms", 100)
            .control("directory_poll_ms", 100)
            .control("config_poll_ms", 100);
    Daemon::start(&limpetd(), &settings).await.unwrap()
}

#[actix_rt::test]
async fn answer_is_complete_or_names_missing_shard() {
    let platform = start_platform();
    let mut daemons = Vec::new();
    for centre in CENTRES {
        daemons.push(start_daemon(centre, platform.address()).await);
    }
    let ctls: Vec<Ctl> = daemons
        .iter()
        .map(|daemon| Ctl::new(daemon.host().http_address()))
        .collect();
    let complete = |ctl: &Ctl| {
        let (rows, missing) = ctl.rows("show shards");
        rows.len() == CENTRES.len() && missing.is_empty()
    };
    wait_for("every shard has an owner", || ctls.iter().all(complete));
    let job = write_job("spread", 1, 600_000);
    let job = job.to_str().unwrap();
    for ctl in &ctls {
        assert!(ctl.run_with(&["submit", job]).succeeded());
    }
    // Each daemon puts the jobs submitted to it into the shard of its own data
    // centre, so each shard has one of the three jobs.
    for ctl in &ctls {
        let (rows, missing) = ctl.rows("show jobs count");
        assert_eq!(
            (rows[0]["count"].as_i64(), missing.as_str()),
            (Some(3), "")
        );
    }
    let (shards, _) = ctls[0].rows("show shards");
    let killed = shards
        .iter()
        .find(|row| row["owner"] != daemons[0].name())
        .expect("another instance owns a shard");
    let (owner, lost) = (killed["owner"].clone(), &killed["shard"]);
    let victim = daemons.iter_mut().find(|d| owner == d.name());
    victim.expect("the owner is one of the daemons").kill().unwrap();
    wait_for("the answer is complete again", || {
        let (rows, missing) = ctls[0].rows("show jobs count");
        is_answer_complete(&rows, &missing, &lost.to_string())
    });
}

/// Returns whether an answer has the jobs of all shards.
///
/// # Panics
///
/// If the answer lacks jobs without naming the shard `lost` as missing, or
/// names it and counts other than the two jobs of the other shards.
fn is_answer_complete(
    rows: &[serde_json::Value],
    missing: &str,
    lost: &str,
) -> bool {
    let count = rows[0]["count"].as_i64();
    if missing.is_empty() {
        assert_eq!(
            count,
            Some(3),
            "nothing is missing, but the count isn't 3"
        );
        return true;
    }
    let named = missing.contains(&format!("shard {lost}"));
    assert!(named, "shard {lost} isn't named in {missing}");
    assert_eq!(count, Some(2), "{missing}");
    false
}
