use crate::base::{Millis, Name};
use crate::connection::LeaseTable;
use crate::connection::wire::{Hello, ServiceLoad};
use crate::process::settings::Peer;
use crate::version::{Record, Suspicion};
use std::collections::BTreeMap;
pub struct EntryHost {
    pub name: Name,
    pub data_centre: Name,
}
impl From<&Peer> for EntryHost {
    fn from(p: &Peer) -> Self {
        EntryHost {
            name: p.name.clone(),
            data_centre: p.data_centre.clone(),
        }
    }
}
pub struct Membership;
impl Membership {
    pub fn new(_: Name, _: Name, _: Vec<EntryHost>) -> Self {
        Membership
    }
    pub fn heard(&mut self, _: Millis, _: &Hello) {
        todo!()
    }
    pub fn log_read(&mut self, _: Millis) {
        todo!()
    }
    pub fn live(&self, _: Millis) -> Vec<Name> {
        todo!()
    }
    pub fn live_in(&self, _: Millis, _: &Name) -> Vec<Name> {
        todo!()
    }
    pub fn informed(&self, _: Millis) -> Vec<Name> {
        todo!()
    }
    pub fn may_renew(&self, _: Millis, _: bool) -> bool {
        todo!()
    }
    pub fn holder(&self, _: Millis, _: &Name) -> Option<Name> {
        todo!()
    }
    pub fn hello(&self, _: Millis, _: &Name) -> Option<&Hello> {
        todo!()
    }
    pub fn loads(&self, _: Millis) -> Vec<(Name, ServiceLoad)> {
        todo!()
    }
    pub fn due(&mut self, _: Millis) -> Vec<Name> {
        todo!()
    }
}
#[derive(Default)]
pub struct Suspicions;
impl Suspicions {
    pub fn poll(
        &mut self,
        _: Millis,
        _: &Membership,
        _: &LeaseTable,
        _: &BTreeMap<Name, Suspicion>,
        _: &[Name],
        _: &mut Vec<Record>,
    ) {
        todo!()
    }
}
