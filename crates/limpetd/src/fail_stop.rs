use std::{panic, process, thread};

/// Ends the whole process when the calling thread panics.
///
/// The control thread runs many tasks, and the runtime would only end the
/// one that panicked: what is left would go on renewing the lease of a shard
/// that it doesn't look after any more. A process that is gone loses its
/// leases, and another instance takes its shards over. A traffic thread
/// holds nothing that outlives a request, so its panics stay its own.
pub fn abort_on_panic_here() {
    let control = thread::current().id();
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        report(panic);
        if thread::current().id() == control {
            process::abort();
        }
    }));
}
