//! The control lease that a worker or an instance grants.

use jayfork::base::{Millis, Name, Token};
use jayfork::connection::wire::{LeaseRefusal, LeaseRequest};

/// Grants, renews and fences one control lease.
///
/// The newest token stays valid after its lease lapsed until another holder is granted one.
#[derive(Debug)]
pub struct ControlLease {
    last: u64,
    current: Option<Current>,
}

#[derive(Debug)]
struct Current {
    holder: Name,
    token: Token,
    until: Millis,
}

impl ControlLease {
    /// Tokens are larger than `last`; a start time keeps them growing over restarts of the process.
    pub fn new(last: u64) -> Self {
        ControlLease {
            last,
            current: None,
        }
    }

    /// Grants a new token, or renews the newest one.
    pub fn take(
        &mut self,
        now: Millis,
        request: &LeaseRequest,
    ) -> std::result::Result<Token, LeaseRefusal> {
        let until = now + Millis(request.ttl);
        if let Some(token) = request.token {
            return self.renew(token, until);
        }
        if let Some(current) = &self.current
            && current.holder != request.holder
            && current.until > now
        {
            return Err(LeaseRefusal::Held {
                holder: current.holder.clone(),
                remaining: (current.until - now).0,
            });
        }
        self.last += 1;
        let token = Token(self.last);
        self.current = Some(Current {
            holder: request.holder.clone(),
            token,
            until,
        });
        Ok(token)
    }

    pub fn is_newest(&self, token: Token) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.token == token)
    }

    /// Returns whether `token` was the newest.
    pub fn release(&mut self, token: Token) -> bool {
        let newest = self.is_newest(token);
        if newest {
            self.current = None;
        }
        newest
    }

    /// Forgets the holder on a restart.
    ///
    /// The counter of tokens is kept: a token of an earlier incarnation must stay stale.
    pub fn reset(&mut self) {
        self.current = None;
    }

    fn renew(&mut self, token: Token, until: Millis) -> std::result::Result<Token, LeaseRefusal> {
        match &mut self.current {
            Some(current) if current.token == token => {
                current.until = until;
                Ok(token)
            }
            _ => Err(LeaseRefusal::StaleToken),
        }
    }
}
