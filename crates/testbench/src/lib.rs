//! The laboratory: scripted bad days over sockets with real courier processes, and a judge of the six rules.
//!
//! [`bench`] measures what a courier costs. [`day`] reads scripts, [`run`] plays them, [`judge`] tells from the
//! records of stand-ins and clients alone whether a rule was broken, [`replay`] turns a day of the users' bench into a
//! script. [`figures`] sums up what the emulator played, [`experiment`] plays grids of it,
//! [`report`] draws them.
#![forbid(unsafe_code)]

pub mod bench;
pub mod columns;
pub mod day;
pub mod experiment;
pub mod figures;
pub mod fleet;
pub mod judge;
pub mod replay;
pub mod report;
pub mod returns;
pub mod run;
pub mod spread;
