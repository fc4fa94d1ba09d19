//! Advice requests that the owner distributes over the link.

mod entries;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use self::entries::{TestCell, job, wait_for};

/// The id of an advice request, and the owner's term.
type Work = (u8, u8);

/// A pull of an earlier version's instance, whose caller has sent it and not
/// read the reply yet.
struct SentPull(TcpStream);

impl SentPull {
    /// Sends a `LinkRequest::Pull` without an answer. The name of the instance
    /// has five characters.
    fn send(link: SocketAddr, instance: &str) -> SentPull {
        let body = format!("\u{2}\u{5}{instance}\0\0");
        let mut stream = TcpStream::connect(link).expect("a connection");
        let limit = Duration::from_secs(10);
        stream.set_read_timeout(Some(limit)).expect("a socket");
        write!(
            stream,
            "POST /link HTTP/1.1\r\nHost: owner\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("a connection");
        SentPull(stream)
    }

    /// Reads the reply, `LinkReply::Work` or `LinkReply::Loading`. Returns the
    /// request in it.
    fn work(mut self) -> Option<Work> {
        let mut reply = Vec::new();
        self.0.read_to_end(&mut reply).expect("a reply");
        let end = b"\r\n\r\n";
        let head = reply.windows(end.len()).position(|part| part == end);
        let body = &reply[head.expect("a head") + end.len()..];
        match body {
            [3, 0, ..] | [4] => None,
            [3, 1, ask, term, ..] => Some((*ask, *term)),
            _ => panic!("another reply: {body:?}"),
        }
    }
}

/// Submits a job with several advice requests.
fn submit(cell: &TestCell, number: usize) {
    let mut body = job(1);
    let step = body["steps"][0].clone();
    body["steps"] = vec![step; 4].into();
    assert_eq!(cell.submit(0, &format!("{:016x}", number + 1), &body), 200);
}

/// An instance that pulls again without an answer has not got its request,
/// which must not count as in progress until it is overdue.
#[test]
fn unreceived_request() {
    let cell = TestCell::start("unreceived", 1);
    assert_eq!(cell.owner(), 0);
    let link = cell.entries[0].link;
    let mut jobs = 0;
    // The owner's own instance may take all requests of a job.
    wait_for("the same request again", || {
        let pull = SentPull::send(link, "old-0");
        submit(&cell, jobs);
        jobs += 1;
        let first = pull.work();
        first.is_some() && SentPull::send(link, "old-0").work() == first
    });
}

/// A pull whose caller has pulled again must not get a request, since nobody
/// makes it.
#[test]
fn superseded_pull() {
    // The owner's own instance may take all requests of a job.
    wait_for("a request for the latest pull", || {
        let cell = TestCell::start("superseded", 1);
        assert_eq!(cell.owner(), 0);
        let link = cell.entries[0].link;
        // Both pulls wait until the job is submitted.
        let earlier = SentPull::send(link, "old-0");
        thread::sleep(Duration::from_millis(20));
        let latest = SentPull::send(link, "old-0");
        thread::sleep(Duration::from_millis(20));
        submit(&cell, 0);
        assert_eq!(earlier.work(), None);
        latest.work().is_some()
    });
}

/// Reads a request, and returns its body.
fn read_body(stream: &mut TcpStream) -> Vec<u8> {
    let mut request = Vec::new();
    let mut bytes = [0; 1_024];
    loop {
        let count = stream.read(&mut bytes).expect("a request");
        assert!(count > 0, "a request ended early");
        request.extend_from_slice(&bytes[..count]);
        let end = b"\r\n\r\n";
        let head = request.windows(end.len()).position(|part| part == end);
        let Some(head) = head else { continue };
        let fields = String::from_utf8_lossy(&request[..head]).to_lowercase();
        let length = fields
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().expect("a length"));
        if request.len() >= head + end.len() + length {
            return request.split_off(head + end.len());
        }
    }
}

/// An owner must get an answer although the pull that carried it has failed,
/// or it waits until the request is overdue and makes it again.
#[test]
fn lost_answer() {
    let mut cell = TestCell::start("lost-answer", 1);
    cell.entries[0].kill();
    let owner = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = owner.local_addr().expect("an address").to_string();
    let (sender, pulls) = mpsc::channel();
    thread::spawn(move || {
        for (number, stream) in owner.incoming().enumerate() {
            let mut stream = stream.expect("a connection");
            sender.send(read_body(&mut stream)).ok();
            if number == 0 {
                // A `LinkReply::Work`: request 7 of term 40, step "s", worker
                // "w", 1 ms.
                let work = "\u{3}\u{1}\u{7}\u{28}\u{1}s\u{1}\u{1}w\u{1}\0";
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\
                     Content-Length: {}\r\n\r\n{work}",
                    work.len()
                )
                .ok();
            }
        }
    });
    // The encoding of an `OwnerRecord` of an earlier version, of term 40.
    let mut row = vec![40, 7];
    row.extend(b"entry-8");
    row.extend([7, address.len() as u8]);
    row.extend(address.as_bytes());
    row.push(0);
    cell.platform.store().put("owner", "", "owner", &row);
    cell.entries[0].restart();
    let mut answers = Vec::new();
    wait_for("three pulls", || {
        // Renewals, without which the instance takes the cell over.
        cell.platform.store().put("owner", "", "owner", &row);
        answers.extend(pulls.try_iter().map(|pull| {
            // A `LinkRequest::Pull` of "entry-0", and the id in its answer.
            assert!(pull.starts_with(b"\x02\x07entry-0"), "{pull:?}");
            (pull[9] == 1).then(|| pull[10])
        }));
        answers.len() >= 3
    });
    assert_eq!(answers[..3], [None, Some(7), Some(7)]);
}
