//! The addresses of the entry instances of tests.

mod entries;

use std::{
    net::TcpListener,
    process::{Command, Stdio},
    thread,
};

use entries::free_addresses;

/// How many instances each thread starts. The addresses of all of them differ.
const STARTS: u32 = 20;
/// How many threads start instances, as the tests of a file do.
const THREADS: u32 = 12;

/// A process that was started at the same time must not hold an address that
/// an instance is about to listen on.
#[test]
fn inherited_listeners() {
    let start = || {
        for _ in 0..STARTS {
            let addresses = free_addresses();
            let mut process = Command::new(env!("CARGO_BIN_EXE_limpetd"))
                .arg("--help")
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .spawn()
                .expect("the daemon starts");
            for address in addresses {
                TcpListener::bind(address).expect("an unused address");
            }
            process.wait().expect("a child");
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|_| scope.spawn(start)).collect();
        for thread in threads {
            thread.join().expect("all addresses are unused");
        }
    });
}
