use super::ErrorKind;

impl ErrorKind {
    /// Returns a sentence on what a caller or an operator can do about an
    /// error of this kind.
    ///
    /// The table of errors in `docs/OPERATIONS.md` has the same sentences.
    pub const fn remedy(self) -> &'static str {
        match self {
            ErrorKind::InvalidRequest => {
                "Correct the request as the message says."
            }
            ErrorKind::InvalidJob => {
                "Bring the sizes that the message names into their ranges."
            }
            ErrorKind::TooLarge => {
                "Send a smaller body, or raise `limits.body_bytes`."
            }
            ErrorKind::HeadersTooLarge => "Send fewer or shorter headers.",
            ErrorKind::CallerTimeout => {
                "Look for a slow network between the caller and the \
                 instance, then send again."
            }
            ErrorKind::UnknownKey => {
                "Check the key file; `show keys` lists what was granted."
            }
            ErrorKind::KeyWithdrawn => {
                "Ask an operator for a new key: `grant key NAME to team \
                 TEAM`."
            }
            ErrorKind::NotPermitted => {
                "Use a key of the team that the work belongs to, or an \
                 operator's key for the configuration."
            }
            ErrorKind::KeyUnverified => {
                "The instance is cut off from the table and its peers: ask \
                 another one, and look at `show instances`."
            }
            ErrorKind::UnknownQueue => {
                "`show queues` lists the queues; `create queue NAME policy \
                 POLICY` makes one."
            }
            ErrorKind::UnknownTeam => {
                "`show teams` lists the teams; `create team NAME` makes one."
            }
            ErrorKind::UnknownService => {
                "`show services` lists the services; `set service NAME open \
                 false` makes one."
            }
            ErrorKind::NotFound => {
                "Check the name or number with `show`; finished jobs are \
                 forgotten after a while."
            }
            ErrorKind::NeverFits => {
                "Ask for less in each task: `show workers` tells what the \
                 largest worker holds."
            }
            ErrorKind::TeamLimit => {
                "Wait until work of the team ends, or raise its limit: `set \
                 limit of team TEAM to N cores`."
            }
            ErrorKind::QueueFull => {
                "Wait for the queue to drain, or cancel what is no longer \
                 needed: `cancel jobs where …`."
            }
            ErrorKind::Overloaded => {
                "Send less for a moment; if it lasts, add runners or workers."
            }
            ErrorKind::DeadlineBeforeRun => {
                "Give the request a longer deadline, or add runners."
            }
            ErrorKind::NoRunner => {
                "`show endpoints` tells which runners the service has and \
                 why none takes work."
            }
            ErrorKind::RunnerUnreachable => {
                "Send again; if it lasts, look at the runner and its network."
            }
            ErrorKind::RunnerFailed => {
                "The request may have run: ask the service before it is sent \
                 again, unless it is idempotent."
            }
            ErrorKind::RunnerTimeout => {
                "The request may have run: ask the service before it is sent \
                 again, and look for slow runners."
            }
            ErrorKind::ClaimPending => {
                "The first request with this idempotency key is under way: \
                 ask again with the same key."
            }
            ErrorKind::ClaimMismatch => {
                "Use a new idempotency key for each different request."
            }
            ErrorKind::AnswerNotKept => {
                "Don't repeat the request, it ran: look its result up at \
                 the service, or have the service answer more briefly."
            }
            ErrorKind::Conflict => {
                "The configuration has changed in the meantime: check with \
                 `show changes`, then repeat the command."
            }
            ErrorKind::StoreUnavailable => {
                "The platform's table or object store is down: nothing was \
                 written, try again when it is back."
            }
            ErrorKind::StoreUnknown => {
                "A write may have taken effect: check with `show` before \
                 you repeat the command."
            }
            ErrorKind::NotOwner => {
                "The shard is moving to another owner: send again in a \
                 moment."
            }
            ErrorKind::ShardUnreachable => {
                "`show shards` tells the owner; it is taken over when its \
                 lease has lapsed."
            }
            ErrorKind::ShardUnknown => {
                "The owner may have carried out the command: check with \
                 `show` before you repeat it."
            }
            ErrorKind::Leaving => "Send again; another instance answers.",
            ErrorKind::StaleEpoch => {
                "No action is needed: the command came from an instance \
                 that no longer owns the shard."
            }
            ErrorKind::WorkerRefused => {
                "No action is needed: the task is placed elsewhere; if it \
                 lasts, `why worker NAME` tells more."
            }
            ErrorKind::Internal => {
                "Keep the log of the instance and report it; the request may \
                 have run."
            }
        }
    }

    /// Returns the kind whose response has this code.
    pub fn from_code(code: &str) -> Option<ErrorKind> {
        let mut kinds = ErrorKind::ALL.iter().copied();
        kinds.find(|kind| kind.response().code == code)
    }
}
