//! Builds the rows of each topic's table from the view of one instance.

use std::collections::{BTreeMap, BTreeSet};

use super::{CellView, EndpointView, TableCell, Topic};
use crate::{
    Resources, ServiceName, TimeMs,
    config::{CellConfig, KeyRecord},
    scheduler::{JobView, QueueView, TaskView, TeamView, WorkerView},
};

/// A row of a table, with one cell for each column.
pub(super) type Row = Vec<TableCell>;

/// Returns the rows of a topic that the view has, each with all columns of the
/// topic.
pub(super) fn rows(topic: Topic, view: &CellView) -> Vec<Row> {
    match topic {
        Topic::Jobs => {
            view.jobs.iter().map(|job| job_row(job, view.now)).collect()
        }
        Topic::Tasks => {
            view.tasks.iter().map(|task| task_row(task, view.now)).collect()
        }
        Topic::Workers => worker_rows(view),
        Topic::Teams => team_rows(view),
        Topic::Queues => queue_rows(view),
        Topic::Keys => key_rows(view),
        Topic::Services => service_rows(view),
        Topic::Endpoints => endpoint_rows(view),
        Topic::Shards => shard_rows(view),
        Topic::Instances => instance_rows(view),
        Topic::Config => config_rows(view),
        Topic::Refusals => refusal_rows(view),
        Topic::Changes => change_rows(view),
    }
}

fn optional_text(text: Option<impl std::fmt::Display>) -> TableCell {
    text.map_or(TableCell::Empty, TableCell::text)
}

/// Returns a cell with a text. Copying it directly instead of formatting it
/// saves noticeable time in a table of 50,000 rows.
fn text_cell(text: &str) -> TableCell {
    TableCell::Text(text.to_owned())
}

/// Returns a cell with a number of cores, from thousandths of a core.
fn cores(cores_milli: u64) -> TableCell {
    TableCell::Decimal(cores_milli as f64 / 1000.0)
}

/// Returns a cell with a limit, which is empty where there is no limit.
fn limit(amount: u64, unlimited: u64) -> TableCell {
    if amount >= unlimited {
        TableCell::Empty
    } else {
        TableCell::number(amount)
    }
}

/// Returns the row of a job, with durations up to `now`.
pub(super) fn job_row(job: &JobView, now: TimeMs) -> Row {
    let started = job.started_at.or(job.ended_at).unwrap_or(now);
    let ran_ms =
        job.started_at.map(|at| job.ended_at.unwrap_or(now).ms_since(at));
    vec![
        TableCell::number(job.job.get()),
        text_cell(&job.name),
        text_cell(job.team.as_str()),
        text_cell(job.queue.as_str()),
        text_cell(job.state.as_str()),
        TableCell::Number(job.tasks.into()),
        TableCell::Number(job.running.into()),
        TableCell::Number(job.done.into()),
        TableCell::Flag(job.urgent),
        TableCell::Flag(job.all_at_once),
        TableCell::Flag(job.held),
        TableCell::number(started.ms_since(job.accepted_at)),
        ran_ms.map_or(TableCell::Empty, TableCell::number),
        text_cell(&job.reason),
    ]
}

fn task_row(task: &TaskView, now: TimeMs) -> Row {
    let ran_ms = match task.started_at {
        Some(at) if task.state.is_placed() => {
            TableCell::number(now.ms_since(at))
        }
        _ => TableCell::Empty,
    };
    vec![
        TableCell::text(task.task),
        TableCell::number(task.task.job.get()),
        text_cell(task.team.as_str()),
        text_cell(task.state.as_str()),
        task.worker
            .as_ref()
            .map_or(TableCell::Empty, |w| text_cell(w.as_str())),
        cores(task.size.cores_milli),
        TableCell::number(task.size.memory_mb),
        TableCell::number(task.size.accelerators),
        TableCell::Number(task.starts.into()),
        ran_ms,
    ]
}

fn worker_rows(view: &CellView) -> Vec<Row> {
    let drained = &view.config.drained_workers;
    view.workers
        .iter()
        .map(|worker| worker_row(worker, drained.contains(&worker.worker)))
        .collect()
}

fn worker_row(worker: &WorkerView, drained: bool) -> Row {
    let state = if drained { "drained" } else { &worker.state };
    vec![
        TableCell::text(&worker.worker),
        TableCell::text(&worker.data_centre),
        TableCell::text(&worker.rack),
        TableCell::text(state),
        TableCell::Number(worker.tasks.into()),
        cores(worker.held.cores_milli),
        cores(worker.committed.cores_milli),
        cores(worker.used.cores_milli),
        TableCell::number(worker.held.memory_mb),
        TableCell::number(worker.committed.memory_mb),
        TableCell::number(worker.used.memory_mb),
        TableCell::number(worker.held.accelerators),
        TableCell::number(worker.committed.accelerators),
    ]
}

/// Returns a row for every team in the configuration, including teams without
/// work.
fn team_rows(view: &CellView) -> Vec<Row> {
    let mut usage: BTreeMap<_, (Resources, u32)> = BTreeMap::new();
    for TeamView { team, running, waiting_jobs, .. } in &view.teams {
        let entry = usage.entry(team).or_default();
        entry.0 = entry.0.plus(running);
        entry.1 += waiting_jobs;
    }
    let unlimited = Resources::UNLIMITED;
    let configs = &view.config.teams;
    configs
        .iter()
        .map(|(team, config)| {
            let (running, waiting_jobs) =
                usage.get(team).copied().unwrap_or_default();
            let limit_cores = match config.limit.cores_milli {
                amount if amount >= unlimited.cores_milli => TableCell::Empty,
                amount => cores(amount),
            };
            vec![
                TableCell::text(team),
                TableCell::Number(config.weight.into()),
                TableCell::Number(waiting_jobs.into()),
                cores(running.cores_milli),
                limit_cores,
                TableCell::number(running.memory_mb),
                limit(config.limit.memory_mb, unlimited.memory_mb),
                TableCell::number(running.accelerators),
                limit(config.limit.accelerators, unlimited.accelerators),
                limit(config.request_limit.into(), u32::MAX.into()),
            ]
        })
        .collect()
}

fn queue_rows(view: &CellView) -> Vec<Row> {
    let mut usage: BTreeMap<_, (u32, u32)> = BTreeMap::new();
    for QueueView { queue, waiting_jobs, running_tasks, .. } in &view.queues {
        let entry = usage.entry(queue).or_default();
        entry.0 += waiting_jobs;
        entry.1 += running_tasks;
    }
    let configs = &view.config.queues;
    configs
        .iter()
        .map(|(queue, config)| {
            let (waiting, running) =
                usage.get(queue).copied().unwrap_or_default();
            vec![
                TableCell::text(queue),
                TableCell::text(config.policy),
                TableCell::Flag(config.open),
                TableCell::Flag(config.stop_over_size),
                TableCell::Number(waiting.into()),
                TableCell::Number(running.into()),
            ]
        })
        .collect()
}

fn key_rows(view: &CellView) -> Vec<Row> {
    let row = |(key, record): (_, &KeyRecord)| {
        let left_ms = record.expires_at.map(|at| at.ms_since(view.wall_now));
        let state = match (record.withdrawn, left_ms) {
            (true, _) => "withdrawn",
            (false, Some(0)) => "expired",
            (false, _) => "granted",
        };
        vec![
            TableCell::text(key),
            TableCell::text(record.role),
            optional_text(record.team.as_ref()),
            TableCell::text(state),
            left_ms.map_or(TableCell::Empty, TableCell::number),
        ]
    };
    view.config.keys.iter().map(row).collect()
}

fn service_rows(view: &CellView) -> Vec<Row> {
    let configured = view.config.services.keys();
    let served = view.endpoints.iter().map(|endpoint| &endpoint.service);
    let services: BTreeSet<&ServiceName> = configured.chain(served).collect();
    services.into_iter().map(|service| service_row(view, service)).collect()
}

fn service_row(view: &CellView, service: &ServiceName) -> Row {
    let config = view.config.services.get(service).cloned();
    let count = |is_counted: fn(&EndpointView) -> bool| {
        let endpoints = view.endpoints.iter();
        let counted = endpoints
            .filter(|endpoint| endpoint.service == *service)
            .filter(|endpoint| is_counted(endpoint))
            .count();
        TableCell::number(counted as u64)
    };
    vec![
        TableCell::text(service),
        config.as_ref().map_or(TableCell::Empty, |c| TableCell::Flag(c.open)),
        config.map_or(TableCell::Empty, |c| TableCell::number(c.deadline_ms)),
        count(|endpoint| endpoint.state == "ready"),
        count(|endpoint| endpoint.state == "leaving"),
    ]
}

fn endpoint_rows(view: &CellView) -> Vec<Row> {
    let drained = &view.config.drained_endpoints;
    view.endpoints
        .iter()
        .map(|endpoint| {
            let state = match drained.contains(&endpoint.endpoint) {
                true => "drained",
                false => &endpoint.state,
            };
            vec![
                TableCell::text(&endpoint.endpoint),
                TableCell::text(&endpoint.service),
                TableCell::text(&endpoint.data_centre),
                TableCell::text(state),
                TableCell::Number(endpoint.slots.into()),
            ]
        })
        .collect()
}

fn shard_rows(view: &CellView) -> Vec<Row> {
    view.shards
        .iter()
        .map(|shard| {
            vec![
                TableCell::number(shard.shard.get()),
                TableCell::text(&shard.data_centre),
                optional_text(shard.owner.as_ref()),
                TableCell::number(shard.epoch.get()),
                TableCell::Number(shard.workers.into()),
                TableCell::Number(shard.waiting_jobs.into()),
                TableCell::Number(shard.running_tasks.into()),
            ]
        })
        .collect()
}

fn instance_rows(view: &CellView) -> Vec<Row> {
    let drained = &view.config.drained_instances;
    view.instances
        .iter()
        .map(|instance| {
            let state = match drained.contains(&instance.instance) {
                true => "drained",
                false => &instance.state,
            };
            let revision = instance.revision;
            vec![
                TableCell::text(&instance.instance),
                TableCell::text(&instance.data_centre),
                TableCell::text(state),
                TableCell::text(&instance.address),
                revision
                    .map_or(TableCell::Empty, |r| TableCell::number(r.get())),
            ]
        })
        .collect()
}

fn config_rows(view: &CellView) -> Vec<Row> {
    let row = |setting: &str, value: String| {
        vec![TableCell::text(setting), TableCell::Text(value)]
    };
    let CellConfig { revision, teams, queues, services, keys, .. } =
        &*view.config;
    let granted = keys.values().filter(|record| !record.withdrawn).count();
    let mut rows = vec![
        row("cell.revision", revision.to_string()),
        row("cell.teams", teams.len().to_string()),
        row("cell.queues", queues.len().to_string()),
        row("cell.services", services.len().to_string()),
        row("cell.keys", granted.to_string()),
    ];
    let settings = view.settings.iter();
    rows.extend(settings.map(|(key, value)| row(key, value.clone())));
    rows
}

fn refusal_rows(view: &CellView) -> Vec<Row> {
    view.refusals
        .iter()
        .map(|refusal| {
            let response = refusal.kind.response();
            vec![
                TableCell::text(&refusal.refusal),
                TableCell::text(&refusal.instance),
                TableCell::number(view.now.ms_since(refusal.at)),
                TableCell::text(response.code),
                TableCell::text(response.run.as_str()),
                optional_text(refusal.team.as_ref()),
                optional_text(refusal.key.as_ref()),
                TableCell::text(&refusal.asked),
                TableCell::text(&refusal.message),
            ]
        })
        .collect()
}

fn change_rows(view: &CellView) -> Vec<Row> {
    view.changes
        .iter()
        .map(|change| {
            vec![
                TableCell::number(change.revision.get()),
                TableCell::number(change.at.as_ms()),
                TableCell::text(&change.key),
                TableCell::text(&change.command),
                TableCell::text(&change.before),
                TableCell::text(&change.after),
            ]
        })
        .collect()
}
