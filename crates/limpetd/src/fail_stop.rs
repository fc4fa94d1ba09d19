//! Aborts the process on a panic of the control thread.

use std::{panic, process, thread};

/// Installs a panic hook that aborts the process if the calling thread panics.
///
/// Call it on the control thread. That thread runs many tasks, and the runtime
/// would end only the one that panicked: the others could go on renewing the
/// lease of a shard that isn't scheduled any more. If the process aborts, its
/// leases expire and other instances take its shards over. Panics of traffic
/// threads don't abort the process: they hold no leases, and the HTTP server
/// replaces a thread that has crashed.
pub fn abort_on_panic_in_this_thread() {
    let control = thread::current().id();
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        report(panic);
        if thread::current().id() == control {
            process::abort();
        }
    }));
}
