//! The control lease that a worker or an instance grants to an entry host.

use jayfork::base::{Millis, Name, Token};
use jayfork::connection::wire::{LeaseRefusal, LeaseRequest};

/// Grants, renews and fences one control lease.
///
/// The newest token stays valid after its lease has expired, until the next grant.
#[derive(Debug)]
pub struct ControlLease {
    last_token: u64,
    current: Option<Grant>,
}

#[derive(Debug)]
struct Grant {
    holder: Name,
    token: Token,
    until: Millis,
}

impl ControlLease {
    /// Tokens are larger than `last_token`. Callers pass the start time, so that tokens also increase
    /// over restarts of the process.
    pub fn new(last_token: u64) -> Self {
        ControlLease {
            last_token,
            current: None,
        }
    }

    /// Renews the lease if the request has a token, otherwise grants a new one.
    pub fn grant_or_renew(
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
        self.last_token += 1;
        let token = Token(self.last_token);
        self.current = Some(Grant {
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

    /// Ends the lease; returns `false` if `token` is not the newest.
    pub fn release(&mut self, token: Token) -> bool {
        let is_newest = self.is_newest(token);
        if is_newest {
            self.current = None;
        }
        is_newest
    }

    /// Removes the holder when the host crashes.
    ///
    /// The token counter stays, so that tokens of an earlier incarnation remain stale.
    pub fn clear_holder(&mut self) {
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
