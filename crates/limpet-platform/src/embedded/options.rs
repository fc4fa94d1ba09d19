use limpet_core::{
    DataCentre, Rack, Resources, WorkerId, scheduler::WorkerShape,
};

use super::worker::Behaviour;

/// The options of an embedded platform: its workers, how they run tasks, and
/// how its directory lags.
///
/// # Examples
///
/// ```
/// use limpet_core::Resources;
/// use limpet_platform::embedded::EmbeddedOptions;
///
/// let options = EmbeddedOptions::new()
///     .workers(4)
///     .worker_capacity(Resources::new(16_000, 65_536, 0))
///     .run_time_scale(0.01);
/// assert_eq!(options.shapes().len(), 4);
/// ```
#[derive(Clone, Debug)]
pub struct EmbeddedOptions {
    workers: u32,
    worker_capacity: Resources,
    workers_per_rack: u32,
    data_centres: Vec<DataCentre>,
    run_time_scale: f64,
    usage_percent: u64,
    usage_lag_ms: u64,
    directory_lag_ms: u64,
    directory_expiry_ms: u64,
    worker_address: String,
    keep_records: bool,
}

impl EmbeddedOptions {
    /// Returns the options of a small cell: four workers with 16 cores and
    /// 64 GiB each in one data centre, whose tasks take their declared run
    /// time and use 70 % of their size.
    pub fn new() -> EmbeddedOptions {
        EmbeddedOptions {
            workers: 4,
            worker_capacity: Resources::new(16_000, 65_536, 0),
            workers_per_rack: 8,
            data_centres: Vec::new(),
            run_time_scale: 1.0,
            usage_percent: 70,
            usage_lag_ms: 5_000,
            directory_lag_ms: 0,
            directory_expiry_ms: 10_000,
            worker_address: String::new(),
            keep_records: false,
        }
    }

    /// Sets the number of workers.
    pub fn workers(mut self, count: u32) -> EmbeddedOptions {
        self.workers = count;
        self
    }

    /// Sets the resources of each worker.
    pub fn worker_capacity(mut self, capacity: Resources) -> EmbeddedOptions {
        self.worker_capacity = capacity;
        self
    }

    /// Sets the number of workers in a rack, at least 1.
    pub fn workers_per_rack(mut self, count: u32) -> EmbeddedOptions {
        self.workers_per_rack = count.max(1);
        self
    }

    /// Sets the data centres, to which the workers are assigned in turn. If
    /// there are none, all workers are in a data centre named `local`.
    pub fn data_centres(mut self, names: Vec<DataCentre>) -> EmbeddedOptions {
        self.data_centres = names;
        self
    }

    /// Sets the ratio of the actual run time of tasks to the declared one; a
    /// negative ratio counts as 0.
    pub fn run_time_scale(mut self, scale: f64) -> EmbeddedOptions {
        self.run_time_scale = scale.max(0.0);
        self
    }

    /// Sets what a task uses, in per cent of its declared size. More than 100
    /// makes tasks exceed their size until they are throttled.
    pub fn usage_percent(mut self, percent: u64) -> EmbeddedOptions {
        self.usage_percent = percent;
        self
    }

    /// Sets how long a task runs before its use is reported, in milliseconds.
    pub fn usage_lag_ms(mut self, lag_ms: u64) -> EmbeddedOptions {
        self.usage_lag_ms = lag_ms;
        self
    }

    /// Sets how far the directory lags behind, in milliseconds.
    pub fn directory_lag_ms(mut self, lag_ms: u64) -> EmbeddedOptions {
        self.directory_lag_ms = lag_ms;
        self
    }

    /// Sets how long an instance stays listed after it last registered, in
    /// milliseconds.
    pub fn directory_expiry_ms(mut self, expiry_ms: u64) -> EmbeddedOptions {
        self.directory_expiry_ms = expiry_ms;
        self
    }

    /// Sets the text before a worker's name in its address, such as an IP
    /// address with a port and the start of a path.
    pub fn worker_address(mut self, prefix: &str) -> EmbeddedOptions {
        self.worker_address = prefix.to_owned();
        self
    }

    /// Sets whether the workers keep a record of every start and end; see
    /// [`MemoryWorkers::records`](super::MemoryWorkers::records).
    pub fn keep_records(mut self, keep: bool) -> EmbeddedOptions {
        self.keep_records = keep;
        self
    }

    /// Returns the shapes of the workers that these options describe.
    pub fn shapes(&self) -> Vec<WorkerShape> {
        (0..self.workers).filter_map(|index| self.shape(index)).collect()
    }

    /// Returns the shape of the worker with this index, which counts from 0.
    fn shape(&self, index: u32) -> Option<WorkerShape> {
        let centres = self.data_centres.len().max(1) as u32;
        let data_centre =
            match self.data_centres.get((index % centres) as usize) {
                Some(data_centre) => data_centre.clone(),
                None => DataCentre::new("local").ok()?,
            };
        let rack = index / centres / self.workers_per_rack + 1;
        Some(WorkerShape {
            worker: WorkerId::new(&format!("w-{}", index + 1)).ok()?,
            rack: Rack::new(&format!("{data_centre}.r-{rack}")).ok()?,
            data_centre,
            held: self.worker_capacity,
        })
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        Behaviour {
            run_time_scale: self.run_time_scale,
            usage_percent: self.usage_percent,
            usage_lag_ms: self.usage_lag_ms,
        }
    }

    pub(super) fn keeps_records(&self) -> bool {
        self.keep_records
    }

    /// Returns the lag and the expiry of the directory, in that order.
    pub(super) fn directory_times_ms(&self) -> (u64, u64) {
        (self.directory_lag_ms, self.directory_expiry_ms)
    }

    /// Returns the address of a worker: the prefix and its name.
    pub(super) fn address_of(&self, worker: &WorkerId) -> String {
        format!("{}{worker}", self.worker_address)
    }
}

impl Default for EmbeddedOptions {
    fn default() -> EmbeddedOptions {
        EmbeddedOptions::new()
    }
}
