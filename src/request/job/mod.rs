//! Jobs: their steps and tasks, the order in which steps are placed, and the choice of a worker.

mod baseline_tails;
mod comeback;
mod contention;
mod exclusion;
mod fit;
#[allow(clippy::module_inception)]
mod job;
mod order;
mod progress;
mod regression;
mod relocation;
mod spec;
mod trials;

pub use comeback::{Outage, Outages, RefusedJob, comeback};
pub use contention::{
    BestEffortGroup, Contention, Headroom, ImageInterference, LearnedImage, LearnedSlope,
    OVER_BOUND_SHARE, ServingTask, next_speed_limit,
};
pub use exclusion::{MeasuredHeadroom, PairKnowledge};
pub use fit::{
    CandidateWorker, TaskRequirements, choose_worker, is_overcommitted, missing_processors,
};
pub use job::{Ending, Job, Outcome, StartPermit, Step, Task, TaskState, Turn};
pub use order::{
    EndStatus, JobOrder, OVERDUE_FACTOR, ObjectiveStatus, OrderKey, TurnState, objective,
};
pub use progress::{JobProgress, SplitProgress, StepProgress, TaskDetail, TurnProgress};
pub use relocation::StayingRun;
pub use spec::{Error, JobId, JobSpec, Result, StepId, StepSpec, TaskKey};
pub use trials::{Suspicion, TaskCrashes, Trial};
