//! State that lives as long as one request or task.

pub mod admission;
pub mod budget;
pub mod quota;
pub mod urgent;

pub use admission::{Admission, Place};
pub use budget::RetryBudget;
pub use quota::{Loan, LoanId, LoanRequest, LoanTerms, Quotas};
pub use urgent::{
    Dispatch, Epoch, InstanceResult, OwnedInstance, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward, UrgentLimits, UrgentRequest, UrgentRouter,
};
