//! Ownership of the shard: the cores of several entry hosts with a simulated network and store.

mod cases;
mod config_sources;
mod evacuations;
mod late_hellos;
mod odd_records;
mod planned_stop;
mod queue_requests;
mod relay_host;
mod relay_messages;
mod relay_model;
mod relay_replies;
mod relays;
mod scale;
mod short_waits;
mod submissions;
mod turned_away;
mod world;
