use std::{
    convert::Infallible,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use actix_http::body::{BoxBody, MessageBody, SizedStream};
use bytes::Bytes;
use futures::{Stream, stream};

/// The part of an answer that is sent at once, about a packet.
const PACKET_BYTES: usize = 1_460;

/// The link to the clients of an address, which all bodies at that address
/// share.
#[derive(Debug, Default)]
pub(crate) struct SlowLink {
    /// The bandwidth; 0 if it isn't limited.
    bytes_per_s: AtomicU64,
    /// When the bytes sent so far have arrived.
    busy_until: Mutex<Option<Instant>>,
}

impl SlowLink {
    /// Limits the bandwidth from now on; 0 sets no limit.
    pub(crate) fn limit(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::SeqCst);
    }

    /// Returns a body that arrives as fast as the link allows.
    pub(crate) fn body(self: &Arc<SlowLink>, bytes: Bytes) -> BoxBody {
        let is_limited = self.bytes_per_s.load(Ordering::SeqCst) > 0;
        if !is_limited || bytes.is_empty() {
            return BoxBody::new(bytes);
        }
        let size = bytes.len() as u64;
        SizedStream::new(size, self.packets(bytes)).boxed()
    }

    fn packets(
        self: &Arc<SlowLink>,
        bytes: Bytes,
    ) -> impl Stream<Item = Result<Bytes, Infallible>> + 'static {
        let link = Arc::clone(self);
        Box::pin(stream::unfold((link, bytes), |(link, mut rest)| async {
            if rest.is_empty() {
                return None;
            }
            let packet = rest.split_to(rest.len().min(PACKET_BYTES));
            link.pass(packet.len()).await;
            Some((Ok(packet), (link, rest)))
        }))
    }

    /// Waits until `length` bytes have arrived, after those sent before.
    pub(crate) async fn pass(&self, length: usize) {
        let bytes_per_s = self.bytes_per_s.load(Ordering::SeqCst);
        if bytes_per_s == 0 {
            return;
        }
        let takes =
            Duration::from_secs_f64(length as f64 / bytes_per_s as f64);
        let arrives = {
            let mut busy_until =
                self.busy_until.lock().unwrap_or_else(PoisonError::into_inner);
            let now = Instant::now();
            let from = busy_until.map_or(now, |until| until.max(now));
            *busy_until = Some(from + takes);
            from + takes
        };
        actix_rt::time::sleep_until(arrives.into()).await;
    }
}
