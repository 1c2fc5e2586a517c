//! The preloaded library: functions of the C library that fail as the control file says. See `cloverstile_fault_injection`.
//!
//! | module | holds |
//! | --- | --- |
//! | `control` | the mapped control file: which fault a call meets |
//! | `real` | the functions of the C library behind the replaced ones |
//! | `files`, `sockets`, `clock` | the replaced functions |

mod clock;
mod control;
mod files;
mod real;
mod sockets;
