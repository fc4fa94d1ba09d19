//! Settings of the cell.

use limpet_core::{
    DataCentre, QueueName, Resources, ServiceName, TeamName,
    config::{
        CellConfig, KeySecret, QueueConfig, QueuePolicy, ServiceConfig,
        TeamConfig,
    },
};

use super::{
    instance::default_data_centre,
    reader::{Faults, Section},
};

/// The section `cell`: the cell's data centres and its first configuration.
///
/// The first configuration takes effect only if the table has none yet. Later
/// changes are made with commands.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct CellSettings {
    /// The data centres, in the order of their shards. All instances must have
    /// the same list. New data centres are added at its end.
    pub data_centres: Vec<DataCentre>,
    /// The first operator's key, written `ID:SECRET`.
    #[serde(skip)]
    pub operator_key: Option<String>,
    /// The first teams.
    pub teams: Vec<NamedTeam>,
    /// The first queues.
    pub queues: Vec<NamedQueue>,
    /// The first services.
    pub services: Vec<NamedService>,
}

/// A team of the first configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct NamedTeam {
    /// The name.
    pub name: TeamName,
    /// The weight and limits.
    #[serde(flatten)]
    pub config: TeamConfig,
}

/// A queue of the first configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct NamedQueue {
    /// The name.
    pub name: QueueName,
    /// The policy and who may submit.
    #[serde(flatten)]
    pub config: QueueConfig,
}

/// A service of the first configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct NamedService {
    /// The name.
    pub name: ServiceName,
    /// The default deadline and who may send requests.
    #[serde(flatten)]
    pub config: ServiceConfig,
}

impl CellSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> CellSettings {
        let data_centres = section.list(
            "data_centres",
            vec![default_data_centre()],
            "a list of names",
            faults,
        );
        let operator_key =
            section.optional::<String>("operator_key", "a text", faults);
        if let Some(key) = &operator_key
            && KeySecret::parse(key).is_err()
        {
            faults.push("cell.operator_key", "hidden", "ID:SECRET");
        }
        let teams = read_named(section, "teams", faults, NamedTeam::read);
        let queues = read_named(section, "queues", faults, NamedQueue::read);
        let services =
            read_named(section, "services", faults, NamedService::read);
        section.finish(faults);
        CellSettings { data_centres, operator_key, teams, queues, services }
    }

    /// Returns the first configuration, without any keys.
    pub fn first_config(&self) -> CellConfig {
        let mut config = CellConfig::default();
        for team in &self.teams {
            config.teams.insert(team.name.clone(), team.config.clone());
        }
        for queue in &self.queues {
            config.queues.insert(queue.name.clone(), queue.config.clone());
        }
        for service in &self.services {
            config
                .services
                .insert(service.name.clone(), service.config.clone());
        }
        config
    }
}

/// Reads a list of sections with a function for each.
fn read_named<T>(
    section: &mut Section,
    name: &str,
    faults: &mut Faults,
    read: impl Fn(&mut Section, &mut Faults) -> Option<T>,
) -> Vec<T> {
    let mut items = Vec::new();
    for mut item in section.sections(name, faults) {
        items.extend(read(&mut item, faults));
        item.finish(faults);
    }
    items
}

impl NamedTeam {
    fn read(section: &mut Section, faults: &mut Faults) -> Option<NamedTeam> {
        let name = section.required("name", "a name", faults);
        let weight = section.number("weight", 1, 1..=1_000_000, faults);
        let cores = section.number("limit_cores", 0, 0..=1_000_000, faults);
        let memory_mb =
            section.number("limit_memory_mb", 0, 0..=u64::MAX / 8, faults);
        let accelerators =
            section.number("limit_accelerators", 0, 0..=1_000_000, faults);
        let requests = section.number(
            "request_limit",
            u64::from(u32::MAX),
            0..=u64::from(u32::MAX),
            faults,
        );
        let or_unlimited = |amount: u64, unlimited: u64| {
            if amount == 0 { unlimited } else { amount }
        };
        let limit = Resources::new(
            or_unlimited(cores * 1_000, Resources::UNLIMITED.cores_milli),
            or_unlimited(memory_mb, Resources::UNLIMITED.memory_mb),
            or_unlimited(accelerators, Resources::UNLIMITED.accelerators),
        );
        let config = TeamConfig {
            weight: weight as u32,
            limit,
            request_limit: requests as u32,
        };
        Some(NamedTeam { name: name?, config })
    }
}

impl NamedQueue {
    fn read(section: &mut Section, faults: &mut Faults) -> Option<NamedQueue> {
        let name = section.required("name", "a name", faults);
        let config = QueueConfig {
            policy: section.text(
                "policy",
                QueuePolicy::Batch,
                "\"service\", \"batch\" or \"gang\"",
                faults,
            ),
            open: section.flag("open", false, faults),
            stop_over_size: section.flag("stop_over_size", false, faults),
        };
        Some(NamedQueue { name: name?, config })
    }
}

impl NamedService {
    fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> Option<NamedService> {
        let name = section.required("name", "a name", faults);
        let config = ServiceConfig {
            open: section.flag("open", false, faults),
            deadline_ms: section.number(
                "deadline_ms",
                ServiceConfig::default().deadline_ms,
                1..=3_600_000,
                faults,
            ),
        };
        Some(NamedService { name: name?, config })
    }
}
