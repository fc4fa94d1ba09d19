use super::WorkerShape;
use crate::{DataCentre, Rack};

/// How many placed tasks of a service run in each rack and data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Spread {
    racks: Vec<(Rack, u32)>,
    data_centres: Vec<(DataCentre, u32)>,
}

impl Spread {
    pub(super) fn add(&mut self, shape: &WorkerShape) {
        *count_mut(&mut self.racks, &shape.rack) += 1;
        *count_mut(&mut self.data_centres, &shape.data_centre) += 1;
    }

    pub(super) fn remove(&mut self, shape: &WorkerShape) {
        let rack = count_mut(&mut self.racks, &shape.rack);
        *rack = rack.saturating_sub(1);
        let data_centre =
            count_mut(&mut self.data_centres, &shape.data_centre);
        *data_centre = data_centre.saturating_sub(1);
    }

    /// Returns a score that grows with the number of the service's tasks in
    /// the worker's data centre and rack. The data centre weighs more, since
    /// its failure takes down more tasks.
    pub(super) fn crowding(&self, shape: &WorkerShape) -> u32 {
        count(&self.data_centres, &shape.data_centre) * 100
            + count(&self.racks, &shape.rack) * 10
    }
}

fn count<T: PartialEq>(counts: &[(T, u32)], name: &T) -> u32 {
    counts.iter().find(|(found, _)| found == name).map_or(0, |(_, n)| *n)
}

/// Returns the count of a name, adding it with 0 if needed.
fn count_mut<'a, T: Clone + PartialEq>(
    counts: &'a mut Vec<(T, u32)>,
    name: &T,
) -> &'a mut u32 {
    let found = counts.iter().position(|(found, _)| found == name);
    let index = found.unwrap_or_else(|| {
        counts.push((name.clone(), 0));
        counts.len() - 1
    });
    &mut counts[index].1
}
